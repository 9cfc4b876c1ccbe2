#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
export PYTHONPATH="$root/target/deps:$root/testing/src:$root/review/1" PYTHONDONTWRITEBYTECODE=1
cd "$root" || exit 2
exec python3 "$here/case.py"
