#!/usr/bin/env bash
# Plays case 3 with daemons as processes; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. Build first with review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/passtrayd ] && [ -x target/review-standin ] || review/build.sh || exit 2
exec target/review-standin cold-leaving target/passtrayd review/3/record.txt
