#!/bin/sh
# Plays this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x bin/jaspersill ] || [ ! -x bin/review-standin2 ]; then
  echo "build first: the line build of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
exec bin/review-standin2 hang "$here/record.txt"
