#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. They are Python and use
# the libraries that the build of the deploy file installs, so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/aiohttp || sh deploy/build.sh
python3 -m compileall -q review/standins_3 >/dev/null
PYTHONPATH=target/deps:review/standins_3 python3 -c "import kit, store, worker"
