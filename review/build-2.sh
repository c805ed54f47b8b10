#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They need
# nothing but Python's standard library; this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib-2
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.py" ]; then
        python3 -m compileall -q "$case/case.py"
    fi
done
