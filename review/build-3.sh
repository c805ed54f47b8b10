#!/bin/sh
# Builds the stand-ins that the scripts in review/11 to review/15 start. They
# are plain Python of the standard library: this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/lagoonbend_entry || sh deploy/build.sh
for file in review/lib-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
