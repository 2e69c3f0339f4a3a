"""Several VMs whose servers name the rate of requests that they take from all of them.

``python -m testing.vm.rate_limited_servers --seeds 1-3`` prints what the servers got.
"""

import argparse
import asyncio
import logging
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, NamedTuple, final

from _pistachiopond.http1.client import ExchangeError, connect
from _pistachiopond.http1.messages import HttpAddress, Request, encode_request
from _pistachiopond.http1.server import Responder
from testing.virtual_time import run_in_virtual_time
from testing.vm.cluster import Cluster
from testing.vm.deployment import (
    MAX_BODY_BYTES,
    listen,
    request_head,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import FakeServer, attempt_of

# The operators' stability window: from then on after a server first named its rate,
# what reaches it is bounded.
STABILITY_WINDOW_S: Final = 3.0
WINDOW_S: Final = 4.0
MAX_RATE_RATIO: Final = 1.5
MAX_EXTRA: Final = 5
NAMED_AT_S: Final = 2.0
DURATION_S: Final = 14.0
WORK_S: Final = 0.02
RATES: Final = (3.2, 3.8)
SERVERS: Final = 6
MAX_TRIES: Final = 2


@final
class RatedServer:
    """Behaviour of a fake server that names a rate in its answers for some time."""

    def __init__(self, rate_per_s: float | None) -> None:
        self.rate_per_s = rate_per_s
        self.is_naming = False
        self.arrived_s: list[float] = []

    def allowed(self) -> float:
        """Return how many requests may reach the server within the window."""
        assert self.rate_per_s is not None
        return MAX_RATE_RATIO * WINDOW_S * self.rate_per_s + MAX_EXTRA

    def most_in_window(self, from_s: float, until_s: float) -> int:
        """Return the most requests in any window that begins between these times."""
        arrived = [at_s for at_s in self.arrived_s if from_s <= at_s < until_s]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in arrived)
                for start_s in arrived
            ),
            default=0,
        )

    async def step(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        self.arrived_s.append(asyncio.get_running_loop().time())
        headers = [(b"X-Attempt-Id", attempt_of(request)), (b"X-Server-Seal", b"seal")]
        if self.is_naming and self.rate_per_s is not None:
            headers.append((b"Server-Limit", b"%g" % self.rate_per_s))
        await asyncio.sleep(WORK_S)
        await responder.respond(200, headers, b"done")


class Figures(NamedTuple):
    """What one run came to.

    Attributes
    ----------
    most : list of int
        The most requests in any window at each server with a rate.
    allowed : list of float
        How many are allowed there.
    named_s : float
        For how long the servers named their rate, after the stability window.
    arrived : list of int
        How many requests reached these servers in that time.
    late : list of int
        How many reached them in the window after they ceased to name it.
    answers : Counter
        What the callers got in the end, by status; 0 for a broken connection.
    """

    most: list[int]
    allowed: list[float]
    named_s: float
    arrived: list[int]
    late: list[int]
    answers: Counter[int]

    def excesses(self) -> list[tuple[int, float]]:
        """Return what the servers got beyond the bound, and the bound."""
        pairs = zip(self.most, self.allowed, strict=True)
        return [(most, allowed) for most, allowed in pairs if most > allowed]


@final
class RatedWorld:
    """VMs, servers and callers of one run."""

    def __init__(self, rng: random.Random, rates: Sequence[float | None]) -> None:
        self.rng = rng
        self.cluster = Cluster()
        self.servers = [RatedServer(rate) for rate in rates]
        self.answers: Counter[int] = Counter()
        self._addresses: dict[str, HttpAddress] = {}
        self.server_addresses: list[HttpAddress] = []
        self._listening: list[asyncio.Server] = []
        self._count = 0

    async def start(self, vms: int, **more: Any) -> None:
        """Start all VMs and servers.

        Further arguments replace parts of the configuration.
        """
        await self.cluster.start(vms, **more)
        for number, behaviour in enumerate(self.servers):
            server = FakeServer(f"s{number}")
            server.steps = [behaviour.step] * 100_000
            listener, address = await listen(server.handle)
            self._listening.append(listener)
            self.server_addresses.append(address)
            entry = server_entry("plain", f"{address.ip}:{address.port}", slots=8)
            self.cluster.store.put("keyed.servers", server.server_id, entry)
        for name in self.cluster.vms:
            await self.accept_callers(name)

    async def accept_callers(self, name: str) -> None:
        """Wait until a VM knows the servers, and send it callers."""
        vm = self.cluster.vms[name]
        await wait_until(lambda: len(vm.fleet.servers) == len(self.servers))
        listener, address = await listen(vm.request_handler.handle)
        self._listening.append(listener)
        self._addresses[name] = address

    async def kill(self, name: str) -> None:
        """Kill a VM; its callers go to the others."""
        self._addresses.pop(name, None)
        await self.cluster.kill(name)

    async def restart(self, name: str) -> None:
        """Start a VM that was killed."""
        _, store = self.cluster.server, self.cluster.server.sockets[0].getsockname()
        self.cluster.launch(name, HttpAddress(*store))
        await self.accept_callers(name)

    async def call(self) -> None:
        """Send a request, and again when a refusal says so."""
        status = 0
        for _ in range(MAX_TRIES):
            status, retry_after_s = await self._try()
            if status not in (0, 429, 503):
                break
            await asyncio.sleep(retry_after_s)
        self.answers[status] += 1

    async def _try(self) -> tuple[int, float]:
        self._count += 1
        if not self._addresses:
            # All VMs are down.
            return 0, 0.1
        name = self.rng.choice(sorted(self._addresses))
        try:
            connection = await connect(self._addresses[name], 1.0)
            head = request_head("/open/x", self._count)
            connection.send(encode_request(head, b"body"))
            response = await connection.read_head()
            await connection.read_body(MAX_BODY_BYTES)
        except ExchangeError:
            return 0, 0.1
        connection.close()
        return response.status, float(response.value(b"retry-after") or 0.0)

    async def close(self) -> None:
        """End all."""
        for listener in self._listening:
            listener.close()
        await self.cluster.close()


Trouble = Callable[[RatedWorld], Awaitable[None]]


async def no_trouble(world: RatedWorld) -> None:
    """Leave all VMs alone."""


async def leader_killed_twice(world: RatedWorld) -> None:
    """Kill the leader 4 and 8 s after the rate was named, and start it again."""
    await asyncio.sleep(NAMED_AT_S + 4.0)
    for _ in range(2):
        name = world.cluster.leader()
        await world.kill(name)
        await asyncio.sleep(1.5)
        await world.restart(name)
        await asyncio.sleep(2.5)


async def all_killed(world: RatedWorld) -> None:
    """Kill all VMs at once 4 s after the rate was named, and start them again."""
    await asyncio.sleep(NAMED_AT_S + 4.0)
    names = list(world.cluster.tasks)
    for name in names:
        await world.kill(name)
    await asyncio.sleep(0.5)
    await asyncio.gather(*(world.restart(name) for name in names))


async def play(
    seed: int,
    vms: int,
    per_s: float,
    rates: Sequence[float | None] = RATES,
    trouble: Trouble = no_trouble,
    servers: int = SERVERS,
) -> Figures:
    """Play one run."""
    padded = [*rates, *[None] * (servers - len(rates))]
    world = RatedWorld(random.Random(seed), padded)
    await world.start(vms)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    calls: list[asyncio.Task[None]] = []

    async def send() -> None:
        while loop.time() < began_s + DURATION_S + WINDOW_S:
            if world._addresses:
                calls.append(asyncio.ensure_future(world.call()))
            await asyncio.sleep(world.rng.expovariate(per_s))

    async def name_rates() -> None:
        await asyncio.sleep(NAMED_AT_S)
        for server in world.servers:
            server.is_naming = True
        await asyncio.sleep(DURATION_S - NAMED_AT_S)
        for server in world.servers:
            server.is_naming = False

    try:
        await asyncio.gather(send(), name_rates(), trouble(world))
        await asyncio.gather(*calls)
    finally:
        await world.close()
    from_s = began_s + NAMED_AT_S + STABILITY_WINDOW_S
    until_s = began_s + DURATION_S
    rated = [item for item in world.servers if item.rate_per_s is not None]
    return Figures(
        [item.most_in_window(from_s, until_s) for item in rated],
        [item.allowed() for item in rated],
        until_s - from_s,
        [sum(from_s <= at_s < until_s for at_s in item.arrived_s) for item in rated],
        [sum(at_s >= until_s for at_s in item.arrived_s) for item in rated],
        world.answers,
    )


class Case(NamedTuple):
    """One kind of run."""

    name: str
    vms: int
    per_s: float
    rates: Sequence[float | None] = RATES
    trouble: Trouble = no_trouble
    servers: int = SERVERS


CASES: Final = (
    Case("3 VMs", 3, 60.0),
    Case("8 VMs", 8, 80.0),
    Case("leader killed twice", 6, 60.0, trouble=leader_killed_twice),
    Case("all VMs killed", 6, 60.0, trouble=all_killed),
    Case("all servers", 6, 60.0, (0.5, 1.2, 2.0, 3.2, 3.8, 4.5)),
    Case("the only server", 3, 20.0, (4.0,), servers=1),
)


def play_case(case: Case, seed: int) -> Figures:
    """Play a run of one kind in virtual time."""
    work = play(seed, case.vms, case.per_s, case.rates, case.trouble, case.servers)
    return run_in_virtual_time(work)


def main() -> None:
    """Play seeds and print the figures."""
    logging.disable()
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-2")
    first, last = map(int, parser.parse_args().seeds.split("-"))
    for case in CASES:
        for seed in range(first, last + 1):
            print(case.name, seed, play_case(case, seed), flush=True)


if __name__ == "__main__":
    main()
