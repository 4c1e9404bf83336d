#!/bin/bash
# Runs the case against target/radishfordd, after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/radishfordd ] && [ -x target/review-2/case-10 ] || exit 2
exec target/review-2/case-10 --trouble "${TROUBLE:-1}" --record "$folder/record.txt" --daemon target/radishfordd
