#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, which are in review/11.
# They are Python and use the libraries that the build of the deploy file installs, so they
# are only compiled.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/aiohttp || sh deploy/build.sh
python3 -m compileall -q review/11 >/dev/null
PYTHONPATH=target/deps:review/11 python3 -c "import kit, store, worker"
