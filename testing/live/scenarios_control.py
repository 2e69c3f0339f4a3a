"""Live scenarios for configuration, shard ownership and accelerator memory."""

import signal
import time
from typing import Final

import anyio

from _pistachiopond.cli.publishing import PublishResult
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
)
from tools.fleet import Fleet, Vm, platform_path_prefix

KEYS: Final = (customer_key("one"), customer_key("two"))


async def conflicting_manifests(duration_s: float) -> ResultRow:
    """Publish two manifests at once for the same revision; exactly one is accepted."""
    async with deploy((make_customer("one"), make_customer("two"))) as deployment:
        fleet = deployment.fleet
        published: list[PublishResult] = []

        async def publish_with_customer(name: str) -> None:
            customers = (*fleet.manifest.customers, make_customer(name))
            changed = fleet.manifest._replace(replaces_revision=1, customers=customers)
            published.append(await publish(fleet, deployment.folder, changed))

        async with anyio.create_task_group() as group:
            group.start_soon(publish_with_customer, "three")
            group.start_soon(publish_with_customer, "four")
            await deployment.load.run((make_caller("one", 5.0),), duration_s)
        results = sorted(item.result for item in published)
        vm_statuses = await fetch_statuses(fleet)
        revisions = {
            vm_status.status.revision_number
            for vm_status in vm_statuses
            if vm_status.status
        }
        breaches = []
        if results != ["accepted", "conflict"]:
            breaches.append(f"results {results}")
        if len(revisions) != 1:
            breaches.append(f"revisions in force {sorted(revisions)}")
        breaches += [
            f"not in force: {place}"
            for item in published
            for place in item.places
            if place.state != "in_force"
        ]
        row = make_row(
            "conflicting manifests", deployment.load.results, deployment.folder, KEYS
        )
        notes = f"results {results}, revision {sorted(revisions)} on every VM"
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


async def log_outage(duration_s: float) -> ResultRow:
    """Make the log unreachable under load, restore it and publish a manifest."""
    async with deploy((make_customer("one"), make_customer("two"))) as deployment:
        fleet = deployment.fleet
        published: list[PublishResult] = []
        in_force_s = 0.0

        async def interrupt_log() -> None:
            nonlocal in_force_s
            await anyio.sleep(duration_s / 4)
            for vm in fleet.vms:
                disconnect_from_log(fleet, vm)
            await anyio.sleep(duration_s / 2)
            fleet.clear_faults(fleet.platform)
            restored_s = time.monotonic()
            customers = (*fleet.manifest.customers, make_customer("late"))
            changed = fleet.manifest._replace(replaces_revision=1, customers=customers)
            published.append(await publish(fleet, deployment.folder, changed))
            in_force_s = time.monotonic() - restored_s

        callers = (make_caller("one", 8.0), make_caller("two", 8.0))
        async with anyio.create_task_group() as group:
            group.start_soon(interrupt_log)
            await deployment.load.run(callers, duration_s)
        breaches = [] if published[0].result == "accepted" else [f"{published[0]}"]
        breaches += [
            f"not in force after the outage: {place}"
            for place in published[0].places
            if place.state != "in_force"
        ]
        row = make_row(
            "log down and back", deployment.load.results, deployment.folder, KEYS
        )
        notes = (
            f"down for {duration_s / 2:.0f} s, a manifest published after it in force "
            f"everywhere within {in_force_s:.1f} s; "
            f"{count_codes(deployment.load.results)}"
        )
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


async def frozen_owner(duration_s: float) -> ResultRow:
    """Suspend the owner of the servers' shard during a roll-out beyond its lease.

    The owner is resumed after its lease has expired. Two engines check fencing
    numbers and one ignores them. Orders to the engines are delayed, so that some
    are in flight when their sender is suspended.
    """
    async with deploy((make_customer("one"), make_customer("two"))) as deployment:
        fleet = deployment.fleet
        owner = await _owner_of_servers(deployment)
        for name in ("engine-0", "engine-1", "engine-2"):
            fault = {"kind": "delay_before", "path_prefix": "/v2/repository/models"}
            fault |= {"count": 2, "delay_s": 3.0}
            fleet.set_fault(fleet.backends[name], **fault)
        for model in fleet.manifest.models:
            deployment.load.add_version(model.name, "2")
            deployment.load.add_version(f"{model.name}-office", "2")
        durations_s: list[float] = []

        async def roll_out() -> None:
            models = tuple(m._replace(version="2") for m in fleet.manifest.models)
            changed = fleet.manifest._replace(replaces_revision=1, models=models)
            started_s = time.monotonic()
            async with anyio.create_task_group() as publish_group:
                publish_group.start_soon(publish, fleet, deployment.folder, changed)
                await anyio.sleep(1.5)
                owner.control.send_signal(signal.SIGSTOP)
                await anyio.sleep(25.0)
                owner.control.send_signal(signal.SIGCONT)
            await wait_for(lambda: _all_models_at_version(deployment, "2"), TIMEOUT_S)
            durations_s.append(time.monotonic() - started_s)
            deployment.load.stop_requested.set()

        callers = (make_caller("one", 5.0), make_caller("two", 5.0))
        async with anyio.create_task_group() as group:
            group.start_soon(roll_out)
            await deployment.load.run(callers, duration_s * 10)
        lost = [item for item in deployment.load.results if item.end != "whole"]
        row = make_row(
            "freeze an owner", deployment.load.results, deployment.folder, KEYS
        )
        peak = max(
            fleet.fetch_ledger(f"engine-{number}")["peak_used_mb"]
            for number in range(3)
        )
        breaches = [f"no complete response: {item}" for item in lost[:3]]
        if read_ledgers(deployment.folder).overcommits:
            breaches.append("engine memory overcommitted")
        notes = (
            f"roll-out done {durations_s[0]:.1f} s after publication, peak memory "
            f"{peak} of {ENGINE_MB} MB; {count_codes(deployment.load.results)}"
        )
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


def disconnect_from_log(fleet: Fleet, vm: Vm) -> None:
    """Drop all of one VM's requests to the log until the faults are cleared."""
    path_prefix = f"{platform_path_prefix(vm.name)}/streams"
    fault = {"kind": "drop_before", "path_prefix": path_prefix, "count": None}
    fleet.set_fault(fleet.platform, **fault)


async def _owner_of_servers(deployment: Deployment) -> Vm:
    with anyio.fail_after(TIMEOUT_S):
        while True:
            for vm_status in await fetch_statuses(deployment.fleet):
                shards = vm_status.status.shards if vm_status.status else ()
                held = [s for s in shards if s.held_here and "servers" in s.shard]
                for vm in deployment.fleet.vms:
                    if held and vm.control.address == vm_status.address:
                        return vm
            await anyio.sleep(0.2)


def _all_models_at_version(deployment: Deployment, version: str) -> bool:
    ready = set()
    outdated = 0
    for number in range(3):
        for model in deployment.fleet.get_json(f"engine-{number}", "/state")["models"]:
            if model["version"] != version:
                outdated += 1
            elif model["state"] == "ready":
                ready.add(model["name"])
    return not outdated and ready == {
        model.name for model in deployment.fleet.manifest.models
    }
