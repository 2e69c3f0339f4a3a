"""Runs live scenarios and prints a results table.

Usage: ``sh tools/live.sh [NAME...]``; all scenarios without a name.
"""

import sys
from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from testing.live.checks import ResultRow
from testing.live.scenarios_callers import (
    greedy_tenant,
    kill_entry,
    replace_all_vms,
    withdraw_key,
)
from testing.live.scenarios_control import (
    conflicting_manifests,
    frozen_owner,
    log_outage,
)
from testing.live.scenarios_faults import (
    crashing_request,
    faulty_backends,
    silent_connections,
)
from testing.live.scenarios_idempotency import keyed_calls
from testing.live.scenarios_ownership import kill_owner, replace_all_at_once
from testing.live.scenarios_vms import (
    all_vms_killed,
    one_vm_cut_off,
    snapshot_and_tail,
)

Scenario = Callable[[float], Awaitable[ResultRow]]
DURATION_S: Final = 20.0
OUTAGE_S: Final = 60.0

SCENARIOS: Final[dict[str, tuple[Scenario, float]]] = {
    "kill-entry": (kill_entry, DURATION_S),
    "withdraw-key": (withdraw_key, DURATION_S),
    "log-outage": (log_outage, OUTAGE_S),
    "conflict": (conflicting_manifests, DURATION_S),
    "replace-vms": (replace_all_vms, DURATION_S),
    "keyed-calls": (keyed_calls, DURATION_S),
    "greedy-tenant": (greedy_tenant, DURATION_S * 2),
    "one-vm-cut-off": (one_vm_cut_off, DURATION_S * 2),
    "all-vms-killed": (all_vms_killed, DURATION_S / 2),
    "snapshot-and-tail": (snapshot_and_tail, DURATION_S / 2),
    "faulty-backends": (faulty_backends, DURATION_S * 2),
    "silent": (silent_connections, DURATION_S),
    "crashing-request": (crashing_request, DURATION_S),
    "frozen-owner": (frozen_owner, DURATION_S),
    "kill-owner": (kill_owner, DURATION_S),
    "all-at-once": (replace_all_at_once, DURATION_S),
}
HEADER: Final = (
    "scenario",
    "sent",
    "whole",
    "refused",
    "broken",
    "wrong",
    "not_run",
    "may_have_run",
    "ran",
    "checked",
    "breaches",
)


def main() -> None:
    """Run the named scenarios, or all; exit with 1 if one has a breach."""
    names = sys.argv[1:] or list(SCENARIOS)
    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        print(
            f"unknown scenarios: {unknown}; known: {', '.join(SCENARIOS)}",
            file=sys.stderr,
        )
        raise SystemExit(2)
    rows = []
    for name in names:
        scenario, duration_s = SCENARIOS[name]
        rows.append(anyio.run(scenario, duration_s))
        print(_format_row(HEADER), _format_row(_cells(rows[-1])), sep="\n", flush=True)
        print(f"  {rows[-1].notes}")
        for breach in rows[-1].breaches:
            print(f"  BREACH: {breach}")
    print(
        "\n"
        + "\n".join([_format_row(HEADER), *(_format_row(_cells(row)) for row in rows)])
    )
    raise SystemExit(1 if any(row.breaches for row in rows) else 0)


def _cells(row: ResultRow) -> tuple[object, ...]:
    return (*row[:-2], len(row.breaches))


def _format_row(cells: tuple[object, ...]) -> str:
    first, *rest = cells
    return f"{first!s:<26}" + " ".join(f"{cell!s:>12}" for cell in rest)


if __name__ == "__main__":
    main()
