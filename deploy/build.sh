#!/bin/sh
# Builds what an instance needs into target/deps: pinned runtime packages and
# the two packages of this repository.
set -eu
deps=target/deps
stamp="$deps/.installed"
if [ ! "$stamp" -nt requirements-runtime.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$deps" --no-deps -r requirements-runtime.txt
    touch "$stamp"
fi
for package in lagoonbend lagoonbend_entry; do
    rm -rf "$deps/$package"
    cp -R "packages/$(echo "$package" | tr _ -)/src/$package" "$deps/$package"
done
python3 -m compileall -q "$deps/lagoonbend" "$deps/lagoonbend_entry"
