#!/bin/sh
# Builds the stand-ins of the scripts. They need nothing but Python's standard
# library, so that compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py [0-9]/*.py
