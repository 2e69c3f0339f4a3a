#!/bin/sh
# Installs what is missing and runs a whole deployment with stand-ins.
. "$(dirname -- "$0")/environment.sh"
exec python -m tools.demo "$@"
