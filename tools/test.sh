#!/bin/sh
# Installs missing dependencies and runs all tests, in several processes; with arguments,
# these are passed to nose2.
. "$(dirname -- "$0")/environment.sh"
if [ $# -eq 0 ]; then
    exec python -m tools.run_tests
fi
exec python -m nose2 "$@"
