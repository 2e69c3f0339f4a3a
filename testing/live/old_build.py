"""Checks that this build is compatible with an older build of the system.

``python -m testing.live.old_build OLD_CHECKOUT [records|control|vm ...]``, in the
environment of ``tools/environment.sh``, prints a line for each check: "ok", or the
first failures. It exits with 1 if a check failed. ``records`` compares what both
builds write and read; ``control`` and ``vm`` run processes of both builds together on
loopback addresses. Without a section, all three are run.
"""

import sys
from functools import partial
from pathlib import Path

import anyio

from testing.live.old_build_processes import check_control, check_vms
from testing.live.old_build_records import check_records

NEW_CHECKOUT = Path(__file__).resolve().parents[2]
MAX_SHOWN_FAILURES = 3
SECTIONS = {
    "records": check_records,
    "control": partial(anyio.run, check_control),
    "vm": partial(anyio.run, check_vms),
}


def main() -> None:
    """Run the named sections, or all; exit with 1 if a check failed."""
    names = sys.argv[2:] or list(SECTIONS)
    if len(sys.argv) < 2 or not set(names) <= set(SECTIONS):
        sys.exit(__doc__)
    all_failures = []

    def report(section: str, check: str, failures: list[str]) -> None:
        all_failures.extend(failures)
        shown = failures[:MAX_SHOWN_FAILURES]
        omitted_count = len(failures) - len(shown)
        omitted = [f"{omitted_count} more"] if omitted_count else []
        text = "; ".join([*shown, *omitted]) or "ok"
        print(f"{section}: {check}: {text}", flush=True)

    for name in names:
        try:
            SECTIONS[name](
                Path(sys.argv[1]).resolve(), NEW_CHECKOUT, partial(report, name)
            )
        except Exception as error:
            # Report the first error itself: the text of an exception group names none.
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
            report(name, "not completed", [f"{type(error).__name__}: {error}"])
    sys.exit(1 if all_failures else 0)


if __name__ == "__main__":
    main()
