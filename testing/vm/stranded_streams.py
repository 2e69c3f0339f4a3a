"""Engine servers of two versions that come and go, and callers that resume streams.

``python -m testing.vm.stranded_streams --seeds 1-5`` prints what became of the streams.
"""

import argparse
import asyncio
import json
import logging
import random
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any, Final, NamedTuple, final

from _pistachiopond.http1.client import ClientConnection, ExchangeError, connect
from _pistachiopond.http1.messages import (
    HttpAddress,
    Request,
    RequestHead,
    encode_request,
)
from _pistachiopond.http1.server import Responder, ServerConnection
from _pistachiopond.observe.logs import set_up_logs
from testing.virtual_time import run_in_virtual_time
from testing.vm.cluster import Cluster
from testing.vm.deployment import (
    ANY_PORT,
    HOST,
    configuration,
    listen,
    route,
    server_entry,
)
from testing.vm.fake_server import attempt_of

SERVICE: Final = "engines"
MODEL_MB: Final = 60_000.0
EVENTS: Final = 40
EVENT_PERIOD_S: Final = 0.025
LOAD_S: Final = 1.0
# Entries expire after three missed heartbeats of 1.2 s.
ENTRY_LIFETIME_S: Final = 3.6
# Reports and entries lag behind the server's state.
ENTRY_LAG_S: Final = 0.2
SLOTS: Final = 32
PATH: Final = b"/tale/x"
VERSIONS: Final = ("v1",) * 4 + ("v2",) * 3
# How long a server that is told to leave still takes streams.
DRAIN_S: Final = 1.5


def make_configuration(models: int) -> dict[str, Any]:
    """Return the parts of a configuration that have a resumable route to models."""
    plain = configuration(1)
    plain["routes"].append(
        route(
            "tale",
            "stream",
            SERVICE,
            resumable=True,
            anonymous=True,
            gapAimMs=150,
            timeoutMs=15_000,
            targetLatencyMs=1_200,
            maxAttempts=3,
        )
    )
    engine = next(item for item in plain["services"] if item["name"] == SERVICE)
    engine["connectionLimit"] = 300
    engine["engine"] |= {
        "slots": SLOTS,
        "adapterSlots": 0,
        "weightsMb": 2.0 * MODEL_MB,
        "models": [
            {"name": f"m{number}", "weightsMb": MODEL_MB, "loadTimeS": LOAD_S}
            for number in range(models)
        ],
    }
    return {name: plain[name] for name in ("routes", "services")}


@final
class ModelServer:
    """An engine server that streams, loads and unloads models, and may crash."""

    def __init__(self, server_id: str, version: str, models: Iterable[str]) -> None:
        self.server_id = server_id
        self.version = version
        self.models = set(models)
        self.is_leaving = False
        self._order_count = 0
        self._order: asyncio.Task[None] | None = None
        self._running: Counter[str] = Counter()
        self._attempts: set[str] = set()
        self._connections: set[ServerConnection] = set()

    async def listen(self, address: HttpAddress = ANY_PORT) -> HttpAddress:
        """Start to listen and return the address."""
        self._listening, self.address = await listen(
            self.handle, self._connections, address
        )
        return self.address

    def entry(self) -> bytes:
        """Return the entry that describes the server."""
        return server_entry(
            SERVICE,
            f"{self.address.ip}:{self.address.port}",
            version=self.version,
            slots=SLOTS,
            state="draining" if self.is_leaving else "ready",
            models=[{"name": name, "adapters": []} for name in sorted(self.models)],
        )

    def is_idle(self) -> bool:
        """Return whether no stream runs."""
        return not any(self._running.values())

    def attempts(self) -> frozenset[str]:
        """Return the attempts whose streams are running."""
        return frozenset(self._attempts)

    def crash(self) -> socket.socket:
        """End at once; return a socket that keeps the address refusing."""
        self._listening.close()
        for connection in list(self._connections):
            connection.abort()
        if self._order is not None:
            self._order.cancel()
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(tuple(self.address))
        return held

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a report call, an order or a request for a stream."""
        if request.head.target == b"/report":
            await self._report(responder)
        elif request.head.target == b"/order":
            await self._take_order(json.loads(request.body), responder)
        else:
            await self._stream(request, responder)

    async def _report(self, responder: Responder) -> None:
        plain = {
            "models": [{"name": name, "adapters": []} for name in sorted(self.models)],
            "busy": self._is_busy(),
            "sequence": self._order_count,
        }
        await responder.respond(200, [], json.dumps(plain).encode())

    def _is_busy(self) -> bool:
        return self._order is not None and not self._order.done()

    async def _take_order(self, order: dict[str, Any], responder: Responder) -> None:
        if self._is_busy() or order["expected"] != self._order_count:
            await responder.respond(409, [], b"")
            return
        model, is_load = order["model"], order["operation"] == "load"
        if is_load == (model in self.models):
            await responder.respond(200, [], b"")
            return
        if is_load and (len(self.models) + 1) * MODEL_MB > 2.0 * MODEL_MB:
            raise AssertionError(f"{self.server_id} was ordered to load too much")
        self._order_count += 1
        self._order = asyncio.ensure_future(self._carry_out(model, is_load=is_load))
        await responder.respond(202, [], b"")

    async def _carry_out(self, model: str, *, is_load: bool) -> None:
        if is_load:
            await asyncio.sleep(LOAD_S)
            self.models.add(model)
            return
        while self._running[model]:
            await asyncio.sleep(0.01)
        self.models.discard(model)

    async def _stream(self, request: Request, responder: Responder) -> None:
        model = request.head.values(b"x-model")[0].decode()
        last_ids = request.head.values(b"last-event-id")
        headers = [
            (b"X-Attempt-Id", attempt_of(request)),
            (b"X-Server-Seal", b"seal"),
            (b"Content-Type", b"text/event-stream"),
        ]
        if model not in self.models:
            await responder.respond(421, headers[:1], b"")
            return
        self._running[model] += 1
        attempt_id = attempt_of(request).decode()
        self._attempts.add(attempt_id)
        try:
            await responder.start_response(200, headers, None)
            data = self.version.encode()
            for number in range(int(last_ids[0]) + 1 if last_ids else 0, EVENTS):
                await asyncio.sleep(EVENT_PERIOD_S)
                await responder.send(b"id: %d\ndata: %s\n\n" % (number, data))
            await responder.end()
        finally:
            self._running[model] -= 1
            self._attempts.discard(attempt_id)


class Answer(NamedTuple):
    """What one attempt of a caller brought; `status` is 0 without a response head."""

    status: int
    retry_after: bytes | None
    versions: list[str]
    is_whole: bool


class Figures(NamedTuple):
    """What became of the streams while two servers of their version served.

    Attributes
    ----------
    begun, starts : int
        New streams, and those of them that began.
    gone_on, resumptions : int
        Streams that callers took up again, and those that went on at the first try.
    refusals : Counter of str
        Refusals of resumptions, by code.
    joined : int
        Streams with events of two versions.
    """

    begun: int
    starts: int
    gone_on: int
    resumptions: int
    refusals: Counter[str]
    joined: int


@final
class World:
    """Servers, VMs and callers of one run."""

    def __init__(self, seed: int, models: int) -> None:
        self.rng = random.Random(seed)
        self.models = [f"m{number}" for number in range(models)]
        self.cluster = Cluster()
        self.servers: dict[str, ModelServer] = {}
        self.addresses: dict[str, HttpAddress] = {}
        self._held: list[socket.socket] = []
        self._numbers = 0
        self._tasks: set[asyncio.Task[None]] = set()
        # Callers that have had events, by attempt.
        self._callers: dict[str, ClientConnection] = {}
        self.begun = self.starts = self.gone_on = self.resumptions = self.joined = 0
        self.refusals: Counter[str] = Counter()

    async def start(
        self,
        vms: int,
        versions: Sequence[str] = VERSIONS,
        held: Sequence[Sequence[str]] | None = None,
    ) -> None:
        """Start the VMs and the first servers.

        Parameters
        ----------
        vms : int
            The number of VMs.
        versions : sequence of str
            The software version of each server.
        held : sequence of sequence of str or None
            The models of each server; None spreads all models over the servers.
        """
        await self.cluster.start(vms, **make_configuration(len(self.models)))
        for number, version in enumerate(versions):
            spread = [
                self.models[(2 * number + place) % len(self.models)]
                for place in range(2)
            ]
            await self.add_server(version, spread if held is None else held[number])
        for name in self.cluster.vms:
            await self.open(name)
        self._spawn(self._write_entries())
        await asyncio.sleep(3.0)

    async def open(self, name: str) -> None:
        """Let a VM take callers."""
        _, address = await listen(self.cluster.vms[name].request_handler.handle)
        self.addresses[name] = address

    async def add_server(self, version: str, models: Iterable[str] = ()) -> None:
        """Start a server."""
        self._numbers += 1
        server = ModelServer(f"s{self._numbers}", version, models)
        await server.listen()
        self.servers[server.server_id] = server
        self._write(server)

    def _write(self, server: ModelServer) -> None:
        self.cluster.store.put("keyed.servers", server.server_id, server.entry())

    async def _write_entries(self) -> None:
        written: dict[str, bytes] = {}
        while True:
            for name, server in self.servers.items():
                if written.get(name) != server.entry():
                    written[name] = server.entry()
                    self._write(server)
            await asyncio.sleep(ENTRY_LAG_S)

    def crash(self, server_id: str, *, cuts_callers: bool = True) -> None:
        """Crash a server; its entry expires later.

        Parameters
        ----------
        server_id : str
            The server.
        cuts_callers : bool
            Whether the connections of the callers of its streams end as well, as if
            they had passed through its rack. The VMs go on with streams that only lose
            their server.
        """
        server = self.servers.pop(server_id)
        if cuts_callers:
            for attempt_id in server.attempts() & self._callers.keys():
                self._callers.pop(attempt_id).close()
        self._held.append(server.crash())
        asyncio.get_running_loop().call_later(
            ENTRY_LIFETIME_S, self.cluster.store.put, "keyed.servers", server_id, b""
        )

    async def crash_in_turn(
        self, period_s: float, return_s: float, *, cuts_callers: bool = True
    ) -> None:
        """Crash a server each period; an empty one of its version comes later."""
        while True:
            await asyncio.sleep(period_s - return_s)
            server = self.rng.choice(list(self.servers.values()))
            self.crash(server.server_id, cuts_callers=cuts_callers)
            await asyncio.sleep(return_s)
            await self.add_server(server.version)

    async def drain_in_turn(
        self, period_s: float, next_version: str | None = None
    ) -> None:
        """Replace a server each period by an empty one.

        Parameters
        ----------
        period_s : float
            The time between two servers' departures.
        next_version : str or None
            The version of the new servers, which replace only those of others; None
            for the version of the server that leaves.
        """
        while True:
            await asyncio.sleep(period_s)
            staying = [
                server
                for server in self.servers.values()
                if not server.is_leaving and server.version != next_version
            ]
            if not staying:
                return
            server = self.rng.choice(staying)
            server.is_leaving = True
            self._write(server)
            await self.add_server(next_version or server.version)
            self._spawn(self._end_drained(server))

    async def _end_drained(self, server: ModelServer) -> None:
        await asyncio.sleep(DRAIN_S)
        while not server.is_idle():
            await asyncio.sleep(0.05)
        del self.servers[server.server_id]
        self.cluster.store.put("keyed.servers", server.server_id, b"")
        self._held.append(server.crash())

    async def replace_vms_in_turn(self, period_s: float) -> None:
        """Kill a VM each period; another one takes its place after a second."""
        store = next(iter(self.cluster.vms.values())).settings.store_address
        for number in range(1_000):
            await asyncio.sleep(period_s - 1.0)
            killed = next(iter(self.addresses))
            del self.addresses[killed]
            await self.cluster.kill(killed)
            await asyncio.sleep(1.0)
            self.cluster.launch(f"vm-n{number}", store)
            vm = self.cluster.vms[f"vm-n{number}"]
            while vm.state.table is None or not vm.fleet.servers:
                await asyncio.sleep(0.05)
            await self.open(f"vm-n{number}")

    async def run(
        self,
        duration_s: float,
        troubles: Iterable[Awaitable[None]],
        *,
        callers_leave: bool = False,
    ) -> Figures:
        """Let callers come for a time while servers and VMs are in trouble.

        Parameters
        ----------
        duration_s : float
            For how long callers begin streams.
        troubles : iterable of awaitable
            What happens meanwhile.
        callers_leave : bool
            Whether each caller leaves its stream once and comes back.
        """
        loop = asyncio.get_running_loop()
        for trouble in troubles:
            self._spawn(trouble)
        callers = []
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            callers.append(asyncio.ensure_future(self._call(callers_leave)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*callers)
        for task in list(self._tasks):
            if task.done():
                task.result()
            task.cancel()
        return Figures(
            self.begun,
            self.starts,
            self.gone_on,
            self.resumptions,
            self.refusals,
            self.joined,
        )

    async def close(self) -> None:
        """End everything."""
        for task in list(self._tasks):
            task.cancel()
        for held in self._held:
            held.close()
        await self.cluster.close()

    def _spawn(self, work: Awaitable[None]) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)

    def _serving(self, version: str) -> int:
        return sum(
            server.version == version and not server.is_leaving
            for server in self.servers.values()
        )

    async def _call(self, leaves: bool) -> None:
        self._numbers += 1
        first_id = f"c{self._numbers}"
        model = self.rng.choice(self.models)
        most = self.rng.randrange(1, EVENTS) if leaves else None
        answer = await self.attempt(first_id, model, most_events=most)
        self.starts += 1
        self.begun += bool(answer.versions)
        if answer.is_whole or not answer.versions:
            return
        version, last_id = answer.versions[0], len(answer.versions) - 1
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        has_servers = self._serving(version) >= 2
        again = await self.resume(first_id, model, last_id)
        self.joined += not set(again.versions) <= {version}
        if has_servers and self._serving(version) >= 2:
            self.resumptions += 1
            self.gone_on += bool(again.versions)

    async def resume(self, first_id: str, model: str, last_id: int) -> Answer:
        """Take a stream up again after an event."""
        more = {"Resumes": first_id, "Last-Event-Id": str(last_id)}
        return await self.attempt(f"{first_id}-r", model, more)

    async def attempt(
        self,
        attempt_id: str,
        model: str,
        more: dict[str, str] | None = None,
        most_events: int | None = None,
    ) -> Answer:
        """Send a request for a stream; leave after `most_events` if it is given."""
        address = self.rng.choice(list(self.addresses.values()))
        plain = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "15000",
            "X-Model": model,
        } | (more or {})
        head = RequestHead(
            b"POST", PATH, [(n.encode(), v.encode()) for n, v in plain.items()]
        )
        body, status, retry_after, is_whole = b"", 0, None, False
        connection = await connect(address, 1.0)
        try:
            connection.send(encode_request(head, b"body"))
            response = await connection.read_head()
            status, retry_after = response.status, response.value(b"retry-after")
            while chunk := await connection.read_chunk():
                body += chunk
                if b"\n\n" in body:
                    self._callers[attempt_id] = connection
                if most_events is not None and body.count(b"\n\n") >= most_events:
                    break
            else:
                is_whole = status == 200
        except ExchangeError:
            pass
        finally:
            self._callers.pop(attempt_id, None)
            connection.close()
        if status not in (0, 200) and more is not None:
            self.refusals[json.loads(body)["code"]] += 1
        versions = [
            block.rpartition(b"data: ")[2].decode()
            for block in body.split(b"\n\n")
            if b"data: " in block
        ]
        return Answer(status, retry_after, versions, is_whole)


Trouble = Callable[[World], Awaitable[None]]


def crashes(world: World) -> Awaitable[None]:
    """Crash a server each 3 s."""
    return world.crash_in_turn(3.0, 0.8)


def lost_servers(world: World) -> Awaitable[None]:
    """Crash a server each 3 s; its streams' callers stay."""
    return world.crash_in_turn(3.0, 0.8, cuts_callers=False)


def replaced_vms(world: World) -> Awaitable[None]:
    """Replace a VM each 3 s."""
    return world.replace_vms_in_turn(3.0)


def drained_servers(world: World) -> Awaitable[None]:
    """Replace a server each 2 s by one of its version."""
    return world.drain_in_turn(2.0)


def replaced_versions(world: World) -> Awaitable[None]:
    """Replace a server each 2 s by one of a further version."""
    return world.drain_in_turn(2.0, "v3")


async def play(
    seed: int,
    models: int,
    duration_s: float,
    troubles: Iterable[Trouble],
    vms: int = 3,
    *,
    callers_leave: bool = False,
) -> Figures:
    """Play one run in virtual time."""
    world = World(seed, models)
    try:
        await world.start(vms)
        running = [trouble(world) for trouble in troubles]
        return await world.run(duration_s, running, callers_leave=callers_leave)
    finally:
        await world.close()


def main() -> None:
    """Play seeds and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--models", type=int, default=8)
    parser.add_argument("--duration", type=float, default=20.0, help="seconds")
    parser.add_argument("--replace-vms", action="store_true")
    parser.add_argument("--drain", action="store_true")
    parser.add_argument("--replace-versions", action="store_true")
    parser.add_argument("--callers-leave", action="store_true")
    parser.add_argument("--calm", action="store_true")
    parser.add_argument("--log", action="store_true")
    args = parser.parse_args()
    if args.log:
        set_up_logs()
    else:
        logging.disable(logging.ERROR)
    troubles = ([] if args.calm else [crashes]) + [replaced_vms] * args.replace_vms
    troubles += [drained_servers] * args.drain
    troubles += [replaced_versions] * args.replace_versions
    first, _, last = args.seeds.partition("-")
    for seed in range(int(first), int(last or first) + 1):
        work = play(
            seed,
            args.models,
            args.duration,
            troubles,
            callers_leave=args.callers_leave,
        )
        print(seed, run_in_virtual_time(work), flush=True)


if __name__ == "__main__":
    main()
