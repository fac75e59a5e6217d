#!/bin/sh
# Runs the case, after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves out the disruption.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/chalkring bin/review-2; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2
		exit 2
	fi
done
exec bin/review-2 hidden-request review/10/record.txt
