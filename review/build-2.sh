#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/standin2 ./review/standin2
