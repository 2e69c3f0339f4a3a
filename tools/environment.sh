# Sourced by the other scripts: creates the virtual environment with pinned versions,
# again after each change of requirements.lock, and adds the source tree to the path.
set -eu
ROOT=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)
VENV=${POND_VENV:-$ROOT/.venv}
if ! cmp -s "$ROOT/requirements.lock" "$VENV/installed.lock"; then
    python3.11 -m venv "$VENV"
    "$VENV/bin/pip" install --quiet --disable-pip-version-check \
        -r "$ROOT/requirements.lock"
    cp "$ROOT/requirements.lock" "$VENV/installed.lock"
fi
PATH="$VENV/bin:$PATH"
PYTHONPATH="$ROOT/src:$ROOT"
# gRPC otherwise prints a line for each closed connection.
GRPC_VERBOSITY=${GRPC_VERBOSITY:-NONE}
export PATH PYTHONPATH GRPC_VERBOSITY
cd "$ROOT"
