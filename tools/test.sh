#!/bin/sh
# Installs missing dependencies and runs the tests; arguments are passed to nose2.
. "$(dirname -- "$0")/environment.sh"
exec python -m nose2 "$@"
