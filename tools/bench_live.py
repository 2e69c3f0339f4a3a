"""Measures real daemons on the loopback interface at several fleet sizes.

``python -m tools.bench_live [VMS ...]`` starts the stand-ins and the given number of
VMs and prints one line for each size: memory and processor time of idle daemons,
network traffic of the control daemons, the time until a new revision is in force
everywhere, and the time to recover after a tenth of the VMs is killed. It stops the
processes that it started by their process ids.
"""

import math
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple

import anyio
import httpx

from _pistachiopond.cli.fleet import VmStatus, fetch_fleet_status
from _pistachiopond.cli.publishing import PublishTarget, publish_manifest
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.manifest import Manifest
from tools.fleet import Fleet, FleetOptions
from tools.processes import Program

EXAMPLE_MANIFEST: Final = Path(__file__).parents[1] / "examples" / "kereru.json"
FAST_PLATFORM_OPTIONS: Final = ("--loads-per-s", "20", "--model-load-s", "0.1")
SETTLE_S: Final = 10.0
IDLE_S: Final = 20.0
TIMEOUT_S: Final = 120.0
POLL_S: Final = 0.1
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """Resources that one process has used so far.

    Attributes
    ----------
    resident_mb, private_mb : float
        Resident memory, and the part of it that is anonymous (not file-backed).
    cpu_s : float
        Processor time, in seconds.
    """

    resident_mb: float
    private_mb: float
    cpu_s: float


class Connection(NamedTuple):
    """An open TCP connection of a process."""

    pid: int
    local: str
    remote: str


class SizeResult(NamedTuple):
    """Measurements at one fleet size."""

    vms: int
    control_mb: float
    control_private_mb: float
    control_core_share: float
    entry_mb: float
    entry_core_share: float
    control_kb_per_s: float
    max_control_kb_per_s: float
    in_force_s: float
    recovered_s: float


def read_usage(program: Program) -> Usage:
    """Return the resources that a process has used, from ``/proc``."""
    status = Path(f"/proc/{program.pid}/status").read_text(encoding="ascii")
    fields = dict(line.split(":", 1) for line in status.splitlines())
    stat = Path(f"/proc/{program.pid}/stat").read_text(encoding="ascii")
    stat_fields = stat.rsplit(")", 1)[1].split()
    ticks = int(stat_fields[11]) + int(stat_fields[12])
    return Usage(_mb(fields["VmRSS"]), _mb(fields["RssAnon"]), ticks / TICKS_PER_S)


def _mb(text: str) -> float:
    return int(text.split()[0]) / 1024.0


def read_socket_bytes(pids: frozenset[int]) -> dict[Connection, int]:
    """Return the bytes sent and received on each open connection of the processes.

    The counts come from ``ss``, which misses connections that open and close between
    two calls.
    """
    command = ["ss", "--tcp", "--info", "--numeric", "--processes", "--no-header"]
    text = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    counts: dict[Connection, int] = {}
    connection: Connection | None = None
    for line in text.splitlines():
        if not line.startswith(("\t", " ")):
            connection = _connection(line, pids)
        elif connection is not None:
            found = re.findall(r"bytes_(?:sent|received):(\d+)", line)
            counts[connection] = sum(int(count) for count in found)
    return counts


def _connection(line: str, pids: frozenset[int]) -> Connection | None:
    owner_ids = [int(pid) for pid in re.findall(r"pid=(\d+)", line)]
    process_ids = [pid for pid in owner_ids if pid in pids]
    if not process_ids:
        return None
    fields = line.split()
    return Connection(process_ids[0], fields[3], fields[4])


def control_kb_per_s(
    before: dict[Connection, int], after: dict[Connection, int]
) -> list[float]:
    """Return the traffic of each process during the idle time, in kB/s, ascending."""
    totals: dict[int, int] = {}
    for connection, count in after.items():
        increase = count - before.get(connection, 0)
        totals[connection.pid] = totals.get(connection.pid, 0) + increase
    return sorted(total / IDLE_S / 1000.0 for total in totals.values())


def measure_idle(fleet: Fleet, result: SizeResult) -> SizeResult:
    """Measure an idle fleet and return the result with the measurements added."""
    time.sleep(SETTLE_S)
    controls = [vm.control for vm in fleet.vms]
    entries = [vm.entry for vm in fleet.vms]
    before = {p.name: read_usage(p) for p in controls + entries}
    pids = frozenset(p.pid for p in controls)
    bytes_before = read_socket_bytes(pids)
    time.sleep(IDLE_S)
    traffic = control_kb_per_s(bytes_before, read_socket_bytes(pids))
    after = {p.name: read_usage(p) for p in controls + entries}

    def core_share(programs: list[Program]) -> float:
        cpu_times_s = [after[p.name].cpu_s - before[p.name].cpu_s for p in programs]
        return statistics.mean(cpu_times_s) / IDLE_S

    return result._replace(
        control_mb=statistics.median(after[p.name].resident_mb for p in controls),
        control_private_mb=statistics.median(
            after[p.name].private_mb for p in controls
        ),
        control_core_share=core_share(controls),
        entry_mb=statistics.median(after[p.name].resident_mb for p in entries),
        entry_core_share=core_share(entries),
        control_kb_per_s=statistics.median(traffic),
        max_control_kb_per_s=max(traffic),
    )


async def publish(fleet: Fleet, path: Path, replaces: int) -> float:
    """Publish the manifest; return the time until it is in force everywhere."""
    path.write_text(to_json(fleet.manifest), encoding="utf-8")
    target = PublishTarget(fleet.platform.url, (), None, TIMEOUT_S)
    report = await publish_manifest(path, target, replaces)
    started_s = time.monotonic()
    number = report.data.revision
    if number is None:
        raise RuntimeError(f"the manifest was not accepted: {report}")
    await _wait_until(
        fleet, lambda vm_statuses: all(_has_revision(a, number) for a in vm_statuses)
    )
    return time.monotonic() - started_s


def _has_revision(vm_status: VmStatus, number: int) -> bool:
    return vm_status.status is not None and vm_status.status.revision_number >= number


def _has_converged(vm_status: VmStatus, running: frozenset[str]) -> bool:
    """Return whether a daemon lists exactly the running VMs as alive.

    All models must be placed as well.
    """
    if vm_status.status is None or vm_status.status.unplaced_models:
        return False
    alive = {m.address for m in vm_status.status.members if m.state == "alive"}
    return alive | {vm_status.address} == running


async def _wait_until(
    fleet: Fleet, condition: Callable[[list[VmStatus]], bool]
) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    running = frozenset(fleet.control_addresses())
    while time.monotonic() < deadline_s:
        vm_statuses = await fetch_fleet_status(sorted(running), None)
        running_statuses = [
            vm_status for vm_status in vm_statuses if vm_status.address in running
        ]
        if condition(running_statuses):
            return
        await anyio.sleep(POLL_S)
    raise TimeoutError(f"condition not met within {TIMEOUT_S} s")


async def kill_a_tenth(fleet: Fleet) -> float:
    """Kill a tenth of the VMs; return the time until the others have recovered.

    They have recovered once their control daemons agree on the members and all
    models are placed. Their entry daemons must be ready at that time.
    """
    count = max(1, math.ceil(len(fleet.vms) / 10))
    for vm in list(fleet.vms)[:count]:
        vm.entry.kill()
        vm.control.kill()
        fleet.vms.remove(vm)
    started_s = time.monotonic()
    fleet.publish_vm_list()
    running = frozenset(fleet.control_addresses())
    await _wait_until(
        fleet, lambda vm_statuses: all(_has_converged(a, running) for a in vm_statuses)
    )
    for vm in fleet.vms:
        response = httpx.get(f"{vm.entry.url}/healthz/ready", timeout=10.0)
        response.raise_for_status()
    return time.monotonic() - started_s


async def measure_size(vms: int) -> SizeResult:
    """Start a fleet of the given size and return its measurements."""
    decoded = from_json(Manifest, EXAMPLE_MANIFEST.read_bytes())
    manifest = decoded.expect("the example must be valid")
    result = SizeResult(vms, *([0.0] * 9))
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        options = FleetOptions(vms=vms, platform_options=FAST_PLATFORM_OPTIONS)
        fleet = Fleet(folder, manifest, options)
        try:
            await publish(fleet, folder / "first.json", 0)
            fleet.start_vms()
            fleet.wait_until_ready()
            fleet.wait_for_models(TIMEOUT_S)
            result = measure_idle(fleet, result)
            in_force_s = await publish(fleet, folder / "next.json", 1)
            recovered_s = await kill_a_tenth(fleet)
            result = result._replace(in_force_s=in_force_s, recovered_s=recovered_s)
        finally:
            fleet.close()
    return result


def describe(result: SizeResult) -> str:
    """Return the measurements as a line of text."""
    return (
        f"VMs {result.vms:3d}  control {result.control_mb:.0f} MB "
        f"({result.control_private_mb:.0f} private) "
        f"{result.control_core_share:.2%} core  "
        f"entry {result.entry_mb:.0f} MB {result.entry_core_share:.2%} core  "
        f"control {result.control_kb_per_s:.1f} kB/s "
        f"(max {result.max_control_kb_per_s:.1f})  "
        f"in force {result.in_force_s:.2f} s  recovered {result.recovered_s:.2f} s"
    )


if __name__ == "__main__":
    for size in [int(text) for text in sys.argv[1:]] or [3, 8, 16]:
        print(describe(anyio.run(measure_size, size)), flush=True)
