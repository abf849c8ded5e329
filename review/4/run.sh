#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With TROUBLE=0 there is no disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/lbinstance ] && [ -x target/review/standin ] || { echo "build first: the build of the deploy file, and review/build.sh" >&2; exit 2; }
exec target/review/standin -case many-parts -record "$folder/record.txt"
