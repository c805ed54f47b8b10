#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 case.py
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || exit 2
exit "$code"
