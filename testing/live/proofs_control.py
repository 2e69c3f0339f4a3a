"""Live proofs of configuration, ownership and memory."""

import signal
import time
from typing import Final

import anyio

from _pistachiopond.cli.publishing import Published
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
)
from tools.fleet import Fleet, Vm, via

KEYS: Final = (key_of("one"), key_of("two"))


async def conflicting_manifests(duration_s: float) -> Row:
    """Two operators publish at once, on the same revision; one of them wins."""
    async with deploy((make_customer("one"), make_customer("two"))) as live:
        fleet = live.fleet
        published: list[Published] = []

        async def operate(name: str) -> None:
            customers = (*fleet.manifest.customers, make_customer(name))
            changed = fleet.manifest._replace(replaces_revision=1, customers=customers)
            published.append(await publish(fleet, live.folder, changed))

        async with anyio.create_task_group() as group:
            group.start_soon(operate, "three")
            group.start_soon(operate, "four")
            await live.load.run((make_caller("one", 5.0),), duration_s)
        results = sorted(item.result for item in published)
        answers = await statuses(fleet)
        revisions = {
            answer.status.revision_number for answer in answers if answer.status
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
        row = make_row("conflicting manifests", live.load.sent, live.folder, KEYS)
        notes = f"results {results}, revision {sorted(revisions)} on every VM"
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


async def log_outage(duration_s: float) -> Row:
    """Take the log down for a time under load, and bring it back."""
    async with deploy((make_customer("one"), make_customer("two"))) as live:
        fleet = live.fleet
        published: list[Published] = []
        in_force_s = 0.0

        async def break_log() -> None:
            nonlocal in_force_s
            await anyio.sleep(duration_s / 4)
            for vm in fleet.vms:
                cut_from_log(fleet, vm)
            await anyio.sleep(duration_s / 2)
            fleet.clear_faults(fleet.platform)
            back_s = time.monotonic()
            customers = (*fleet.manifest.customers, make_customer("late"))
            changed = fleet.manifest._replace(replaces_revision=1, customers=customers)
            published.append(await publish(fleet, live.folder, changed))
            in_force_s = time.monotonic() - back_s

        callers = (make_caller("one", 8.0), make_caller("two", 8.0))
        async with anyio.create_task_group() as group:
            group.start_soon(break_log)
            await live.load.run(callers, duration_s)
        breaches = [] if published[0].result == "accepted" else [f"{published[0]}"]
        breaches += [
            f"not in force after the outage: {place}"
            for place in published[0].places
            if place.state != "in_force"
        ]
        row = make_row("log down and back", live.load.sent, live.folder, KEYS)
        notes = (
            f"down for {duration_s / 2:.0f} s, a manifest published after it in force "
            f"everywhere within {in_force_s:.1f} s; {count_codes(live.load.sent)}"
        )
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


async def frozen_owner(duration_s: float) -> Row:
    """Freeze the server shards' owner past its lease during a roll-out; wake it.

    Two engines check fencing numbers and one ignores them; orders to it are slow,
    so that some are in flight when their sender freezes.
    """
    async with deploy((make_customer("one"), make_customer("two"))) as live:
        fleet = live.fleet
        owner = await _owner_of_servers(live)
        for name in ("engine-0", "engine-1", "engine-2"):
            fault = {"kind": "delay_before", "path_prefix": "/v2/repository/models"}
            fault |= {"count": 2, "delay_s": 3.0}
            fleet.set_fault(fleet.backends[name], **fault)
        for model in fleet.manifest.models:
            live.load.add_version(model.name, "2")
            live.load.add_version(f"{model.name}-office", "2")
        took: list[float] = []

        async def roll_out() -> None:
            models = tuple(m._replace(version="2") for m in fleet.manifest.models)
            changed = fleet.manifest._replace(replaces_revision=1, models=models)
            began_s = time.monotonic()
            async with anyio.create_task_group() as inner:
                inner.start_soon(publish, fleet, live.folder, changed)
                await anyio.sleep(1.5)
                owner.control.send(signal.SIGSTOP)
                await anyio.sleep(25.0)
                owner.control.send(signal.SIGCONT)
            await wait_for(lambda: _all_on(live, "2"), LIMIT_S)
            took.append(time.monotonic() - began_s)
            live.load.stopping.set()

        callers = (make_caller("one", 5.0), make_caller("two", 5.0))
        async with anyio.create_task_group() as group:
            group.start_soon(roll_out)
            await live.load.run(callers, duration_s * 10)
        lost = [item for item in live.load.sent if item.end != "whole"]
        row = make_row("freeze an owner", live.load.sent, live.folder, KEYS)
        peak = max(
            fleet.ledger(f"engine-{number}")["peak_used_mb"] for number in range(3)
        )
        breaches = [f"not answered whole: {item}" for item in lost[:3]]
        if read_ledgers(live.folder).overcommits:
            breaches.append("overcommitted")
        notes = (
            f"roll-out done {took[0]:.1f} s after it was published, peak memory {peak} "
            f"of {ENGINE_MB} MB; {count_codes(live.load.sent)}"
        )
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


def cut_from_log(fleet: Fleet, vm: Vm) -> None:
    """Let the log answer nothing to one VM, until faults are cleared."""
    path_prefix = f"{via(vm.name)}/streams"
    fault = {"kind": "drop_before", "path_prefix": path_prefix, "count": None}
    fleet.set_fault(fleet.platform, **fault)


async def _owner_of_servers(live: Deployment) -> Vm:
    with anyio.fail_after(LIMIT_S):
        while True:
            for answer in await statuses(live.fleet):
                shards = answer.status.shards if answer.status else ()
                held = [s for s in shards if s.held_here and "servers" in s.shard]
                for vm in live.fleet.vms:
                    if held and vm.control.address == answer.address:
                        return vm
            await anyio.sleep(0.2)


def _all_on(live: Deployment, version: str) -> bool:
    ready = set()
    old = 0
    for number in range(3):
        for model in live.fleet.ask(f"engine-{number}", "/state")["models"]:
            if model["version"] != version:
                old += 1
            elif model["state"] == "ready":
                ready.add(model["name"])
    return not old and ready == {model.name for model in live.fleet.manifest.models}
