#!/bin/sh
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Build first: the build of the deploy file and
# review/build-3.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/target/review-3" ] || [ ! -x "$root/target/dotterelmountd" ]; then
  echo "build the deploy file's programs and run review/build-3.sh first" >&2
  exit 2
fi
REVIEW_CASE=survivor REVIEW_RECORD="$here/record.txt" REVIEW_PROGRAM="$root/target/dotterelmountd" REVIEW_ROOT="$root" \
  exec "$root/target/review-3"
