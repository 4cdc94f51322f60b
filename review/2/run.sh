#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/jaspersill ] && [ -x bin/review/cold ] || { echo "cannot run: not built"; exit 2; }
exec timeout --kill-after=2 118 bin/review/cold review/2
