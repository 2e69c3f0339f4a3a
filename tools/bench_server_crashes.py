"""Measures how long after a crash all VMs stop sending requests for models there.

``python tools/bench_server_crashes.py --vms 8,79`` runs the VMs in one process, in
virtual time, with 20 new streams a second over all of them.
"""

import argparse
import asyncio
import logging
from typing import NamedTuple

from _pistachiopond.vm.program import Vm
from testing.virtual_time import run_in_virtual_time
from testing.vm.stranded_streams import World

CRASHES = 3
PERIOD_S = 5.0
STEP_S = 0.01


class Detection(NamedTuple):
    """Times after one crash in seconds, and the lines that members sent for it."""

    counted_s: float
    all_told_s: float
    lines: int


def has_models(vm: Vm, server_id: str) -> bool:
    """Return whether a VM sends requests for models to a server."""
    server = vm.fleet.servers.get(server_id)
    return server is not None and bool(list(vm.fleet.models_of(server)))


async def measure(vms: int, seed: int, *, cuts_callers: bool) -> list[Detection]:
    """Crash servers one after another and measure each detection."""
    world = World(seed, 8)
    found: list[Detection] = []
    lines = 0

    async def crash_in_turn() -> None:
        nonlocal lines
        loop = asyncio.get_running_loop()
        for _ in range(CRASHES):
            await asyncio.sleep(PERIOD_S / 2)
            held = [item for item in world.servers.values() if item.models]
            server = world.rng.choice(held)
            lines, crashed_s, counted_s = 0, loop.time(), float("nan")
            world.crash(server.server_id, cuts_callers=cuts_callers)
            members = list(world.cluster.vms.values())
            leader = world.cluster.vms[world.cluster.leader()].leader_server
            watch = leader._deps.crash_watch
            assert watch is not None
            while any(has_models(vm, server.server_id) for vm in members):
                await asyncio.sleep(STEP_S)
                if watch.crashed() and counted_s != counted_s:
                    counted_s = loop.time() - crashed_s
            all_told_s = loop.time() - crashed_s
            await asyncio.sleep(PERIOD_S / 2)
            found.append(Detection(counted_s, all_told_s, lines))
            await world.add_server(server.version)

    def count_line() -> None:
        nonlocal lines
        lines += 1

    try:
        await world.start(vms)
        for vm in world.cluster.vms.values():
            send = vm.reach.on_proof
            vm.reach.on_proof = lambda send=send: (count_line(), send())
        await world.run(CRASHES * PERIOD_S + 1.0, [crash_in_turn()])
    finally:
        await world.close()
    return found


def main() -> None:
    """Print the detections at each number of VMs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", default="8,79")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cut-callers", action="store_true")
    args = parser.parse_args()
    logging.disable(logging.ERROR)
    for vms in map(int, args.vms.split(",")):
        work = measure(vms, args.seed, cuts_callers=args.cut_callers)
        for detection in run_in_virtual_time(work):
            print(vms, detection, flush=True)


if __name__ == "__main__":
    main()
