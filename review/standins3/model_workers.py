"""Workers that hold models and carry out orders, as PROTOCOL describes them."""

import asyncio
import json
import time
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, final

from review.standins3.http import Message, answer, listen, port_of
from review.standins3.store import Store

HEARTBEAT_S: Final = 1.2
# Reports are as of some hundred ms ago.
REPORT_LAG_S: Final = 0.2
EVENTS: Final = 5
EVENT_PAUSE_S: Final = 0.02


class Model(NamedTuple):
    """A model, with the seconds that loading takes from the store and from the disk."""

    weights_mb: float
    load_s: float
    disk_s: float


Log = Callable[[str], None]


@final
class ModelWorker:
    """A worker of an engine service without adapters.

    Its disk has copies of all models from before, so loads do not count for the store.

    Attributes
    ----------
    withholds : callable
        Returns for how long an order gets no answer before it is carried out; 0 for
        orders that are carried out and answered at once.
    overloads : list of str
        What it was ordered to load beyond its memory.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        weights_mb: float,
        models: Mapping[str, Model],
        held: list[str],
        log: Log,
    ) -> None:
        self.worker_id = worker_id
        self.withholds: Callable[[dict[str, Any]], float] = lambda order: 0.0
        self.overloads: list[str] = []
        self.held = set(held)
        self._service = service
        self._weights_mb = weights_mb
        self._models = models
        self._log = log
        self._on_disk = set(models)
        self._sequence = 0
        self._fence = -1
        self._is_busy = False
        self._beats = 0
        self._born_ms = 0
        self._port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._late: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._shown: list[tuple[float, dict[str, Any]]] = []

    async def start(self, store: Store) -> None:
        """Listen at the same address as before, if any, and register."""
        self._born_ms = int(time.time() * 1000)
        self._server = await listen(self._serve, "127.0.0.1", self._port)
        self._port = port_of(self._server)
        self._show()
        self._start(self._tasks, self._report(store))

    async def crash(self) -> None:
        """End as a killed process does; its disk stays."""
        self._log(f"{self.worker_id} crashes")
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self.held.clear()
        self._shown.clear()
        self._sequence, self._fence, self._is_busy = 0, -1, False

    async def restart_after(self, store: Store, down_s: float) -> None:
        """Start again under the same id, empty, with all counts anew."""
        await asyncio.sleep(down_s)
        await self.start(store)
        self._log(f"{self.worker_id} starts again under its id, empty, sequence 0")

    def end(self) -> None:
        """End all that it does."""
        for task in [*self._tasks, *self._late]:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def _start(self, tasks: set["asyncio.Task[None]"], work: Any) -> None:
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def _describe(self) -> dict[str, Any]:
        return {
            "models": [
                {"name": name, "version": 1, "adapters": []}
                for name in sorted(self.held)
            ],
            "sequence": self._sequence,
        }

    def _show(self) -> None:
        self._shown.append((time.monotonic(), self._describe()))

    async def _report(self, store: Store) -> None:
        while True:
            self._beats += 1
            plain = {
                "service": self._service,
                "address": f"127.0.0.1:{self._port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "born": self._born_ms,
                "stage": "prefill_decode",
                "models": self._describe()["models"],
                "atHand": {"inMemory": [], "onDisk": sorted(self._on_disk)},
                "sequence": self._beats,
            }
            store.put("keyed.servers", self.worker_id, json.dumps(plain).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, message: Message, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        if message.headers.get("x-expect-instance", self.worker_id) != self.worker_id:
            writer.write(answer(421, {}, b""))
        elif message.target == "/report":
            writer.write(answer(200, {}, json.dumps(self._shown_report()).encode()))
        elif message.target == "/order":
            await self._take_order(json.loads(message.body), writer)
        elif message.method == "GET":
            writer.write(answer(200, {"X-Instance-Id": self.worker_id}, b""))
        else:
            await self._run(message, writer)

    def _shown_report(self) -> dict[str, Any]:
        until_s = time.monotonic() - REPORT_LAG_S
        while len(self._shown) > 1 and self._shown[1][0] <= until_s:
            del self._shown[0]
        more = {"waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 90_000}
        shown = self._shown[0][1]
        return {"stage": "prefill_decode", "busy": self._is_busy, **shown, **more}

    async def _take_order(
        self, order: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        late_s = self.withholds(order)
        if late_s <= 0.0:
            status = self._carry_out(order)
            self._log(f"{self.worker_id} {describe(order)}: {status}")
            writer.write(answer(status, {}, b""))
            return
        self._log(f"{self.worker_id} {describe(order)}: no answer, for {late_s} s")
        self._start(self._late, self._carry_out_late(order, late_s))
        # A channel on which an answer is lost returns nothing further.
        await asyncio.sleep(3600)

    async def _carry_out_late(self, order: dict[str, Any], late_s: float) -> None:
        await asyncio.sleep(late_s)
        if self._server is not None:
            status = self._carry_out(order)
            self._log(f"{self.worker_id} late, {describe(order)}: {status}")

    def _carry_out(self, order: dict[str, Any]) -> int:
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        name, is_load = order["model"], order["operation"] == "load"
        if name not in self._models:
            return 400
        if self._is_busy:
            return 409
        if "expected" in order and order["expected"] != self._sequence:
            return 409
        if is_load == (name in self.held):
            return 200
        self._sequence += 1
        if is_load:
            total_mb = sum(self._models[item].weights_mb for item in self.held | {name})
            if total_mb > self._weights_mb:
                self.overloads.append(
                    f"{describe(order)} beside {sorted(self.held)}: {total_mb:.0f} MB "
                    f"of {self._weights_mb:.0f}"
                )
                self._start(self._late, self.crash())
                return 202
        self._is_busy = True
        self._show()
        self._start(self._tasks, self._finish(name, is_load=is_load))
        return 202

    async def _finish(self, name: str, *, is_load: bool) -> None:
        model = self._models[name]
        if is_load:
            await asyncio.sleep(model.disk_s if name in self._on_disk else model.load_s)
            self.held.add(name)
            self._on_disk.add(name)
        else:
            await asyncio.sleep(0.05)
            self.held.discard(name)
        self._is_busy = False
        self._show()

    async def _run(self, message: Message, writer: asyncio.StreamWriter) -> None:
        attempt_id = message.headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt_id}
        model = message.headers.get("x-model", "")
        if model not in self.held:
            writer.write(answer(421, {**echo, "X-Not-Executed": "1"}, b""))
            return
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\n"
            f"X-Server-Seal: {self.worker_id}.{attempt_id}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode("latin-1"))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {model}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")


def describe(order: dict[str, Any]) -> str:
    """Return an order as text."""
    expected, fence = order.get("expected"), order.get("fence")
    return (
        f"order {order['operation']} {order['model']}, expected {expected}, "
        f"holder {order.get('holder')}, fence {fence}"
    )
