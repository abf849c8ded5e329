#!/bin/bash
# Servers in trouble send bytes that are no events in the middle of streams.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-3" ] && [ -x "$root/target/lbinstance" ] || exit 2
cd "$root" && exec target/review-3 events "$root" "$here/record.txt"
