#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: the same without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-10
[ -x "$program" ] && [ -x target/release/ottersill ] || { echo "not built: the deploy file's build, then review/build-2.sh"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
timeout -k 1 115 "$program" review/10
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
