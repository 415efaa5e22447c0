#!/usr/bin/env bash
# Plays the case anti-affinity. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hawthorn-platform ] && [ -x target/standins3 ] || exit 2
exec target/standins3 anti-affinity review/15/record.txt
