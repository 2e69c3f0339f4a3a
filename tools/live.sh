#!/bin/sh
# Installs what is missing and runs the live proofs; names as arguments, or all.
. "$(dirname -- "$0")/environment.sh"
exec python -m testing.live.run "$@"
