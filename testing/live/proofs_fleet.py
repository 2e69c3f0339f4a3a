"""Live proofs of VMs that are lost or cut off."""

import time
from typing import Final

import anyio

from _pistachiopond.cli.publishing import withdraw_keys
from testing.live.checks import Row, count_codes, make_row
from testing.live.deployment import (
    QUICK_ENGINE,
    QUICK_PLATFORM,
    Deployment,
    deploy,
    digest_of,
    key_of,
    make_caller,
    make_customer,
    statuses,
    target_of,
    wait_until_answered,
)
from testing.live.load import Load
from testing.live.proofs_control import cut_from_log
from tools.fleet import FleetOptions

KEYS: Final = (key_of("one"), key_of("two"))
CUSTOMERS: Final = (make_customer("one"), make_customer("two"))
WITHDRAWAL_LIMIT_S: Final = 10.0
RETAINED: Final = 40


async def one_vm_cut_off(duration_s: float) -> Row:
    """Cut one VM from the log alone; a key that is withdrawn then stops there too."""
    async with deploy(CUSTOMERS) as live:
        fleet = live.fleet
        victim = fleet.vms[0]
        withdrawn_s = 0.0

        async def cut() -> None:
            nonlocal withdrawn_s
            await anyio.sleep(duration_s / 4)
            cut_from_log(fleet, victim)
            await anyio.sleep(duration_s / 4)
            withdrawn_s = time.monotonic()
            await withdraw_keys((digest_of("two"),), target_of(fleet))

        callers = (make_caller("one", 8.0), make_caller("two", 8.0))
        async with anyio.create_task_group() as group:
            group.start_soon(cut)
            await live.load.run(callers, duration_s)
        theirs = [item for item in live.load.sent if item.customer == "two"]
        served = [item for item in theirs if item.end == "whole"]
        at_victim = [item for item in served if item.url == victim.entry.url]
        late_s = max((item.began_s - withdrawn_s for item in at_victim), default=0.0)
        others = [
            item
            for item in live.load.sent
            if item.customer == "one" and item.end != "whole"
        ]
        breaches = []
        if late_s > WITHDRAWAL_LIMIT_S:
            breaches.append(f"the key worked at the cut VM {late_s:.1f} s too long")
        row = make_row("one VM cut from the log", live.load.sent, live.folder, KEYS)
        notes = (
            f"last request accepted at the cut VM {late_s:.2f} s after the withdrawal; "
            f"{len(others)} of the other customer not whole; "
            f"{count_codes(live.load.sent)}"
        )
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


async def all_vms_killed(duration_s: float) -> Row:
    """Kill every daemon at once and start new VMs; they come back by themselves."""
    async with deploy(CUSTOMERS) as live:
        await withdraw_keys((digest_of("two"),), target_of(live.fleet))
        return await _kill_all("all VMs killed", live, duration_s)


async def snapshot_and_tail(duration_s: float) -> Row:
    """Kill every daemon when the log holds no manifest any more, but a snapshot."""
    options = FleetOptions(
        platform_options=(*QUICK_PLATFORM, "--retention-records", str(RETAINED)),
        engine_options=QUICK_ENGINE,
    )
    async with deploy(CUSTOMERS, options) as live:
        target = target_of(live.fleet)
        await withdraw_keys((digest_of("two"),), target)
        for number in range(RETAINED + 10):
            await withdraw_keys((f"{number:064x}",), target._replace(control=()))
            await anyio.sleep(duration_s / RETAINED)
        page = live.fleet.platform_records("config")
        row = await _kill_all("snapshot and tail", live, duration_s)
        notes = f"config retained from offset {page['first']}; {row.notes}"
        vacuous = () if page["first"] > 0 else ("all was retained",)
        return row._replace(notes=notes, breaches=(*row.breaches, *vacuous))


async def _kill_all(proof: str, live: Deployment, duration_s: float) -> Row:
    fleet = live.fleet
    loads_before = fleet.platform_loads()
    for vm in list(fleet.vms):
        vm.entry.kill()
        vm.control.kill()
        fleet.vms.remove(vm)
    began_s = time.monotonic()
    await anyio.to_thread.run_sync(fleet.start_vms)
    await anyio.to_thread.run_sync(fleet.wait_until_ready)
    load = Load(fleet.manifest, fleet.entry_urls)
    await wait_until_answered(load)
    back_s = time.monotonic() - began_s
    callers = (make_caller("one", 8.0), make_caller("two", 3.0))
    await load.run(callers, duration_s)
    worked = [i for i in load.sent if i.customer == "two" and i.end == "whole"]
    lost = [i for i in load.sent if i.customer == "one" and i.end != "whole"]
    revisions = {
        answer.status.revision_number
        for answer in await statuses(fleet)
        if answer.status
    }
    breaches = [f"withdrawn key works again: {item}" for item in worked[:3]]
    breaches += [f"not answered whole: {item}" for item in lost[:3]]
    if revisions != {1}:
        breaches.append(f"revisions in force {revisions}")
    moves = fleet.platform_loads() - loads_before
    row = make_row(proof, load.sent, live.folder, KEYS)
    notes = (
        f"serving every model on every VM {back_s:.1f} s after the restart, "
        f"{moves} loads since; {count_codes(load.sent)}"
    )
    return row._replace(notes=notes, breaches=(*row.breaches, *breaches))
