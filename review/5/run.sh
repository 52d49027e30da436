#!/usr/bin/env bash
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/passtrayd ] || [ ! -x target/standin2 ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/standin2 -case silent-leave -daemon target/passtrayd -record review/5/record.txt -trouble="$trouble"
