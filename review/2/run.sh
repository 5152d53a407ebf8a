#!/bin/sh
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
# TROUBLE=0 plays the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review/standin false_refusal review/2
