"""Counts the calls to the store of a fleet of VMs in one process, on a virtual clock.

Usage: ``python -m tools.bench_store_calls [VMS ...]``. For each number of VMs it prints
the calls a second, by kind, in phases of some seconds: undisturbed, while the store
turns six VMs away that do not reach the leader either, while it turns all away, and
after the leader was killed.
"""

import asyncio
import logging
import sys
from collections import Counter
from typing import Final

from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from testing.virtual_time import run_in_virtual_time
from testing.vm.cluster import Cluster
from testing.vm.deployment import listen, wait_until

PHASE_S: Final = 7.0
TURNED_AWAY: Final = 6
DEFAULT_SIZES: Final = (6, 23, 60, 195)
START_LIMIT_S: Final = 30.0


async def _measure(size: int) -> None:
    cluster = Cluster()
    calls: Counter[str] = Counter()
    turned_away = False
    answer = cluster.store.handle

    async def handle(request: Request, responder: Responder) -> None:
        calls[request.head.target.decode().partition("?")[0]] += 1
        await answer(request, responder)

    async def handle_some(request: Request, responder: Responder) -> None:
        if not turned_away:
            await handle(request, responder)
            return
        calls[request.head.target.decode().partition("?")[0]] += 1
        await responder.respond(503, [(b"Store-Era", b"0")], b"")

    async def phase(name: str) -> None:
        calls.clear()
        await asyncio.sleep(PHASE_S)
        rates = {path: round(n / PHASE_S, 1) for path, n in sorted(calls.items())}
        total = sum(calls.values()) / PHASE_S
        print(f"{size} VMs, {name}: {total:.1f} calls a second {rates}", flush=True)

    cluster.store.handle = handle  # type: ignore[method-assign]
    await cluster.start(1)
    _, some_address = await listen(handle_some)
    address = next(iter(cluster.vms.values())).settings.store_address
    count = min(TURNED_AWAY, size - 1)
    for number in range(1, size):
        cluster.launch(f"vm-{number}", some_address if number <= count else address)
    names = list(cluster.vms)
    await wait_until(lambda: cluster.all_have_replies(names), START_LIMIT_S)
    await asyncio.sleep(3.0)
    await phase("undisturbed")
    # A VM that can't reach the leader has lost its connection each time it opens one.
    turned_away = True
    cut = [cluster.vms[f"vm-{number}"].leader_client for number in range(1, count + 1)]
    reads = [client._run_connection for client in cut]
    for client in cut:
        client._run_connection = _fail  # type: ignore[method-assign]
        client.claim_changed()
    await phase(f"{count} turned away, without a leader")
    turned_away = False
    for client, read in zip(cut, reads, strict=True):
        client._run_connection = read  # type: ignore[method-assign]
    await wait_until(lambda: cluster.all_have_replies(names), START_LIMIT_S)
    await asyncio.sleep(3.0)
    cluster.store.refuses = lambda path: True
    await phase("all turned away")
    cluster.store.refuses = lambda path: False
    await wait_until(lambda: cluster.all_have_replies(names), START_LIMIT_S)
    await asyncio.sleep(5.0)
    lost = cluster.leader()
    await cluster.kill(lost)
    await phase("after the leader was killed")
    await cluster.close()


async def _fail(claim: object) -> None:
    await asyncio.sleep(0.5)


def main() -> None:
    """Measure each size."""
    logging.disable(logging.CRITICAL)
    for size in [int(text) for text in sys.argv[1:]] or DEFAULT_SIZES:
        run_in_virtual_time(_measure(size))


if __name__ == "__main__":
    main()
