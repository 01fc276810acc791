#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run; TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/chivedrift ] || [ ! -x target/review-2 ]; then
  echo "build first: the deploy file's build and review/build-2.sh"
  exit 2
fi
exec timeout -k 5 115 target/review-2 rejoin review/9
