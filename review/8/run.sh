#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
FOLDER=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$FOLDER/../.." || exit 2
PYTHONPATH=$PWD exec python3 "$FOLDER/case.py"
