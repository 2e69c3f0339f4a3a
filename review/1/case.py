"""An entry of another writer that can't be read is among those of the workers."""

import asyncio
import json
import os
from pathlib import Path

from review.standins.case import HOST, Deployment, route, run_case, write_config
from review.standins.record import Record
from review.standins.requester import call, encode_call
from review.standins.store import Store
from review.standins.wire import Message, encode_response
from review.standins.worker import Worker

MACHINES = 3
CALM_S = 5.0
PLAY_S = 25.0
PERIOD_S = 0.1
DEADLINE_S = 1.0
# The rule: on a tenth of the machines in use, two at least, processes end by themselves
# three times.
LEAST_MACHINES = 2
ENDS = 3

_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
}
ENTRIES = {
    # A number that is none, as some writers of JSON put it.
    "number": json.dumps(_ENTRY | {"born": float("inf")}).encode(),
    # Bytes that can't be read.
    "brackets": b"[" * 2000,
    # The name of a service that isn't in the config, with half of a character.
    "service": json.dumps(_ENTRY | {"born": 1, "service": "\ud800"}).encode(),
    # For comparison: another entry that can't be read.
    "harmless": b"\xff\xfe",
}


async def answer(
    worker: Worker, request: Message, writer: asyncio.StreamWriter
) -> bool:
    """Run a request for 20 ms and answer it."""
    await asyncio.sleep(0.02)
    writer.write(encode_response(200, worker.head(request), b"done"))
    return True


async def prepare(store: Store, record: Record) -> None:
    """Write the config and start two workers."""
    write_config(store, 1, [route("lookup", "safe", "desk", timeoutMs=1000)])
    for number in (1, 2):
        await Worker(store, record, f"i-{number}", "desk", "v1").start(answer)


async def play(deployment: Deployment) -> bool:
    """Send requests all the while; the entry is written after `CALM_S`."""
    store, platform, record, has_trouble = deployment
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    answers: list[tuple[float, bool]] = []
    sending: set[asyncio.Task[None]] = set()

    async def send(number: int) -> None:
        vm = platform.pick()
        headers = {"Host": HOST, "X-Attempt-Id": f"a{number:05d}"}
        headers["X-Deadline-Ms"] = str(int(DEADLINE_S * 1000))
        sent_s = loop.time() - start_s
        record.add(f"a{number:05d} sent to {vm.name}")
        found = await call(
            vm.front, encode_call("GET", "/lookup/x", headers), DEADLINE_S
        )
        is_served = found.is_whole and found.status == 200
        record.add(f"a{number:05d} got {found.status} {found.problem}")
        answers.append((sent_s, is_served))

    is_written = False
    number = 0
    while (elapsed_s := loop.time() - start_s) < CALM_S + PLAY_S:
        if has_trouble and not is_written and elapsed_s >= CALM_S:
            kind = os.environ.get("ENTRY", "number")
            store.put("keyed.servers", "another", ENTRIES[kind])
            record.say(f"another writer puts an entry: {ENTRIES[kind][:200]!r}")
            is_written = True
        number += 1
        task = loop.create_task(send(number))
        sending.add(task)
        task.add_done_callback(sending.discard)
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*sending)
    for name, start, end in (
        ("before the entry", 0.0, CALM_S),
        ("since the entry", CALM_S, CALM_S + PLAY_S),
    ):
        part = [is_served for sent_s, is_served in answers if start <= sent_s < end]
        record.say(f"{name}: {sum(part)} of {len(part)} requests served")
    ended = [vm.own_ends for vm in platform.vms]
    record.say(f"processes ended by themselves: {ended}")
    return sum(count >= ENDS for count in ended) < LEAST_MACHINES


if __name__ == "__main__":
    run_case(Path(__file__).parent, MACHINES, prepare, play)
