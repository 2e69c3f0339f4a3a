#!/bin/sh
# Installs missing dependencies and runs the live scenarios named, or all of them.
. "$(dirname -- "$0")/environment.sh"
exec python -m testing.live.run "$@"
