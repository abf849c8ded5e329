#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption. Build before: the build line of
# deploy/system.toml, and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lbinstance ] || [ ! -x target/review-2/standin-2 ]; then
  echo "not built: see review/build-2.sh" >&2
  exit 2
fi
exec target/review-2/standin-2 stale review/9
