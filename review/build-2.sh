#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, the project's own too.
# They are Python sources and use what deploy/build.sh installs into target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/6/standins_2.py testing/src/fulmarpulley_testing
PYTHONPATH=target/deps:testing/src:review/6 python3 -c "import standins_2"
