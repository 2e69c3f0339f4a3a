"""VMs, plain servers, and one request that crashes each server that begins it.

``python -m testing.vm.crashing_requests --seeds 1-2`` prints the figures of all cases.
"""

import argparse
import asyncio
import logging
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, final

from _pistachiopond.http1.client import ExchangeError, connect
from _pistachiopond.http1.messages import HttpAddress, Request, encode_request
from _pistachiopond.http1.server import Responder, ServerConnection
from testing.virtual_time import run_in_virtual_time
from testing.vm.cluster import Cluster
from testing.vm.deployment import (
    MAX_BODY_BYTES,
    configuration,
    listen,
    request_head,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import attempt_of

# The operators' stability window, and the late runs that they allow.
WINDOW_S: Final = 3.0
ALLOWED_LATE: Final = 3
CRASH_AFTER_S: Final = 0.1
# A crashed server is back at its address under a new id; its old entry lapses later.
RESTART_S: Final = 3.3
LAPSE_S: Final = 0.3
SOUND_PER_S: Final = 20.0
SOUND_S: Final = 0.02
DEADLY: Final = "deadly"
KEYS: Final = ("office-key", "second-key")


class DeadlyRun(NamedTuple):
    """A request that began to run and crashes its server."""

    began_s: float
    vm: str


@final
class PoisonedServer:
    """Crashes on one body, and comes back under a new id."""

    def __init__(self, world: "World", name: str) -> None:
        self._world = world
        self._name = name
        self._starts = 0
        self._address = HttpAddress("127.0.0.1", 0)
        self._connections: set[ServerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_dark = False

    def server_id(self) -> str:
        """Return the id of the present incarnation."""
        return f"{self._name}-{self._starts}"

    async def start(self) -> None:
        """Listen and register."""
        self._starts += 1
        self._listening, self._address = await listen(
            self._handle, self._connections, self._address
        )
        entry = server_entry(
            "plain",
            "{}:{}".format(*self._address),
            born=1_000 + self._starts,
            slots=50,
        )
        self._world.cluster.store.put("keyed.servers", self.server_id(), entry)

    def close(self) -> None:
        """End all connections."""
        self._listening.close()
        for connection in list(self._connections):
            connection.abort()

    async def _come_back(self, old_id: str) -> None:
        await asyncio.sleep(RESTART_S)
        self.close()
        self._is_dark = False
        await self.start()
        await asyncio.sleep(LAPSE_S)
        self._world.cluster.store.put("keyed.servers", old_id, b"")

    async def _handle(self, request: Request, responder: Responder) -> None:
        if self._is_dark:
            await asyncio.sleep(3600)
        headers = [(b"X-Attempt-Id", attempt_of(request))]
        wanted = request.head.values(b"x-expect-instance")
        if wanted and wanted[0].decode() != self.server_id():
            await responder.respond(421, headers, b"")
            return
        headers.append((b"X-Server-Seal", b"seal"))
        if request.body != DEADLY.encode():
            await asyncio.sleep(SOUND_S)
            if self._is_dark:
                await asyncio.sleep(3600)
            await responder.respond(200, headers, b"done")
            return
        now_s = asyncio.get_running_loop().time()
        vm = self._world.sender_of(attempt_of(request).decode())
        self._world.runs.append(DeadlyRun(now_s, vm))
        started = self._starts
        await asyncio.sleep(CRASH_AFTER_S)
        if started != self._starts or not self._listening.is_serving():
            return
        if self._is_dark:
            await asyncio.sleep(3600)
        self._world.crashed()
        task = asyncio.ensure_future(self._come_back(self.server_id()))
        self._tasks.add(task)
        if self._world.case.is_silent:
            self._is_dark = True
            await asyncio.sleep(3600)
        self.close()


class Answer(NamedTuple):
    """What a caller got: when it sent, the status, or 0, and the time it took."""

    sent_s: float
    status: int
    code: bytes
    took_s: float


@final
class World:
    """The VMs, servers and callers of one run."""

    def __init__(self, case: "Case", seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.cluster = Cluster()
        self.runs: list[DeadlyRun] = []
        self.crashes_s: list[float] = []
        self.deadly: list[Answer] = []
        self.sound: list[Answer] = []
        self.key = KEYS[0]
        self.on_crash: Callable[[], Awaitable[None]] | None = None
        self._addresses: dict[str, HttpAddress] = {}
        self._connections: dict[str, set[ServerConnection]] = {}
        self._started_s: dict[str, float] = {}
        self._senders: dict[str, str] = {}
        self._count = 0
        self._generation = 0
        self._tasks: set[asyncio.Future[Any]] = set()

    async def start(self) -> None:
        """Start the VMs and servers."""
        tenant = configuration(1)["tenants"][0]
        tenant |= {"ratePerS": 0, "burst": 0, "apiKeys": list(KEYS)}
        await self.cluster.start(self.case.vms, tenants=[tenant])
        self.servers = [
            PoisonedServer(self, f"s{number}") for number in range(self.case.servers)
        ]
        for server in self.servers:
            await server.start()
        for name in list(self.cluster.vms):
            await self._open(name)
        vms = self.cluster.vms.values()
        await wait_until(
            lambda: all(len(vm.fleet.servers) == self.case.servers for vm in vms), 10.0
        )
        self._tasks.add(asyncio.ensure_future(self._maintain()))
        # All VMs have run for the window before the first request.
        await asyncio.sleep(WINDOW_S)

    async def _maintain(self) -> None:
        while True:
            for vm in self.cluster.vms.values():
                vm.fleet.remove_expired()
                vm.leader_server.drop_silent_members()
                vm.leader_server.confirm_crashes()
            await asyncio.sleep(0.25)

    async def _open(self, name: str) -> None:
        connections: set[ServerConnection] = set()
        self._connections[name] = connections
        self._started_s[name] = asyncio.get_running_loop().time()
        handler = self.cluster.vms[name].request_handler.handle
        _, self._addresses[name] = await listen(handler, connections)

    def sender_of(self, attempt_id: str) -> str:
        """Return the VM to which the caller sent a request."""
        return self._senders[attempt_id]

    def crashed(self) -> None:
        """Record that a server has crashed."""
        self.crashes_s.append(asyncio.get_running_loop().time())
        if self.on_crash is not None:
            self._tasks.add(asyncio.ensure_future(self.on_crash()))

    async def kill(self, name: str) -> None:
        """Kill a VM, and start another one in its place."""
        del self._addresses[name]
        store = HttpAddress(*self.cluster.server.sockets[0].getsockname())
        for connection in list(self._connections.pop(name)):
            connection.abort()
        await self.cluster.kill(name)
        del self.cluster.vms[name]
        self._generation += 1
        await asyncio.sleep(self.case.down_s)
        new = f"{name.split('+')[0]}+{self._generation}"
        self.cluster.launch(new, store)
        vm = self.cluster.vms[new]
        await wait_until(lambda: vm.state.table is not None and vm.fleet.is_loaded, 9.0)
        await self._open(new)

    async def kill_all(self) -> None:
        """Kill all VMs at once; others take their places."""
        await asyncio.gather(*(self.kill(name) for name in list(self._addresses)))

    async def call(self, body: str) -> None:
        """Send a request to any VM."""
        self._count += 1
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        if not self._addresses:
            return
        vm = self.rng.choice(sorted(self._addresses))
        attempt_id = f"request-{self._count}"
        self._senders[attempt_id] = vm
        head = request_head(self.case.path, self._count, X_Key=self.key)
        status, code = 0, b""
        try:
            connection = await connect(self._addresses[vm], 1.0)
            connection.send(encode_request(head, body.encode()))
            response = await connection.read_head()
            code = await connection.read_body(MAX_BODY_BYTES)
            status = response.status
            connection.close()
        except ExchangeError as error:
            code = str(error).encode()
        answer = Answer(sent_s, status, code, loop.time() - sent_s)
        (self.deadly if body == DEADLY else self.sound).append(answer)

    async def send(self, duration_s: float, *, deadly_per_s: float) -> None:
        """Let callers come for a time."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        plan = [
            (number / per_s, body)
            for per_s, body in ((SOUND_PER_S, ""), (deadly_per_s, DEADLY))
            for number in range(int(duration_s * per_s))
        ]
        calls = []
        for at_s, body in sorted(plan):
            await asyncio.sleep(max(0.0, began_s + at_s - loop.time()))
            calls.append(asyncio.ensure_future(self.call(body or f"sound {at_s}")))
        await asyncio.gather(*calls)

    def figures(self) -> "Figures":
        """Return what has been counted."""
        third_s = self.crashes_s[2] if len(self.crashes_s) > 2 else float("inf")
        after = [run for run in self.runs if run.began_s > third_s + WINDOW_S]
        young = sum(run.began_s - self._started_s[run.vm] < WINDOW_S for run in after)
        served = sum(answer.status == 200 for answer in self.sound)
        return Figures(
            len(self.crashes_s),
            len(after) - young,
            young,
            round(served / max(1, len(self.sound)), 3),
            Counter(answer.status for answer in self.deadly),
        )

    async def close(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        await self.cluster.close()


class Figures(NamedTuple):
    """What a run has counted.

    Attributes
    ----------
    crashes : int
        Crashes by the request.
    late : int
        Runs that began later than the window after its third crash, sent by VMs that
        had run for the window.
    late_young : int
        The same of VMs that had just started.
    served : float
        The share of sound requests that were served.
    statuses : Counter of int
        The answers to the callers of the request that crashes servers.
    """

    crashes: int
    late: int
    late_young: int
    served: float
    statuses: Counter[int]


Scenario = Callable[[World], Awaitable[None]]


async def calm(world: World) -> None:
    """Let the request come all the time."""
    await world.send(world.case.duration_s, deadly_per_s=world.case.deadly_per_s)


async def leader_killed_at_each_crash(world: World) -> None:
    """Kill the leader at each crash."""

    async def kill_leader() -> None:
        leader = world.cluster.leader()
        if leader in world._addresses:
            await world.kill(leader)

    world.on_crash = kill_leader
    await calm(world)


def all_killed_after(delay_s: float) -> Scenario:
    """Return the scenario in which all VMs are killed after the third crash."""

    async def all_killed(world: World) -> None:
        async def kill() -> None:
            if len(world.crashes_s) == 3:
                await asyncio.sleep(delay_s)
                await world.kill_all()

        world.on_crash = kill
        await calm(world)

    return all_killed


async def other_key(world: World) -> None:
    """Let the caller use another key of its customer after the refusal."""
    await calm(world)
    world.key = KEYS[1]
    await calm(world)


async def lead_moves_later(world: World) -> None:
    """Let the lead move long after the refusal, and then the request come again."""
    await calm(world)
    await world.send(70.0, deadly_per_s=0.0)
    await world.kill(world.cluster.leader())
    await world.send(8.0, deadly_per_s=0.0)
    await calm(world)


class Case(NamedTuple):
    """A run.

    Attributes
    ----------
    name : str
        What happens.
    scenario : callable
        Plays it.
    vms, servers : int
        How many there are.
    deadly_per_s : float
        How often the request comes.
    duration_s : float
        For how long it comes.
    path : str
        Its path.
    down_s : float
        How long a killed VM is away.
    late_allowed : int
        How many late runs the operators allow; 0 where the refusal has been known for
        long.
    is_silent : bool
        Whether a crashed server's connections stay open, without an answer.
    """

    name: str
    scenario: Scenario
    vms: int = 6
    servers: int = 5
    deadly_per_s: float = 2.0
    duration_s: float = 20.0
    path: str = "/safe/x"
    down_s: float = 0.5
    late_allowed: int = ALLOWED_LATE
    is_silent: bool = False


CASES: Final = (
    Case("calm", calm),
    Case("two servers", calm, servers=2, deadly_per_s=4.0),
    Case("unsafe", calm, servers=3, deadly_per_s=10.0, path="/once/x"),
    Case("many VMs", calm, vms=20, deadly_per_s=16.0),
    Case("leader killed at each crash", leader_killed_at_each_crash),
    Case("all killed at the third crash", all_killed_after(0.0)),
    Case("all killed 4 s after it", all_killed_after(4.0)),
    Case("another key", other_key, duration_s=10.0),
    Case("silent", calm, is_silent=True),
    Case("silent, unsafe", calm, is_silent=True, path="/once/x"),
    Case(
        "the lead moves later", lead_moves_later, vms=3, duration_s=10.0, late_allowed=0
    ),
)


def play(case: Case, seed: int) -> Figures:
    """Play one run in virtual time."""

    async def main() -> Figures:
        world = World(case, seed)
        await world.start()
        try:
            await case.scenario(world)
            return world.figures()
        finally:
            await world.close()

    return run_in_virtual_time(main())


def main() -> None:
    """Play seeds and print the figures."""
    logging.disable()
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-1")
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split("-"))
    for case in CASES:
        for seed in range(first, last + 1):
            if arguments.only in case.name:
                print(case.name, seed, play(case, seed), flush=True)


if __name__ == "__main__":
    main()
