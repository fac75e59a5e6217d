#!/bin/sh
# Plays the case and writes record.txt beside this file. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out; SEED chooses the traffic.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x ../bin/stand ] && [ -x "$root/bin/chalkring" ] || { echo "build first: the deploy file's build line, then review/build.sh"; exit 2; }
exec ../bin/stand drain-held "$root" "$PWD/record.txt"
