#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the
# disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x "$program" ] || { echo "$program is missing: run review/build.sh" >&2; exit 2; }
exec "$program" "$here/record.txt"
