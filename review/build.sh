#!/bin/sh
# Checks that every stand-in of the scripts can be loaded with what deploy/build.sh built.
# The stand-ins are Python sources: those of testing/src, and harness.py and
# plain_worker.py in review/1, which all cases use.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD/testing/src:$PWD/review/1"
export PYTHONDONTWRITEBYTECODE=1
python3 -c "
import harness, plain_worker
import fulmarpulley_testing.platform_store, fulmarpulley_testing.platform_worker
"
