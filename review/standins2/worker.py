"""A model worker that carries out one order late, and restarts under its id."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, Final, final

from review.standins2.http import Answer, Call, serve
from review.standins2.installation import Record, server_entry
from review.standins2.store import SERVERS_TOPIC, Store

NAME: Final = "i-7f3a91c2"
SERVICE: Final = "summary-models"
MODEL_MB: Final = 65_100.0
WORKER_MB: Final = 200_000.0
LOAD_S: Final = 3.8
DISK_S: Final = 0.78
WORK_S: Final = 0.2
HEARTBEAT_S: Final = 1.2
# Within the 2 to 12 s after which `fleetbench kinds` has late orders carried out.
LATE_S: Final = 11.6


@final
class Worker:
    """Holds models, takes orders as PROTOCOL.md describes them, and serves streams.

    Attributes
    ----------
    late_model : str
        The order to load this model gets no answer and is carried out late; empty for
        none.
    late_began_s : float or None
        When that order came, by the record's clock.
    overfilled_by : str
        The order that made the worker load more than it holds; empty for none.
    """

    def __init__(self, store: Store, record: Record, models: list[str]) -> None:
        self._store = store
        self._record = record
        self._server: asyncio.Server | None = None
        self._port = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._on_disk = set(models)
        self.late_model = ""
        self.late_began_s: float | None = None
        self.overfilled_by = ""
        self.on_late: Callable[[dict[str, Any]], None] = lambda order: None
        self.is_up = False
        self._begin(models)

    def _begin(self, models: list[str]) -> None:
        self.models = list(models)
        self._born_ms = int(time.time() * 1000)
        self._beats = 0
        self._orders = 0
        self._fence = -1
        self._moving = ""
        self._running: dict[str, int] = {}

    async def start(self) -> None:
        """Listen, and write status reports."""
        self._server, self._port = await serve(self.handle, self._port)
        self.is_up = True
        self._record.write(f"worker starts, holds {self.models}")
        self._spawn(self._beat())

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _report(self) -> None:
        self._beats += 1
        models = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        entry = server_entry(
            SERVICE, self._port, self._beats, self._born_ms, models=models
        )
        entry["atHand"] = {"inMemory": [], "onDisk": sorted(self._on_disk)}
        self._store.put(SERVERS_TOPIC, NAME, entry)

    async def _beat(self) -> None:
        born_ms = self._born_ms
        while self.is_up and born_ms == self._born_ms:
            self._report()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """Stop without a word; the disk stays."""
        self.is_up = False
        self._record.write("worker crashes")
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def restart(self) -> None:
        """Start again under the same id, empty."""
        self._begin([])
        await self.start()

    async def handle(self, call: Call) -> Answer | None:
        """Answer one call."""
        if not self.is_up:
            return None
        if call.headers.get("x-expect-instance", NAME) != NAME:
            return Answer(421, {"X-Instance-Id": NAME})
        if call.target == "/health":
            return Answer(200, {"X-Instance-Id": NAME})
        if call.target == "/report":
            return _json(200, self._state())
        if call.target == "/order":
            return await self._take_order(json.loads(call.body))
        return await self._generate(call)

    def _state(self) -> dict[str, Any]:
        running = sum(self._running.values())
        return {
            "stage": "prefill_decode",
            "models": [
                {"name": name, "version": 1, "adapters": []} for name in self.models
            ],
            "busy": bool(self._moving),
            "sequence": self._orders,
            "waiting": 0,
            "running": running,
            "kvUsed": 1_000 * running,
            "kvTotal": 123_730,
            "handles": 0,
        }

    async def _take_order(self, order: dict[str, Any]) -> Answer:
        model = order["model"]
        if order["operation"] == "load" and model == self.late_model:
            self.late_model = ""
            self.late_began_s = self._record.now_s()
            self._record.write(f"order gets no answer: {order}")
            self.on_late(order)
            await asyncio.sleep(3600)
        status = self._carry_out(order)
        self._record.write(f"order: {order} -> {status}")
        return _json(status, {})

    def carry_out_late(self, order: dict[str, Any]) -> None:
        """Carry out the order that got no answer, if its condition holds."""
        status = self._carry_out(order)
        self._record.write(f"late order: {order} -> {status}")

    def _carry_out(self, order: dict[str, Any]) -> int:
        """Return the status of an order, and begin it if that is 202."""
        model = order["model"]
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        is_load = order["operation"] == "load"
        if self._moving or order.get("expected", self._orders) != self._orders:
            return 409
        if is_load == (model in self.models):
            return 200
        self._orders += 1
        if is_load and (len(self.models) + 1) * MODEL_MB > WORKER_MB:
            self.overfilled_by = json.dumps(order)
            self.crash()
            return 202
        self._moving = model
        self._spawn(self._load(model) if is_load else self._unload(model))
        return 202

    async def _load(self, model: str) -> None:
        await asyncio.sleep(DISK_S if model in self._on_disk else LOAD_S)
        self._on_disk.add(model)
        self.models.append(model)
        self._moving = ""
        self._report()

    async def _unload(self, model: str) -> None:
        while self._running.get(model):
            await asyncio.sleep(0.01)
        self.models.remove(model)
        self._moving = ""
        self._report()

    async def _generate(self, call: Call) -> Answer | None:
        model = call.headers.get("x-model", "")
        attempt = {"X-Attempt-Id": call.headers.get("x-attempt-id", "")}
        if model == self._moving:
            return Answer(503, {"X-Not-Executed": "1", **attempt})
        if model not in self.models:
            return Answer(421, {"X-Instance-Id": NAME, **attempt})
        self._running[model] = self._running.get(model, 0) + 1
        born_ms = self._born_ms
        await asyncio.sleep(WORK_S)
        if not self.is_up or born_ms != self._born_ms:
            return None
        self._running[model] -= 1
        headers = {"Content-Type": "text/event-stream", "X-Server-Seal": "seal"}
        body = b"".join(b"id: %d\ndata: text\n\n" % number for number in range(1, 5))
        return Answer(200, headers | attempt, body)


def _json(status: int, plain: dict[str, Any]) -> Answer:
    headers = {"Content-Type": "application/json"}
    return Answer(status, headers, json.dumps(plain).encode())
