"""An order that is carried out late, by a worker that has started again since.

Run by `run.sh`. A worker leaves an order to load a model unanswered, crashes, and is
back under its id. It carries the order out 11.6 s after it came.
"""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any, Final, final

from review.standins3.machines import FRONT_PORT, Machine, free_ips
from review.standins3.model_workers import Model, ModelWorker
from review.standins3.play import Recorder, config, play, stream_route, wait_until
from review.standins3.store import Store

HOST: Final = "notes.example"
SERVICE: Final = "drafting"
# As on the sheets, but with room for one model instead of three.
WEIGHTS_MB: Final = 110_000.0
MODELS: Final = {name: Model(72_700.0, 1.2, 0.52) for name in ("m1", "m2", "m3")}
DEADLINE_S: Final = 4.0
LEAD_S: Final = 12.0
# `applied_late`: carried out 2 to 12 s later. `srv_crash`: down for 2 to 4.5 s.
LATE_S: Final = 11.6
DOWN_S: Final = 2.0
# When callers ask for the other model, after the order that gets no answer.
SHIFT_S: Final = 9.5
LENGTH_S: Final = 16.0
ENGINE: Final = {
    "slots": 64,
    "kvCapacityTokens": 148_336,
    "weightsMb": WEIGHTS_MB,
    "adapterSlots": 0,
    "loadsPerS": 1.7,
    "models": [
        {
            "name": name,
            "weightsMb": model.weights_mb,
            "loadTimeS": model.load_s,
            "diskS": model.disk_s,
            "adapters": 0,
            "adapterMb": 0.0,
        }
        for name, model in MODELS.items()
    ],
}


class Callers:
    """Requests for models at a steady rate, at all machines in turn."""

    def __init__(self, machines: list[Machine], record: Recorder) -> None:
        self.rates_per_s: dict[str, float] = {}
        self.answers: dict[tuple[str, int], int] = {}
        self._machines = machines
        self._record = record
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        next_s: dict[str, float] = {}
        while True:
            now_s = time.monotonic()
            for model, rate in self.rates_per_s.items():
                if rate and now_s >= next_s.get(model, 0.0):
                    next_s[model] = now_s + 1.0 / rate
                    task = asyncio.create_task(self._ask(model))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(0.01)

    async def _ask(self, model: str) -> None:
        self._count += 1
        machine = self._machines[self._count % len(self._machines)]
        attempt_id = f"r{self._count}"
        lines = [
            "POST /summary/1 HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Model: {model}",
            "X-Token-Counts: 100,30",
            f"X-Prompt-Prefix: 5c1e07a2:50,{self._count:x}:50",
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}",
            "Content-Length: 2",
        ]
        status = 0
        try:
            async with asyncio.timeout(DEADLINE_S + 0.5):
                reader, writer = await asyncio.open_connection(machine.ip, FRONT_PORT)
                try:
                    writer.write("\r\n".join([*lines, "", "{}"]).encode())
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    status = int(head.split(" ", 2)[1])
                    if status == 200:
                        await reader.readuntil(b"0\r\n\r\n")
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.answers[model, status] = self.answers.get((model, status), 0) + 1
        self._record.write(f"{attempt_id} for {model} at {machine.name}: {status}")


@final
class OneLateOrder:
    """Leaves the first order to load m3 without an answer.

    Attributes
    ----------
    orders : list of dict
        Holds that order once it has come.
    """

    def __init__(self, late_s: float) -> None:
        self.orders: list[dict[str, Any]] = []
        self._late_s = late_s

    def late_s(self, order: dict[str, Any]) -> float:
        """Return for how long an order gets no answer."""
        is_load = (order["operation"], order["model"]) == ("load", "m3")
        if self.orders or not is_load:
            return 0.0
        self.orders.append(order)
        return self._late_s


async def run(folder: Path, record: Recorder, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    store = Store()
    route = stream_route(SERVICE, HOST, 4_000)
    service = {"name": SERVICE, "engine": ENGINE}
    store.put("keyed.op", "config", config(route, service))
    late = OneLateOrder(LATE_S if has_trouble else 0.0)
    workers = [
        ModelWorker(name, SERVICE, WEIGHTS_MB, MODELS, [model], record.write)
        for name, model in (("i-1", "m1"), ("i-2", "m2"))
    ]
    machines: list[Machine] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        for worker in workers:
            worker.withholds = late.late_s
            await worker.start(store)
        for number, ip in enumerate(free_ips(2)):
            address = await store.address_for(lambda: False)
            machines.append(Machine(f"front-{number}", ip, "zone-a", address, folder))
        await asyncio.sleep(LEAD_S)
        callers = Callers(machines, record)
        tasks.append(asyncio.create_task(callers.run()))
        await move_demand(callers, workers[0], late, store, record, has_trouble)
    finally:
        for task in tasks:
            task.cancel()
        for worker in workers:
            worker.end()
        for machine in machines:
            machine.end()
    overloads = [text for worker in workers for text in worker.overloads]
    for text in overloads:
        record.write(f"LIMIT broken: {text}")
    record.write(f"answers by model and status: {callers.answers}")
    if not callers.answers.get(("m2", 200)):
        return 2
    return 1 if overloads else 0


async def move_demand(
    callers: Callers,
    worker: ModelWorker,
    late: OneLateOrder,
    store: Store,
    record: Recorder,
    has_trouble: bool,
) -> None:
    """Have callers ask for m1, then m3, then m1 again; m2 is asked for all the time."""
    callers.rates_per_s = {"m2": 8.0, "m1": 1.0}
    await asyncio.sleep(2.0)
    record.write("demand moves from m1 to m3")
    callers.rates_per_s = {"m2": 8.0, "m3": 4.0}
    await wait_until("an order to load m3", lambda: bool(late.orders))
    began_s = time.monotonic()
    await asyncio.sleep(0.6)
    callers.rates_per_s = {"m2": 8.0}
    if has_trouble:
        record.write("disruption: srv_crash")
        await worker.crash()
        await worker.restart_after(store, DOWN_S)
    await asyncio.sleep(max(0.0, began_s + SHIFT_S - time.monotonic()))
    record.write("demand moves to m1")
    callers.rates_per_s = {"m2": 8.0, "m1": 4.0}
    await asyncio.sleep(max(0.0, began_s + LENGTH_S - time.monotonic()))


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, run))
