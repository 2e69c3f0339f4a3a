"""Streams of two software versions, after a leader has resigned beside a cut machine.

Run by `run.sh`. The store turns one of three machines away; another one, the leader,
is stopped by SIGTERM; and workers of a new software version join.
"""

import asyncio
import signal
import sys
import time
from functools import partial
from pathlib import Path
from typing import Final

from review.standins3.machines import Machine, free_ips
from review.standins3.play import (
    Recorder,
    config,
    leader_of,
    play,
    stream_route,
    wait_until,
)
from review.standins3.requesters import Ingress, Stream, StreamRequest, get_stream
from review.standins3.store import Store
from review.standins3.stream_workers import StreamWorker

HOST: Final = "notes.example"
PATH: Final = "/summary/1"
SERVICE: Final = "drafting"
# A stream takes 7.8 s; its pauses are within the 150 ms of the sheets.
EVENTS: Final = 60
PAUSE_S: Final = 0.13
DEADLINE_S: Final = 12.0
STREAMS: Final = 30
# Traffic starts 12 s after the machines do.
LEAD_S: Final = 12.5
# `platform_down` with how `nodes`: a share of 0.35 for 9 s is the largest dose.
TURNED_AWAY_S: Final = 9.0
# More than two streams break the rule.
MAX_MIXED: Final = 2


async def run(folder: Path, record: Recorder, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    store = Store()
    route = stream_route(SERVICE, HOST, 12_000)
    store.put("keyed.op", "config", config(route, {"name": SERVICE}))
    turned_away: set[str] = set()
    workers = [
        StreamWorker(f"i-{version}-{n}", version, SERVICE, EVENTS, PAUSE_S)
        for version in ("v1", "v2")
        for n in range(2)
    ]
    tasks = [await worker.start(store) for worker in workers[:2]]
    machines: list[Machine] = []
    try:
        for number, ip in enumerate(free_ips(3)):
            name = f"front-{number}"
            address = await store.address_for(lambda name=name: name in turned_away)
            machines.append(Machine(name, ip, "zone-a", address, folder))
        ingress = Ingress(machines)
        tasks.append(asyncio.create_task(ingress.run()))
        started_s = time.monotonic()
        await wait_until("a leader", lambda: bool(leader_of(store)))
        await asyncio.sleep(max(0.0, started_s + LEAD_S - time.monotonic()))
        await wait_until("all ready", lambda: len(ingress.in_rotation()) == 3)

        leader = next(m for m in machines if m.name == leader_of(store))
        cut = next(m for m in machines if m is not leader)
        record.write(f"leader {leader.name}, to be turned away {cut.name}")
        if has_trouble:
            turned_away.add(cut.name)
            record.write(f"disruption: the store turns {cut.name} away, 503")
        cut_s = time.monotonic()
        await asyncio.sleep(0.3)
        leader.send(signal.SIGTERM)
        record.write(f"planned: SIGTERM to {leader.name}")
        await wait_until("a new leader", lambda: leader_of(store) != leader.name)
        record.write(f"leader {leader_of(store)}")
        await asyncio.sleep(0.5)
        for worker in workers[2:]:
            tasks.append(await worker.start(store))
        record.write("planned: release, two workers of version v2 join")
        await asyncio.sleep(0.5)
        record.write(f"{STREAMS} streams begin at {leader.name}")
        jobs = []
        for number in range(STREAMS):
            request = StreamRequest(f"r{number}", HOST, PATH, DEADLINE_S, 1)
            choose = partial(ingress.choose, number)
            jobs.append(asyncio.create_task(get_stream(request, leader, choose)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(max(0.0, cut_s + TURNED_AWAY_S - time.monotonic()))
        turned_away.clear()
        if has_trouble:
            record.write(f"the store serves {cut.name} again")
        streams = await asyncio.gather(*jobs)
        return judge(streams, workers, record)
    finally:
        for task in tasks:
            task.cancel()
        for machine in machines:
            machine.end()


def judge(streams: list[Stream], workers: list[StreamWorker], record: Recorder) -> int:
    """Write what was sent, run and answered, and return the exit code."""
    for run_ in sorted((r for w in workers for r in w.runs), key=lambda r: r.began_s):
        record.write(
            f"run {run_.attempt_id} at {run_.worker} after event {run_.after}",
            run_.began_s,
        )
    mixed = resumed = 0
    for stream in streams:
        versions = sorted({event.data.split("/")[0] for event in stream.events})
        mixed += len(versions) > 1
        resumed += len(stream.tries) > 1
        for item in stream.tries:
            got = sum(event.attempt_id == item.attempt_id for event in stream.events)
            record.write(
                f"try {item.attempt_id} at {item.machine}: {item.status} {item.end}, "
                f"{got} events, after {item.ended_s - item.sent_s:.2f} s",
                item.sent_s,
            )
        record.write(f"stream {stream.tries[0].attempt_id[:-2]} holds {versions}")
    record.write(
        f"streams {len(streams)}, taken up again {resumed}, of two versions {mixed}"
    )
    if len(streams) < STREAMS or not any(s.events for s in streams):
        return 2
    return 1 if mixed > MAX_MIXED else 0


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, run))
