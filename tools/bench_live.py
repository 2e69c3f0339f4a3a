"""Measures real daemons on loopback at several fleet sizes.

``python -m tools.bench_live [VMS ...]`` starts the stand-ins and as many VMs for
each size and prints one line: memory and processor time of idle daemons, control's
bytes, how long a revision takes to be in force everywhere, and how long the fleet
takes after a tenth of its VMs is killed. Bounded in processes; stops what it
started by process id.
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

from _pistachiopond.cli.fleet import VmStatus, ask_fleet
from _pistachiopond.cli.publishing import Target, publish_manifest
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.manifest import Manifest
from tools.fleet import Fleet, FleetOptions
from tools.programs import Program

EXAMPLE: Final = Path(__file__).parents[1] / "examples" / "kereru.json"
QUICK_PLATFORM: Final = ("--loads-per-s", "20", "--model-load-s", "0.1")
SETTLE_S: Final = 10.0
IDLE_S: Final = 20.0
LIMIT_S: Final = 120.0
POLL_S: Final = 0.1
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """What one process has used so far.

    Attributes
    ----------
    resident_mb, private_mb : float
        Resident memory, and the part of it that is the process's own.
    cpu_s : float
        Processor time.
    """

    resident_mb: float
    private_mb: float
    cpu_s: float


class Connection(NamedTuple):
    """One open connection of a process."""

    pid: int
    local: str
    remote: str


class Line(NamedTuple):
    """The figures of one fleet size."""

    vms: int
    control_mb: float
    control_private_mb: float
    control_core_share: float
    entry_mb: float
    entry_core_share: float
    control_kb_per_s: float
    holder_kb_per_s: float
    in_force_s: float
    recovered_s: float


def usage_of(program: Program) -> Usage:
    """Return what the process has used, from the kernel's own count."""
    status = Path(f"/proc/{program.pid}/status").read_text(encoding="ascii")
    fields = dict(line.split(":", 1) for line in status.splitlines())
    stat = Path(f"/proc/{program.pid}/stat").read_text(encoding="ascii")
    after_name = stat.rsplit(")", 1)[1].split()
    ticks = int(after_name[11]) + int(after_name[12])
    return Usage(_mb(fields["VmRSS"]), _mb(fields["RssAnon"]), ticks / TICKS_PER_S)


def _mb(text: str) -> float:
    return int(text.split()[0]) / 1024.0


def socket_bytes(pids: frozenset[int]) -> dict[Connection, int]:
    """Return the bytes sent and received on each open connection of the processes.

    Taken from ``ss``; a connection that opens and closes in between is missed.
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
    owners = [int(pid) for pid in re.findall(r"pid=(\d+)", line)]
    mine = [pid for pid in owners if pid in pids]
    if not mine:
        return None
    fields = line.split()
    return Connection(mine[0], fields[3], fields[4])


def control_kb_per_s(
    before: dict[Connection, int], after: dict[Connection, int]
) -> list[float]:
    """Return each process's bytes a second, in kB/s, the least first."""
    totals: dict[int, int] = {}
    for connection, count in after.items():
        grown = count - before.get(connection, 0)
        totals[connection.pid] = totals.get(connection.pid, 0) + grown
    return sorted(total / IDLE_S / 1000.0 for total in totals.values())


def measure_idle(fleet: Fleet, line: Line) -> Line:
    """Return the line with the figures of an idle fleet."""
    time.sleep(SETTLE_S)
    controls = [vm.control for vm in fleet.vms]
    entries = [vm.entry for vm in fleet.vms]
    before = {p.name: usage_of(p) for p in controls + entries}
    pids = frozenset(p.pid for p in controls)
    bytes_before = socket_bytes(pids)
    time.sleep(IDLE_S)
    traffic = control_kb_per_s(bytes_before, socket_bytes(pids))
    after = {p.name: usage_of(p) for p in controls + entries}

    def core_share(programs: list[Program]) -> float:
        spent = [after[p.name].cpu_s - before[p.name].cpu_s for p in programs]
        return statistics.mean(spent) / IDLE_S

    return line._replace(
        control_mb=statistics.median(after[p.name].resident_mb for p in controls),
        control_private_mb=statistics.median(
            after[p.name].private_mb for p in controls
        ),
        control_core_share=core_share(controls),
        entry_mb=statistics.median(after[p.name].resident_mb for p in entries),
        entry_core_share=core_share(entries),
        control_kb_per_s=statistics.median(traffic),
        holder_kb_per_s=max(traffic),
    )


async def publish(fleet: Fleet, path: Path, replaces: int) -> float:
    """Publish the manifest; return how long until it is in force everywhere."""
    path.write_text(to_json(fleet.manifest), encoding="utf-8")
    target = Target(fleet.platform.url, (), None, LIMIT_S)
    report = await publish_manifest(path, target, replaces)
    began_s = time.monotonic()
    number = report.data.revision
    if number is None:
        raise RuntimeError(f"the manifest was not accepted: {report}")
    await _until(fleet, lambda answers: all(_has(a, number) for a in answers))
    return time.monotonic() - began_s


def _has(answer: VmStatus, number: int) -> bool:
    return answer.status is not None and answer.status.revision_number >= number


def _is_whole(answer: VmStatus, live: frozenset[str]) -> bool:
    """Return whether the daemon sees the live VMs as alive, and no other."""
    if answer.status is None or answer.status.unplaced_models:
        return False
    alive = {m.address for m in answer.status.members if m.state == "alive"}
    return alive | {answer.address} == live


async def _until(fleet: Fleet, is_met: Callable[[list[VmStatus]], bool]) -> None:
    until_s = time.monotonic() + LIMIT_S
    live = frozenset(fleet.control_addresses())
    while time.monotonic() < until_s:
        answers = await ask_fleet(sorted(live), None)
        ours = [answer for answer in answers if answer.address in live]
        if is_met(ours):
            return
        await anyio.sleep(POLL_S)
    raise TimeoutError(f"not met within {LIMIT_S} s")


async def kill_a_tenth(fleet: Fleet) -> float:
    """Kill a tenth of the VMs; return how long until the rest agree and serve."""
    count = max(1, math.ceil(len(fleet.vms) / 10))
    for vm in list(fleet.vms)[:count]:
        vm.entry.kill()
        vm.control.kill()
        fleet.vms.remove(vm)
    began_s = time.monotonic()
    fleet.publish_vm_list()
    live = frozenset(fleet.control_addresses())
    await _until(fleet, lambda answers: all(_is_whole(a, live) for a in answers))
    for vm in fleet.vms:
        answer = httpx.get(f"{vm.entry.url}/healthz/ready", timeout=10.0)
        answer.raise_for_status()
    return time.monotonic() - began_s


async def measure_size(vms: int) -> Line:
    """Start a fleet of that size, and return its line."""
    read = from_json(Manifest, EXAMPLE.read_bytes())
    manifest = read.expect("the example must be valid")
    line = Line(vms, *([0.0] * 9))
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        options = FleetOptions(vms=vms, platform_options=QUICK_PLATFORM)
        fleet = Fleet(folder, manifest, options)
        try:
            await publish(fleet, folder / "first.json", 0)
            fleet.start_vms()
            fleet.wait_until_ready()
            fleet.wait_for_models(LIMIT_S)
            line = measure_idle(fleet, line)
            in_force_s = await publish(fleet, folder / "next.json", 1)
            recovered_s = await kill_a_tenth(fleet)
            line = line._replace(in_force_s=in_force_s, recovered_s=recovered_s)
        finally:
            fleet.close()
    return line


def describe(line: Line) -> str:
    """Return the figures as one line of text."""
    return (
        f"VMs {line.vms:3d}  control {line.control_mb:.0f} MB "
        f"({line.control_private_mb:.0f} private) {line.control_core_share:.2%} core  "
        f"entry {line.entry_mb:.0f} MB {line.entry_core_share:.2%} core  "
        f"control {line.control_kb_per_s:.1f} kB/s (most {line.holder_kb_per_s:.1f})  "
        f"in force {line.in_force_s:.2f} s  recovered {line.recovered_s:.2f} s"
    )


if __name__ == "__main__":
    for size in [int(text) for text in sys.argv[1:]] or [3, 8, 16]:
        print(describe(anyio.run(measure_size, size)), flush=True)
