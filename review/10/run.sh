#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x target/cowsliphead ] || exit 2
timeout -k 5 115 "$program" "$here"
code=$?
[ $code -le 1 ] || code=2
exit $code
