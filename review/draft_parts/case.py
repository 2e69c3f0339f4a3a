"""A part of a prompt that crashes workers, before and after all machines are killed.

Run by `run.sh`. The machines have found the part and refuse it. Then all of them are
killed at once and start again, while requests with the part still come.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Final

from review.standins3.machines import FRONT_PORT, Machine, free_ips
from review.standins3.play import Recorder, config, play, stream_route, wait_until
from review.standins3.prompt_workers import Arrival, PromptWorker
from review.standins3.store import Store

HOST: Final = "notes.example"
SERVICE: Final = "drafting"
DEADLINE_S: Final = 4.0
MACHINES: Final = 3
WORKERS: Final = 8
LEAD_S: Final = 12.0
BAD_PART: Final = "bad0bad0"
# Requests with the part come every 5 s, sound ones with the same first part ten times
# a second.
BAD_PERIOD_S: Final = 5.0
SOUND_PERIOD_S: Final = 0.1
# A worker is back after some seconds.
WORKER_DOWN_S: Final = 2.5
# Requests with the part before and after the kill.
BAD_BEFORE: Final = 5
BAD_AFTER: Final = 5
# `herd_kill`; a process that is killed starts again after a short delay.
MACHINES_DOWN_S: Final = 1.0
STABILITY_S: Final = 3.0
# The fifth crash begins the rule; more than three requests break it.
CRASHES: Final = 5
MAX_BAD: Final = 3


class Callers:
    """Sound requests at a steady rate, and single ones with the bad part."""

    def __init__(self, ips: list[str], record: Recorder) -> None:
        self.answers: dict[tuple[str, int], int] = {}
        self._ips = ips
        self._record = record
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send sound requests until cancelled."""
        while True:
            self.send("sound")
            await asyncio.sleep(SOUND_PERIOD_S)

    def send(self, kind: str) -> None:
        """Send one request, to the machines in turn."""
        self._count += 1
        task = asyncio.create_task(self._ask(kind, self._count))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, kind: str, number: int) -> None:
        middle = f"{BAD_PART}:40" if kind == "bad" else f"50a{number % 7}:40"
        lines = [
            "POST /summary/1 HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {kind}-{number}",
            "X-Token-Counts: 100,30",
            f"X-Prompt-Prefix: 5c1e07a2:40,{middle},{number:x}:20",
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}",
            "Content-Length: 8",
        ]
        status = 0
        ip = self._ips[number % len(self._ips)]
        try:
            async with asyncio.timeout(DEADLINE_S + 0.5):
                reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
                try:
                    writer.write("\r\n".join([*lines, "", f"{number:08d}"]).encode())
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    status = int(head.split(" ", 2)[1])
                    if status == 200:
                        await reader.readuntil(b"0\r\n\r\n")
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.answers[kind, status] = self.answers.get((kind, status), 0) + 1
        if kind == "bad":
            self._record.write(f"{kind}-{number} at {ip}: {status}")


async def send_bad(callers: Callers, count: int) -> None:
    """Send requests with the bad part, no two alike."""
    for _ in range(count):
        callers.send("bad")
        await asyncio.sleep(BAD_PERIOD_S)


async def run(folder: Path, record: Recorder, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    store = Store()
    route = stream_route(SERVICE, HOST, 4_000)
    store.put("keyed.op", "config", config(route, {"name": SERVICE}))
    workers = [
        PromptWorker(str(n), SERVICE, store, BAD_PART, WORKER_DOWN_S, record.write)
        for n in range(WORKERS)
    ]
    ips = free_ips(MACHINES)
    addresses = [await store.address_for(lambda: False) for _ in ips]

    def start_machines() -> list[Machine]:
        return [
            Machine(f"front-{number}", ip, "zone-a", address, folder)
            for number, (ip, address) in enumerate(zip(ips, addresses, strict=True))
        ]

    machines: list[Machine] = []
    tasks: list[asyncio.Task[None]] = []
    in_touch_s = 0.0
    try:
        for worker in workers:
            await worker.start()
        machines = start_machines()
        await asyncio.sleep(LEAD_S)
        callers = Callers(ips, record)
        tasks.append(asyncio.create_task(callers.run()))
        await asyncio.sleep(4.0)
        await send_bad(callers, BAD_BEFORE)
        if has_trouble:
            record.write("disruption: herd_kill, all machines")
            for machine in machines:
                machine.send(signal.SIGKILL)
            await wait_until("ended", lambda: not any(m.is_running() for m in machines))
            await asyncio.sleep(MACHINES_DOWN_S)
            machines = start_machines()
            in_touch_s = time.monotonic() + STABILITY_S
            record.write("all machines start again")
        await asyncio.sleep(BAD_PERIOD_S)
        await send_bad(callers, BAD_AFTER)
    finally:
        for task in tasks:
            task.cancel()
        for worker in workers:
            worker.end()
        for machine in machines:
            machine.end()
    record.write(f"answers by kind and status: {callers.answers}")
    return judge(workers, in_touch_s, record)


def judge(workers: list[PromptWorker], in_touch_s: float, record: Recorder) -> int:
    """Write what reached the workers, and return the exit code."""
    arrivals: list[Arrival] = sorted(
        (item for worker in workers for item in worker.arrivals if item.is_bad),
        key=lambda item: item.at_s,
    )
    crashes = sorted(at_s for worker in workers for at_s in worker.crashes)
    record.write(f"workers crashed {len(crashes)} times")
    if len(crashes) < CRASHES:
        return 2
    from_s = max(crashes[CRASHES - 1] + STABILITY_S, in_touch_s)
    for item in arrivals:
        counts = " counts" if item.at_s >= from_s else ""
        record.write(f"{item.attempt_id} reaches {item.worker}{counts}", item.at_s)
    counted = sum(item.at_s >= from_s for item in arrivals)
    record.write(f"requests with the part that count: {counted}, of {MAX_BAD} allowed")
    return 1 if counted > MAX_BAD else 0


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, run))
