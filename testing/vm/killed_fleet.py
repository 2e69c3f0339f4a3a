"""Streams of two software versions that break since all VMs are killed at once.

``python -m testing.vm.killed_fleet --seeds 1-2`` prints what became of the streams.
"""

import argparse
import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any, Final, NamedTuple, final
from unittest.mock import patch

from _pistachiopond.decisions import stream_versions
from _pistachiopond.decisions.stream_versions import RELAY_AGAIN_S, RESUMPTION_GAP_S
from _pistachiopond.http1.client import ClientConnection, ExchangeError, connect
from _pistachiopond.http1.messages import HttpAddress, Request, encode_request
from _pistachiopond.http1.server import Responder, ServerConnection
from _pistachiopond.vm import leader_client, stream_origins
from _pistachiopond.vm.version_store import VERSIONS_KEY
from testing.virtual_time import run_in_virtual_time
from testing.vm.cluster import Cluster
from testing.vm.deployment import (
    configuration,
    listen,
    request_head,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import FakeServer, attempt_of

EVENTS: Final = 10
EVENT_PERIOD_S: Final = 0.2
# Streams with so many events outlast their callers' deadline.
LONG_EVENTS: Final = 60
# Enough for all to have begun; the VMs are killed while all run.
BEGIN_S: Final = 0.6
STREAMS: Final = 60
READ_EVENTS: Final = 2
DOWN_S: Final = 1.0
# The leader has given up by then.
STORE_AWAY_S: Final = 2.0
# For how long streams and sets of versions are remembered in these runs, and for how
# long the servers have served: longer than that.
MEMORY_S: Final = 13.0
SETTLED_S: Final = 15.0
SLOTS: Final = 100
DEADLINE_MS: Final = "9000"
PATH: Final = "/resume/x"
MAX_TRIES: Final = 4
# The limits of customers are not the matter here.
UNLIMITED: Final = {"ratePerS": 0, "burst": 0}


class Stream(NamedTuple):
    """A stream that a caller has begun."""

    attempt_id: str
    connection: ClientConnection
    versions: list[str]
    last_id: int


class Figures(NamedTuple):
    """What became of the streams.

    Attributes
    ----------
    begun : Counter of str
        Streams by the version that began them.
    gone_on, joined : int
        Those that went on, and of these those with events of two versions.
    statuses : Counter of int
        The answers to the callers that took their streams up again.
    went_on_at : Counter of str
        Streams that went on, by the version that began them.
    serving : frozenset of str
        The versions that serve when the streams are taken up again.
    """

    begun: Counter[str]
    gone_on: int
    joined: int
    statuses: Counter[int]
    went_on_at: Counter[str]
    serving: frozenset[str]

    def stranded(self) -> Counter[str]:
        """Return the streams that did not go on although their version serves."""
        return Counter(
            {
                version: count - self.went_on_at[version]
                for version, count in self.begun.items()
                if version in self.serving and count > self.went_on_at[version]
            }
        )


@final
class KilledFleet:
    """VMs, plain servers of two versions and callers of one run."""

    def __init__(self, seed: int, *, limits_customers: bool = False) -> None:
        self._limits_customers = limits_customers
        self.rng = random.Random(seed)
        self.cluster = Cluster()
        self.streams: list[Stream] = []
        self._addresses: dict[str, HttpAddress] = {}
        self._connections: dict[str, set[ServerConnection]] = {}
        self._servers: dict[str, str] = {}
        self._server_connections: dict[str, set[ServerConnection]] = {}
        self._listening: list[asyncio.Server] = []
        self._entries: dict[str, bytes] = {}
        self._count = 0
        self.events = EVENTS

    async def start(self, vms: int) -> None:
        """Start the VMs."""
        tenant = configuration(1)["tenants"][0]
        if not self._limits_customers:
            tenant |= UNLIMITED
        await self.cluster.start(vms, tenants=[tenant])
        for name in self.cluster.vms:
            await self.open(name)

    async def open(self, name: str) -> None:
        """Let a VM take callers."""
        connections: set[ServerConnection] = set()
        self._connections[name] = connections
        handler = self.cluster.vms[name].request_handler.handle
        listener, self._addresses[name] = await listen(handler, connections)
        self._listening.append(listener)

    async def add_server(self, version: str) -> str:
        """Start a server of a version."""
        self._count += 1
        name = f"s{self._count}"
        server = FakeServer(name)
        server.steps = [self._step(version)] * 10_000
        connections: set[ServerConnection] = set()
        listener, address = await listen(server.handle, connections)
        self._listening.append(listener)
        self._servers[name] = version
        self._server_connections[name] = connections
        self._entries[name] = server_entry(
            "plain", f"{address.ip}:{address.port}", version=version, slots=SLOTS
        )
        self.cluster.store.put("keyed.servers", name, self._entries[name])
        return name

    def remove(self, version: str) -> None:
        """Remove all servers of a version at once."""
        for name in [n for n, known in self._servers.items() if known == version]:
            del self._servers[name]
            self.cluster.store.put("keyed.servers", name, b"")
            for connection in list(self._server_connections[name]):
                connection.abort()

    def forget(self, version: str) -> None:
        """Expect no entries of a version; its servers go on."""
        for name in [n for n, known in self._servers.items() if known == version]:
            del self._servers[name]

    def _step(self, version: str) -> Callable[..., Coroutine[Any, Any, None]]:
        async def step(request: Request, responder: Responder) -> None:
            values = request.head.values(b"last-event-id")
            headers = [
                (b"X-Attempt-Id", attempt_of(request)),
                (b"X-Server-Seal", b"seal"),
                (b"Content-Type", b"text/event-stream"),
            ]
            await responder.start_response(200, headers, None)
            data = version.encode()
            for number in range(int(values[0]) + 1 if values else 0, self.events):
                await responder.send(b"id: %d\ndata: %b\n\n" % (number, data))
                await asyncio.sleep(EVENT_PERIOD_S)
            await responder.end()

        return step

    async def begin(self, count: int) -> None:
        """Begin streams at all VMs, and read their first events."""

        async def one(number: int) -> None:
            attempt_id = f"stream-{self.rng.randrange(10**9)}"
            if not await self._begin_one(number, count, attempt_id):
                raise AssertionError(f"{attempt_id} did not begin")

        await asyncio.gather(*(one(number) for number in range(count)))

    async def begin_where_possible(self, count: int) -> None:
        """Begin streams, of which some may be refused or end with their VM."""

        async def one(number: int) -> None:
            attempt_id = f"stream-{self.rng.randrange(10**9)}"
            with suppress(ExchangeError):
                await self._begin_one(number, count, attempt_id)

        await asyncio.gather(*(one(number) for number in range(count)))

    async def _begin_one(self, number: int, count: int, attempt_id: str) -> bool:
        """Begin a stream; return whether it has brought events."""
        await asyncio.sleep(BEGIN_S * number / count)
        name = self.rng.choice(sorted(self._addresses))
        connection = await self._send(name, attempt_id)
        body = b""
        while body.count(b"\n\n") < READ_EVENTS:
            chunk = await connection.read_chunk()
            if not chunk:
                connection.close()
                return False
            body += chunk
        versions, last_id = _read_events(body)
        self.streams.append(Stream(attempt_id, connection, versions, last_id))
        return True

    async def learn_versions(self) -> None:
        """Let all VMs know the versions for long enough to compute those of streams."""
        for vm in self.cluster.vms.values():
            vm.leader_client.origins.refresh()
        await asyncio.sleep(RESUMPTION_GAP_S)

    def fill(self, version: str) -> None:
        """Make all servers of a version look busy to all VMs."""
        for name, known in self._servers.items():
            if known == version:
                for vm in self.cluster.vms.values():
                    vm.fleet.own_load[name] = SLOTS

    async def _send(
        self, name: str, attempt_id: str, **headers: str
    ) -> ClientConnection:
        connection = await connect(self._addresses[name], 1.0)
        more = {"X_Attempt_Id": attempt_id, "X_Deadline_Ms": DEADLINE_MS} | headers
        head = request_head(PATH, 0, **more)
        connection.send(encode_request(head, b"body"))
        return connection

    async def kill_all(self) -> None:
        """Kill all VMs at once, with the connections of their callers."""
        for name in list(self.cluster.tasks):
            del self._addresses[name]
            for connection in list(self._connections.pop(name)):
                connection.abort()
            await self.cluster.kill(name)

    async def start_again(self) -> None:
        """Start as many new VMs as there were, and wait until they take requests."""
        store = HttpAddress(*self.cluster.server.sockets[0].getsockname())
        names = list(self.cluster.vms)
        self.cluster.vms.clear()
        for name in names:
            self.cluster.launch(name, store)
        for vm in self.cluster.vms.values():
            # As the readiness check: fresh configuration and servers.
            await wait_until(
                lambda vm=vm: (
                    vm.state.table is not None
                    and vm.fleet.is_loaded
                    and len(vm.fleet.servers) == len(self._servers)
                ),
                10.0,
            )
        for name in names:
            await self.open(name)

    async def resume(self) -> Figures:
        """Take all streams up again; callers come back as refusals tell them."""
        begun = Counter(stream.versions[0] for stream in self.streams)
        statuses: Counter[int] = Counter()
        went_on_at: Counter[str] = Counter()
        gone_on = joined = 0

        async def one(stream: Stream) -> None:
            nonlocal gone_on, joined
            status = 503
            retry_after_s = 0.0
            for number in range(MAX_TRIES):
                if status not in (429, 503):
                    break
                await asyncio.sleep(retry_after_s)
                name = self.rng.choice(sorted(self._addresses))
                connection = await self._send(
                    name,
                    f"{stream.attempt_id}-again-{number}",
                    Resumes=stream.attempt_id,
                    Last_Event_Id=str(stream.last_id),
                )
                response = await connection.read_head()
                status = response.status
                retry_after_s = float(response.value(b"retry-after") or 0.0)
                body = b""
                try:
                    while chunk := await connection.read_chunk():
                        body += chunk
                except ExchangeError:
                    pass
                connection.close()
            statuses[status] += 1
            if status == 200:
                gone_on += 1
                went_on_at[stream.versions[0]] += 1
                versions, _ = _read_events(body)
                joined += len({*stream.versions, *versions}) > 1

        await asyncio.gather(*(one(stream) for stream in self.streams))
        serving = frozenset(self._servers.values())
        return Figures(begun, gone_on, joined, statuses, went_on_at, serving)

    async def close(self) -> None:
        """End all."""
        for stream in self.streams:
            stream.connection.close()
        for listener in self._listening:
            listener.close()
        await self.cluster.close()


def _read_events(body: bytes) -> tuple[list[str], int]:
    """Return the version in each complete event, and the last id."""
    versions, last_id = [], -1
    for block in body.split(b"\n\n")[:-1]:
        first, _, data = block.partition(b"\ndata: ")
        last_id = int(first.removeprefix(b"id: "))
        versions.append(data.decode())
    return versions, last_id


Scenario = Callable[[KilledFleet], Coroutine[Any, Any, None]]


async def both_serve(fleet: KilledFleet) -> None:
    """Kill all VMs; both versions serve all the time."""
    await fleet.begin(STREAMS)
    await fleet.kill_all()
    await asyncio.sleep(DOWN_S)
    await fleet.start_again()


async def old_version_leaves_before(fleet: KilledFleet) -> None:
    """Remove the servers of v1 just before the kill."""
    await fleet.begin(STREAMS)
    fleet.remove("v1")
    await asyncio.sleep(0.1)
    await fleet.kill_all()
    await asyncio.sleep(DOWN_S)
    await fleet.start_again()


async def old_version_leaves_meanwhile(fleet: KilledFleet) -> None:
    """Remove the servers of v1 while no VM runs."""
    await fleet.begin(STREAMS)
    await fleet.kill_all()
    fleet.remove("v1")
    await asyncio.sleep(DOWN_S)
    await fleet.start_again()


async def replaced_while_streams_run(fleet: KilledFleet) -> None:
    """Replace v1 by v2 while streams run, and then kill all VMs."""
    half = asyncio.ensure_future(fleet.begin(STREAMS))
    await asyncio.sleep(BEGIN_S / 2.0)
    await fleet.add_server("v2")
    await half
    fleet.remove("v1")
    await asyncio.sleep(0.1)
    await fleet.kill_all()
    await asyncio.sleep(DOWN_S)
    await fleet.start_again()


async def new_version_comes_meanwhile(fleet: KilledFleet) -> None:
    """Replace the servers of v1 by one of v3 while no VM runs."""
    await fleet.begin(STREAMS)
    await fleet.kill_all()
    fleet.remove("v1")
    await fleet.add_server("v3")
    await asyncio.sleep(DOWN_S)
    await fleet.start_again()


async def killed_twice(fleet: KilledFleet) -> None:
    """Kill the VMs again just after they have come back."""
    await old_version_leaves_before(fleet)
    await asyncio.sleep(1.0)
    await fleet.kill_all()
    await asyncio.sleep(DOWN_S)
    await fleet.start_again()


async def killed_twice_with_both(fleet: KilledFleet) -> None:
    """Do the same while both versions serve."""
    await both_serve(fleet)
    await asyncio.sleep(1.0)
    await fleet.kill_all()
    await asyncio.sleep(DOWN_S)
    await fleet.start_again()


async def store_restored_before(fleet: KilledFleet) -> None:
    """Let the store come back from an older copy some seconds before the kill."""
    copy = fleet.cluster.store.copy()
    await asyncio.sleep(4.0)
    fleet.cluster.store.restore(copy)
    await asyncio.sleep(4.0)
    await old_version_leaves_before(fleet)


async def store_restored_meanwhile(fleet: KilledFleet) -> None:
    """Let the store come back, while no VM runs, from a copy without v2.

    The servers of v2 have not written their entries again when callers come back.
    """
    copy = fleet.cluster.store.copy()
    for _ in range(2):
        await fleet.add_server("v2")
    await asyncio.sleep(1.0)
    await fleet.begin(STREAMS)
    await fleet.kill_all()
    fleet.cluster.store.restore(copy)
    fleet.forget("v2")
    await asyncio.sleep(DOWN_S)
    await fleet.start_again()


async def store_restored_late(fleet: KilledFleet) -> None:
    """Let the store lose the records of streams that have run for some seconds.

    The leader has written the versions again when all VMs are killed.
    """
    await fleet.learn_versions()
    fleet.events = LONG_EVENTS
    fleet.fill("v2")
    copy = fleet.cluster.store.copy()
    await fleet.begin(STREAMS)
    await asyncio.sleep(RELAY_AGAIN_S)
    fleet.cluster.store.restore(copy)
    await asyncio.sleep(1.5)
    await _kill_and_return(fleet)


async def record_missing(fleet: KilledFleet) -> None:
    """Remove the record before the kill, as if the last leader had written none."""
    await fleet.begin(STREAMS)
    fleet.cluster.store.put("keyed.pond", VERSIONS_KEY, b"")
    fleet.remove("v1")
    await fleet.kill_all()
    await asyncio.sleep(DOWN_S)
    await fleet.start_again()


async def store_away(fleet: KilledFleet) -> None:
    """Begin streams while the store answers nobody and v2 is busy; kill all VMs."""
    await fleet.learn_versions()
    fleet.cluster.store.refuses = lambda path: True
    await asyncio.sleep(STORE_AWAY_S)
    fleet.fill("v2")
    await fleet.begin(STREAMS)
    await _kill_and_return(fleet)


async def store_goes_away(fleet: KilledFleet) -> None:
    """Let the store go away while streams begin beside a busy v2; kill all VMs."""
    await _begin_until_killed(fleet, lambda path: True)


async def appends_refused(fleet: KilledFleet) -> None:
    """Let the store refuse appends, but answer reads, meanwhile; kill all VMs."""
    await _begin_until_killed(fleet, lambda path: path == "/log-append")


async def _begin_until_killed(
    fleet: KilledFleet, refuses: Callable[[str], bool]
) -> None:
    await fleet.learn_versions()
    fleet.fill("v2")
    beginning = asyncio.ensure_future(fleet.begin_where_possible(STREAMS))
    await asyncio.sleep(BEGIN_S / 2.0)
    fleet.cluster.store.refuses = refuses
    await asyncio.sleep(BEGIN_S * 0.75)
    await _kill_and_return(fleet)
    await beginning


async def _kill_and_return(fleet: KilledFleet) -> None:
    """Kill all VMs; the store is back when they start again."""
    await fleet.kill_all()
    await asyncio.sleep(DOWN_S)
    fleet.cluster.store.refuses = lambda path: False
    await fleet.start_again()


class Case(NamedTuple):
    """A scenario, and what must go on in it.

    Attributes
    ----------
    scenario : callable
        What happens.
    vms : int
        The number of VMs.
    versions : tuple of str
        The versions of the servers at first.
    settled_s : float
        For how long the servers have served.
    """

    scenario: Scenario
    vms: int = 3
    versions: tuple[str, ...] = ("v1", "v1", "v2")
    settled_s: float = SETTLED_S


CASES: Final = (
    Case(both_serve),
    Case(both_serve, vms=1),
    Case(both_serve, versions=("v1", "v1")),
    Case(old_version_leaves_before),
    Case(old_version_leaves_before, vms=1),
    Case(old_version_leaves_meanwhile),
    Case(replaced_while_streams_run, versions=("v1", "v1")),
    Case(new_version_comes_meanwhile),
    Case(killed_twice),
    Case(store_restored_before),
    Case(both_serve, settled_s=1.0),
    Case(replaced_while_streams_run, versions=("v1", "v1"), settled_s=3.0),
    Case(killed_twice_with_both),
)


# Faults of the store before the loss of all VMs. Both versions serve all the time.
STORE_FAULTS: Final = (
    Case(store_away),
    Case(store_away, vms=1),
    Case(store_goes_away),
    Case(appends_refused),
    Case(store_restored_late),
)


async def play(case: Case, seed: int) -> Figures:
    """Play one run."""
    fleet = KilledFleet(seed)
    await fleet.start(case.vms)
    for version in case.versions:
        await fleet.add_server(version)
    await asyncio.sleep(case.settled_s)
    try:
        await case.scenario(fleet)
        return await fleet.resume()
    finally:
        await fleet.close()


def play_case(case: Case, seed: int) -> Figures:
    """Play one run in virtual time, with a shorter memory than deployed."""
    with (
        patch.object(stream_versions, "STREAM_MEMORY_S", MEMORY_S),
        patch.object(stream_origins, "STREAM_MEMORY_S", MEMORY_S),
        patch.object(leader_client, "STREAM_MEMORY_S", MEMORY_S),
    ):
        return run_in_virtual_time(play(case, seed))


def main() -> None:
    """Play seeds and print the figures."""
    logging.disable()
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-1")
    first, last = map(int, parser.parse_args().seeds.split("-"))
    for case in CASES + STORE_FAULTS:
        for seed in range(first, last + 1):
            name = f"{case.scenario.__name__} {case.vms} {case.versions}"
            print(name, seed, play_case(case, seed), flush=True)


if __name__ == "__main__":
    main()
