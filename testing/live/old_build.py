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
SECTIONS = {
    "records": check_records,
    "control": partial(anyio.run, check_control),
    "vm": partial(anyio.run, check_vms),
}


def main() -> None:
    """Run the named sections, or all."""
    names = sys.argv[2:] or list(SECTIONS)
    if len(sys.argv) < 2 or not set(names) <= set(SECTIONS):
        sys.exit(__doc__)
    failed = []

    def say(section: str, what: str, faults: list[str]) -> None:
        failed.extend(faults)
        more = [f"{len(faults) - 3} more"] if len(faults) > 3 else []
        text = "; ".join([*faults[:3], *more]) or "ok"
        print(f"{section}: {what}: {text}", flush=True)

    for name in names:
        try:
            SECTIONS[name](Path(sys.argv[1]).resolve(), NEW, partial(say, name))
        except Exception as error:
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
            say(name, "stopped", [f"{type(error).__name__}: {error}"])
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
