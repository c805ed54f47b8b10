#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" && exec timeout -k 5 110 python3 case.py
