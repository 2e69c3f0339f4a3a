#!/bin/sh
# Builds the stand-ins of the cases: they need the standard library of Python only.
cd "$(dirname "$0")/.." || exit 1
PYTHONPYCACHEPREFIX=target/review exec python3 -m compileall -q review
