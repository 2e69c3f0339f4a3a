"""Live proofs of takeovers and of starting from what the log retains."""

import signal
import time
from typing import Final

import anyio

from testing.live.checks import Row, count_codes, make_row, read_ledgers
from testing.live.deployment import (
    ENGINE_MB,
    LIMIT_S,
    Deployment,
    deploy,
    key_of,
    make_caller,
    make_customer,
    publish,
    statuses,
    wait_for,
    wait_until_answered,
)
from testing.live.proofs_control import _all_on, _owner_of_servers
from tools.fleet import FleetOptions
from tools.programs import wait_for_ready

KEYS: Final = (key_of("one"), key_of("two"))
ENGINES: Final = ("engine-0", "engine-1", "engine-2")
KILLED_AFTER_S: Final = (0.6, 2.5)
ROLL_OUT_LIMIT_S: Final = 200.0
RETAINED_RECORDS: Final = 5


async def kill_owner(duration_s: float) -> Row:
    """Kill the server shards' owner twice in one roll-out, with orders in flight."""
    async with deploy((make_customer("one"), make_customer("two"))) as live:
        fleet = live.fleet
        for name in ENGINES:
            fault = {"kind": "delay_before", "path_prefix": "/v2/repository/models"}
            fleet.set_fault(fleet.backends[name], **fault, count=2, delay_s=3.0)
            fault = {"kind": "drop_after", "path_prefix": "/v2/repository/models"}
            fleet.set_fault(fleet.backends[name], **fault, count=1)
        for model in fleet.manifest.models:
            live.load.add_version(model.name, "2")
            live.load.add_version(f"{model.name}-office", "2")
        took: list[float] = []

        async def roll_out() -> None:
            began_s = time.monotonic()
            await _publish_second_version(live)
            await wait_for(lambda: _all_on(live, "2"), ROLL_OUT_LIMIT_S)
            took.append(time.monotonic() - began_s)
            live.load.stopping.set()

        callers = (make_caller("one", 5.0), make_caller("two", 5.0))
        async with anyio.create_task_group() as group:
            group.start_soon(roll_out)
            await live.load.run(callers, duration_s * 10)
        return _row("kill the owner", live, f"roll-out done after {took[0]:.1f} s")


async def _publish_second_version(live: Deployment) -> None:
    fleet = live.fleet
    models = tuple(m._replace(version="2") for m in fleet.manifest.models)
    changed = fleet.manifest._replace(replaces_revision=1, models=models)
    async with anyio.create_task_group() as group:
        group.start_soon(publish, fleet, live.folder, changed)
        for pause_s in KILLED_AFTER_S:
            await anyio.sleep(pause_s)
            owner = await _owner_of_servers(live)
            owner.control.send(signal.SIGKILL)
            fleet.vms.remove(owner)
            fleet.publish_vm_list()
            vm = fleet.add_vm()
            # Callers come once it is ready, as behind the platform's balancer.
            fleet.vms.remove(vm)
            await anyio.to_thread.run_sync(wait_for_ready, vm.entry)
            fleet.vms.append(vm)


async def replace_all_at_once(duration_s: float) -> Row:
    """Kill every VM's daemons at once; new ones start from a snapshot and the tail."""
    options = FleetOptions(
        platform_options=("--retention-records", str(RETAINED_RECORDS))
    )
    async with deploy((make_customer("one"), make_customer("two")), options) as live:
        fleet = live.fleet
        for number in range(2 * RETAINED_RECORDS):
            customers = (*fleet.manifest.customers, make_customer(f"new-{number}"))
            changed = fleet.manifest._replace(
                replaces_revision=await _revision(live), customers=customers
            )
            await publish(fleet, live.folder, changed)
        await wait_for(lambda: _has_snapshot(live), LIMIT_S)
        before = await _revision(live)
        loads = fleet.platform_loads()
        for vm in fleet.vms:
            vm.control.send(signal.SIGKILL)
            vm.entry.send(signal.SIGKILL)
        count = len(fleet.vms)
        fleet.vms.clear()
        began_s = time.monotonic()
        for _ in range(count):
            fleet.add_vm()
        fleet.wait_until_ready()
        ready_s = time.monotonic() - began_s
        await _owner_of_servers(live)
        owned_s = time.monotonic() - began_s
        await wait_until_answered(live.load)
        answered_s = time.monotonic() - began_s
        callers = (make_caller("one", 5.0), make_caller("two", 5.0))
        await live.load.run(callers, duration_s)
        after = await _revision(live)
        first = fleet.platform_records("config")["first"]
        breaches = [] if before == after else [f"revision {before} became {after}"]
        if first == 0:
            breaches.append("the log still held everything: nothing was shown")
        moved = fleet.platform_loads() - loads
        notes = (
            f"{count} VMs ready after {ready_s:.1f} s, owned after {owned_s:.1f} s, "
            f"every model answered on each after {answered_s:.1f} s, "
            f"config retained from {first}, {moved} models loaded again"
        )
        row = _row("all VMs at once", live, notes)
        return row._replace(breaches=(*row.breaches, *breaches))


def _has_snapshot(live: Deployment) -> bool:
    records = live.fleet.platform_records("config")["records"]
    return any('"kind":"snapshot"' in record["payload"] for record in records)


async def _revision(live: Deployment) -> int:
    with anyio.fail_after(LIMIT_S):
        while True:
            numbers = {
                answer.status.revision_number
                for answer in await statuses(live.fleet)
                if answer.status is not None
            }
            if len(numbers) == 1:
                return numbers.pop()
            await anyio.sleep(0.2)


def _row(proof: str, live: Deployment, notes: str) -> Row:
    lost = [item for item in live.load.sent if item.end != "whole"]
    row = make_row(proof, live.load.sent, live.folder, KEYS)
    breaches = [f"not answered whole: {item}" for item in lost[:3]]
    if read_ledgers(live.folder).overcommits:
        breaches.append("overcommitted")
    peak = max(live.fleet.ledger(name)["peak_used_mb"] for name in ENGINES)
    text = f"{notes}, peak {peak} of {ENGINE_MB} MB; {count_codes(live.load.sent)}"
    return row._replace(notes=text, breaches=(*row.breaches, *breaches))
