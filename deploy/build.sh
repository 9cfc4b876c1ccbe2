#!/bin/sh
# Installs the pinned dependencies and the packages of this repository into target/deps.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
stamp="$deps/.installed-$(cksum < deploy/runtime.lock | cut -d' ' -f1)"
if [ ! -e "$stamp" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target "$deps" -r deploy/runtime.lock
    touch "$stamp"
fi
# The packages are pure Python, so copying their sources installs them. Unchanged packages
# are not replaced, because processes of another run may be importing them.
for name in schema core node; do
    source="packages/fulmarpulley-$name/src/fulmarpulley_$name"
    installed="$deps/fulmarpulley_$name"
    if ! diff -qr -x __pycache__ "$source" "$installed" >/dev/null 2>&1; then
        rm -rf "$installed"
        cp -R "$source" "$deps/"
    fi
done
python3 -m compileall -q "$deps" >/dev/null || true
