#!/bin/sh
# Installs what is missing and runs the tests; arguments go to nose2.
. "$(dirname -- "$0")/environment.sh"
exec python -m nose2 "$@"
