#!/bin/sh
# Installs missing dependencies and runs a complete deployment with stand-ins.
. "$(dirname -- "$0")/environment.sh"
exec python -m tools.demo "$@"
