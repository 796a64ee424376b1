#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/shunt-serve ] && [ -x build-review/case-5 ] || exit 2
timeout -k 2 116 build-review/case-5 review/5
status=$?
[ $status -le 1 ] && exit $status
exit 2
