#!/bin/bash
# Exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] || exit 2
exec target/review-2/cases late-failure review/8/record.txt
