"""Checks that this build works with what an older build wrote, and beside it.

``python -m testing.live.old_build OLD_CHECKOUT [records|control|vm ...]``, in the
environment of ``tools/environment.sh``, prints a line for each check: "ok" or what
differed. It exits with 1 if anything failed. ``records`` compares what both builds
write and read; ``control`` and ``vm`` run processes of both on loopback addresses.
"""

import sys
from functools import partial
from pathlib import Path

import anyio

from testing.live.old_build_processes import check_control, check_vms
from testing.live.old_build_records import check_records

NEW = Path(__file__).resolve().parents[2]


def main() -> None:
    """Run the named sections, or all."""
    known = {
        "records": check_records,
        "control": partial(anyio.run, check_control),
        "vm": partial(anyio.run, check_vms),
    }
    names = sys.argv[2:] or list(known)
    if len(sys.argv) < 2 or not set(names) <= set(known):
        print(__doc__, file=sys.stderr)
        raise SystemExit(2)
    old = Path(sys.argv[1]).resolve()
    failed = 0
    for name in names:

        def say(what: str, faults: list[str], section: str = name) -> None:
            nonlocal failed
            failed += bool(faults)
            more = [f"{len(faults) - 3} more"] if len(faults) > 3 else []
            text = "; ".join([*faults[:3], *more]) or "ok"
            print(f"{section}: {what}: {text}", flush=True)

        try:
            known[name](old, NEW, say)
        except Exception as error:
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
            say("stopped", [f"{type(error).__name__}: {error}"])
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
