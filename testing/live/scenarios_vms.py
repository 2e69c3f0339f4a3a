"""Live scenarios with VMs that are killed or disconnected from the log."""

import time
from typing import Final

import anyio

from _pistachiopond.cli.publishing import withdraw_keys
from testing.live.checks import ResultRow, count_codes, make_row
from testing.live.deployment import (
    FAST_ENGINE_OPTIONS,
    FAST_PLATFORM_OPTIONS,
    Deployment,
    customer_key,
    customer_key_digest,
    deploy,
    fetch_statuses,
    make_caller,
    make_customer,
    publish_target,
    wait_until_serving,
)
from testing.live.load import LoadGenerator
from testing.live.scenarios_control import disconnect_from_log
from tools.fleet import FleetOptions

KEYS: Final = (customer_key("one"), customer_key("two"))
CUSTOMERS: Final = (make_customer("one"), make_customer("two"))
MAX_WITHDRAWAL_DELAY_S: Final = 10.0
RETAINED_RECORDS: Final = 40


async def one_vm_cut_off(duration_s: float) -> ResultRow:
    """Disconnect one VM from the log, then withdraw a key.

    The disconnected VM must stop accepting the key as well.
    """
    async with deploy(CUSTOMERS) as deployment:
        fleet = deployment.fleet
        victim = fleet.vms[0]
        withdrawn_s = 0.0

        async def disconnect_victim() -> None:
            nonlocal withdrawn_s
            await anyio.sleep(duration_s / 4)
            disconnect_from_log(fleet, victim)
            await anyio.sleep(duration_s / 4)
            withdrawn_s = time.monotonic()
            await withdraw_keys((customer_key_digest("two"),), publish_target(fleet))

        callers = (make_caller("one", 8.0), make_caller("two", 8.0))
        async with anyio.create_task_group() as group:
            group.start_soon(disconnect_victim)
            await deployment.load.run(callers, duration_s)
        withdrawn_results = [
            item for item in deployment.load.results if item.customer == "two"
        ]
        served = [item for item in withdrawn_results if item.end == "whole"]
        served_by_victim = [item for item in served if item.url == victim.entry.url]
        acceptance_delay_s = max(
            (item.started_s - withdrawn_s for item in served_by_victim), default=0.0
        )
        other_incomplete = [
            item
            for item in deployment.load.results
            if item.customer == "one" and item.end != "whole"
        ]
        breaches = []
        if acceptance_delay_s > MAX_WITHDRAWAL_DELAY_S:
            breaches.append(
                f"key accepted by the disconnected VM {acceptance_delay_s:.1f} s "
                "after its withdrawal"
            )
        row = make_row(
            "one VM cut from the log", deployment.load.results, deployment.folder, KEYS
        )
        notes = (
            f"last request accepted by the disconnected VM {acceptance_delay_s:.2f} s "
            "after the withdrawal; "
            f"{len(other_incomplete)} requests of the other customer failed; "
            f"{count_codes(deployment.load.results)}"
        )
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


async def all_vms_killed(duration_s: float) -> ResultRow:
    """Kill all daemons at once and start new VMs, which must recover unaided."""
    async with deploy(CUSTOMERS) as deployment:
        await withdraw_keys(
            (customer_key_digest("two"),), publish_target(deployment.fleet)
        )
        return await _kill_all("all VMs killed", deployment, duration_s)


async def snapshot_and_tail(duration_s: float) -> ResultRow:
    """Kill all daemons after the manifest record expired and a snapshot replaced it."""
    options = FleetOptions(
        platform_options=(
            *FAST_PLATFORM_OPTIONS,
            "--retention-records",
            str(RETAINED_RECORDS),
        ),
        engine_options=FAST_ENGINE_OPTIONS,
    )
    async with deploy(CUSTOMERS, options) as deployment:
        target = publish_target(deployment.fleet)
        await withdraw_keys((customer_key_digest("two"),), target)
        for number in range(RETAINED_RECORDS + 10):
            await withdraw_keys((f"{number:064x}",), target._replace(control=()))
            await anyio.sleep(duration_s / RETAINED_RECORDS)
        page = deployment.fleet.fetch_records("config")
        row = await _kill_all("snapshot and tail", deployment, duration_s)
        notes = f"config retained from offset {page['first']}; {row.notes}"
        unproven = (
            ()
            if page["first"] > 0
            else ("no log record expired, so the snapshot was not used",)
        )
        return row._replace(notes=notes, breaches=(*row.breaches, *unproven))


async def _kill_all(
    scenario: str, deployment: Deployment, duration_s: float
) -> ResultRow:
    fleet = deployment.fleet
    loads_before = fleet.count_model_loads()
    for vm in list(fleet.vms):
        vm.entry.kill()
        vm.control.kill()
        fleet.vms.remove(vm)
    started_s = time.monotonic()
    await anyio.to_thread.run_sync(fleet.start_vms)
    await anyio.to_thread.run_sync(fleet.wait_until_ready)
    load = LoadGenerator(fleet.manifest, fleet.entry_urls)
    await wait_until_serving(load)
    recovery_s = time.monotonic() - started_s
    callers = (make_caller("one", 8.0), make_caller("two", 3.0))
    await load.run(callers, duration_s)
    accepted = [i for i in load.results if i.customer == "two" and i.end == "whole"]
    lost = [i for i in load.results if i.customer == "one" and i.end != "whole"]
    revisions = {
        vm_status.status.revision_number
        for vm_status in await fetch_statuses(fleet)
        if vm_status.status
    }
    breaches = [f"withdrawn key accepted: {item}" for item in accepted[:3]]
    breaches += [f"no complete response: {item}" for item in lost[:3]]
    if revisions != {1}:
        breaches.append(f"revisions in force {revisions}")
    loads = fleet.count_model_loads() - loads_before
    row = make_row(scenario, load.results, deployment.folder, KEYS)
    notes = (
        f"all models served on every VM {recovery_s:.1f} s after the restart, "
        f"{loads} loads since; {count_codes(load.results)}"
    )
    return row._replace(notes=notes, breaches=(*row.breaches, *breaches))
