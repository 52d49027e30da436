#!/usr/bin/env bash
# Builds passtrayd as the deploy file has it, and the stand-ins of the scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/passtrayd
go build -tags review -o target/review-standin ./review/standin
