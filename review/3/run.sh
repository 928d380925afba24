#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. It wants target/lynxshed (the build of the deploy file) and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/lynxshed review/bin/standin; do
	[ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec review/bin/standin released target/lynxshed review/3/record.txt
