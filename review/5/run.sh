#!/usr/bin/env bash
# Plays the case once; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build.sh.
set -u
case=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review/case-$case" ] && [ -x target/sapphired ] || exit 2
exec "target/review/case-$case" "review/$case/record.txt"
