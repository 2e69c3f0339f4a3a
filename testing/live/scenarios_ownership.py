"""Live scenarios for ownership takeover and recovery from the retained log."""

import signal
import time
from typing import Final

import anyio

from testing.live.checks import ResultRow, count_codes, make_row, read_ledgers
from testing.live.deployment import (
    ENGINE_MB,
    TIMEOUT_S,
    Deployment,
    customer_key,
    deploy,
    fetch_statuses,
    make_caller,
    make_customer,
    publish,
    wait_for,
    wait_until_serving,
)
from testing.live.scenarios_control import _all_models_at_version, _owner_of_servers
from tools.fleet import FleetOptions
from tools.processes import wait_for_ready

KEYS: Final = (customer_key("one"), customer_key("two"))
ENGINES: Final = ("engine-0", "engine-1", "engine-2")
KILL_DELAYS_S: Final = (0.6, 2.5)
ROLL_OUT_LIMIT_S: Final = 200.0
RETAINED_RECORDS: Final = 5


async def kill_owner(duration_s: float) -> ResultRow:
    """Kill the owner of the servers' shard twice in a roll-out, orders in flight."""
    async with deploy((make_customer("one"), make_customer("two"))) as deployment:
        fleet = deployment.fleet
        for name in ENGINES:
            fault = {"kind": "delay_before", "path_prefix": "/v2/repository/models"}
            fleet.set_fault(fleet.backends[name], **fault, count=2, delay_s=3.0)
            fault = {"kind": "drop_after", "path_prefix": "/v2/repository/models"}
            fleet.set_fault(fleet.backends[name], **fault, count=1)
        for model in fleet.manifest.models:
            deployment.load.add_version(model.name, "2")
            deployment.load.add_version(f"{model.name}-office", "2")
        durations_s: list[float] = []

        async def roll_out() -> None:
            started_s = time.monotonic()
            await _publish_second_version(deployment)
            await wait_for(
                lambda: _all_models_at_version(deployment, "2"), ROLL_OUT_LIMIT_S
            )
            durations_s.append(time.monotonic() - started_s)
            deployment.load.stop_requested.set()

        callers = (make_caller("one", 5.0), make_caller("two", 5.0))
        async with anyio.create_task_group() as group:
            group.start_soon(roll_out)
            await deployment.load.run(callers, duration_s * 10)
        return _make_checked_row(
            "kill the owner", deployment, f"roll-out done after {durations_s[0]:.1f} s"
        )


async def _publish_second_version(deployment: Deployment) -> None:
    fleet = deployment.fleet
    models = tuple(m._replace(version="2") for m in fleet.manifest.models)
    changed = fleet.manifest._replace(replaces_revision=1, models=models)
    async with anyio.create_task_group() as group:
        group.start_soon(publish, fleet, deployment.folder, changed)
        for delay_s in KILL_DELAYS_S:
            await anyio.sleep(delay_s)
            owner = await _owner_of_servers(deployment)
            owner.control.send_signal(signal.SIGKILL)
            fleet.vms.remove(owner)
            fleet.publish_vm_list()
            vm = fleet.add_vm()
            # Like the platform's load balancer, send to the VM only once it is ready.
            fleet.vms.remove(vm)
            await anyio.to_thread.run_sync(wait_for_ready, vm.entry)
            fleet.vms.append(vm)


async def replace_all_at_once(duration_s: float) -> ResultRow:
    """Kill all daemons at once; new ones recover from a snapshot and later records."""
    options = FleetOptions(
        platform_options=("--retention-records", str(RETAINED_RECORDS))
    )
    async with deploy(
        (make_customer("one"), make_customer("two")), options
    ) as deployment:
        fleet = deployment.fleet
        for number in range(2 * RETAINED_RECORDS):
            customers = (*fleet.manifest.customers, make_customer(f"new-{number}"))
            changed = fleet.manifest._replace(
                replaces_revision=await _wait_for_common_revision(deployment),
                customers=customers,
            )
            await publish(fleet, deployment.folder, changed)
        await wait_for(lambda: _has_snapshot(deployment), TIMEOUT_S)
        revision_before = await _wait_for_common_revision(deployment)
        loads = fleet.count_model_loads()
        for vm in fleet.vms:
            vm.control.send_signal(signal.SIGKILL)
            vm.entry.send_signal(signal.SIGKILL)
        count = len(fleet.vms)
        fleet.vms.clear()
        started_s = time.monotonic()
        for _ in range(count):
            fleet.add_vm()
        fleet.wait_until_ready()
        ready_s = time.monotonic() - started_s
        await _owner_of_servers(deployment)
        owned_s = time.monotonic() - started_s
        await wait_until_serving(deployment.load)
        answered_s = time.monotonic() - started_s
        callers = (make_caller("one", 5.0), make_caller("two", 5.0))
        await deployment.load.run(callers, duration_s)
        revision_after = await _wait_for_common_revision(deployment)
        first_retained = fleet.fetch_records("config")["first"]
        breaches = (
            []
            if revision_before == revision_after
            else [f"revision {revision_before} became {revision_after}"]
        )
        if first_retained == 0:
            breaches.append("no log record expired, so the snapshot was not used")
        reloaded = fleet.count_model_loads() - loads
        notes = (
            f"{count} VMs ready after {ready_s:.1f} s, "
            f"shard owned after {owned_s:.1f} s, "
            f"all models served on every VM after {answered_s:.1f} s, "
            f"config retained from {first_retained}, {reloaded} models reloaded"
        )
        row = _make_checked_row("all VMs at once", deployment, notes)
        return row._replace(breaches=(*row.breaches, *breaches))


def _has_snapshot(deployment: Deployment) -> bool:
    records = deployment.fleet.fetch_records("config")["records"]
    return any('"kind":"snapshot"' in record["payload"] for record in records)


async def _wait_for_common_revision(deployment: Deployment) -> int:
    with anyio.fail_after(TIMEOUT_S):
        while True:
            numbers = {
                vm_status.status.revision_number
                for vm_status in await fetch_statuses(deployment.fleet)
                if vm_status.status is not None
            }
            if len(numbers) == 1:
                return numbers.pop()
            await anyio.sleep(0.2)


def _make_checked_row(scenario: str, deployment: Deployment, notes: str) -> ResultRow:
    lost = [item for item in deployment.load.results if item.end != "whole"]
    row = make_row(scenario, deployment.load.results, deployment.folder, KEYS)
    breaches = [f"no complete response: {item}" for item in lost[:3]]
    if read_ledgers(deployment.folder).overcommits:
        breaches.append("engine memory overcommitted")
    peak = max(deployment.fleet.fetch_ledger(name)["peak_used_mb"] for name in ENGINES)
    text = (
        f"{notes}, peak {peak} of {ENGINE_MB} MB; "
        f"{count_codes(deployment.load.results)}"
    )
    return row._replace(notes=text, breaches=(*row.breaches, *breaches))
