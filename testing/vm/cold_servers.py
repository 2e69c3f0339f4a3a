"""Several VMs whose servers are cold: they take few requests until a known time.

``python -m testing.vm.cold_servers --seeds 1-3`` prints what the servers got.
"""

import argparse
import asyncio
import logging
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, final

from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from testing.virtual_time import run_in_virtual_time
from testing.vm.deployment import configuration, server_entry
from testing.vm.fake_server import attempt_of
from testing.vm.rate_limited_servers import RatedServer, RatedWorld

COLD_PER_S: Final = 16.0
COLD_START_S: Final = 3.0
HEARTBEAT_S: Final = 1.2
WINDOW_S: Final = 1.0
# What operators tolerate in a window: this multiple of the rate, and some requests.
COLD_OVER: Final = 1.5
COLD_SLACK: Final = 5
# The time that an entry takes from the server through the store to all VMs.
READ_S: Final = 0.35
COLD_AT_S: Final = 2.0
AFTER_S: Final = 1.5
WORK_S: Final = 0.02
# The data centre of servers that become cold, where it is evacuated.
ZONE: Final = "north"
# As in the entries of `server_entry`, which the servers start with.
FIRST_BORN: Final = 1_000


def cold_services(**more: Any) -> list[dict[str, Any]]:
    """Return the services of a configuration whose plain servers may be cold."""
    plain, engines = configuration(1)["services"]
    stated = {"coldPerS": COLD_PER_S, "coldStartS": COLD_START_S, **more}
    return [plain | stated, engines]


@final
class ColdWorld:
    """The servers of a `RatedWorld`, some of which become cold."""

    def __init__(self, world: RatedWorld) -> None:
        self.world = world
        self.cold_until_s: dict[int, float] = {}
        self.born = FIRST_BORN
        # So many servers, the first ones, are in the data centre that is evacuated.
        self.evacuable = 0
        for number, server in enumerate(world.servers):
            server.step = self._answer(number, server)  # type: ignore[method-assign]

    def _answer(
        self, number: int, server: RatedServer
    ) -> Callable[[Request, Responder], Awaitable[None]]:
        async def step(request: Request, responder: Responder) -> None:
            now_s = asyncio.get_running_loop().time()
            server.arrived_s.append(now_s)
            headers = [
                (b"X-Attempt-Id", attempt_of(request)),
                (b"X-Server-Seal", b"seal"),
            ]
            remaining_s = self.cold_until_s.get(number, 0.0) - now_s
            if remaining_s > 0.0:
                headers.append((b"X-Cold-Ms", b"%d" % int(remaining_s * 1000.0)))
            await asyncio.sleep(WORK_S)
            await responder.respond(200, headers, b"done")

        return step

    def become_cold(self, count: int, *, states_it: bool = True) -> None:
        """Start the first servers again; their entries may say that they are cold."""
        self.born += 1
        until_s = asyncio.get_running_loop().time() + COLD_START_S
        for number in range(count):
            self.cold_until_s[number] = until_s
            self.write_entry(number, states_it=states_it)

    def write_entry(self, number: int, *, states_it: bool = True) -> None:
        """Write a server's entry, as of now."""
        world = self.world
        left_s = self.cold_until_s.get(number, 0.0) - asyncio.get_running_loop().time()
        more = {"coldRemainingMs": max(0.0, left_s * 1000.0)} if states_it else {}
        is_cold = number in self.cold_until_s
        entry = server_entry(
            "plain",
            "{}:{}".format(*world.server_addresses[number]),
            slots=8,
            born=self.born if is_cold else FIRST_BORN,
            zone=ZONE if number < self.evacuable else "here",
            **more,
        )
        world.cluster.store.put("keyed.servers", f"s{number}", entry)


class ColdFigures(NamedTuple):
    """What one run came to.

    Attributes
    ----------
    most : list of int
        The most requests in any window at each cold server, once VMs could know.
    arrived : list of int
        How many requests each cold server got in its cold phase.
    after : list of int
        How many each of them got in the second after it.
    evacuated : list of int
        How many each of them got while its data centre was evacuated.
    answers : Counter
        What the callers got in the end, by status.
    """

    most: list[int]
    arrived: list[int]
    after: list[int]
    evacuated: list[int]
    answers: Counter[int]

    def problems(self, case: "ColdCase") -> list[str]:
        """Return what operators do not accept."""
        allowed = COLD_PER_S * COLD_OVER + COLD_SLACK
        enough = case.min_share * COLD_PER_S * (COLD_START_S - READ_S)
        if case.evacuated_s is not None:
            from_s, until_s = case.evacuated_s
            enough *= 1.0 - (until_s - max(0.0, from_s)) / COLD_START_S
        found = [f"{most} in a window" for most in self.most if most > allowed]
        found += [f"only {count}" for count in self.arrived if count < enough]
        if case.ends_at_once:
            found += [f"{count} after" for count in self.after if count < allowed]
        found += [f"{count} while evacuated" for count in self.evacuated if count]
        return found


Trouble = Callable[[RatedWorld], Awaitable[None]]


async def no_trouble(world: RatedWorld) -> None:
    """Leave all VMs alone."""


async def leader_killed(world: RatedWorld) -> None:
    """Kill the leader in the cold phase."""
    await asyncio.sleep(COLD_AT_S + 0.8)
    await world.kill(world.cluster.leader())


async def all_killed(world: RatedWorld) -> None:
    """Kill all VMs in the cold phase, and start them again."""
    await asyncio.sleep(COLD_AT_S + 0.8)
    names = list(world.cluster.tasks)
    for name in names:
        await world.kill(name)
    await asyncio.sleep(0.2)
    await asyncio.gather(*(world.restart(name) for name in names))


async def store_away(world: RatedWorld) -> None:
    """Let the store refuse all calls from just after the servers became cold."""
    await asyncio.sleep(COLD_AT_S + 0.5)
    world.cluster.store.refuses = lambda path: True
    await asyncio.sleep(2.0)
    world.cluster.store.refuses = lambda path: False


async def leader_unreachable(world: RatedWorld) -> None:
    """Keep all VMs from asking the leader for places in the cold phase."""
    await asyncio.sleep(COLD_AT_S)
    vms = list(world.cluster.vms.values())
    for vm in vms:
        vm.leader_client.places._send = lambda request: False


class ColdCase(NamedTuple):
    """One kind of run.

    Attributes
    ----------
    min_share : float
        The part of the rate that is used at least.
    ends_at_once : bool
        Whether the VMs know when the cold phase ends. Started again, they count what an
        entry says from its reading.
    evacuated_s : tuple of (float, float) or None
        From when to when the data centre of these servers is evacuated, in seconds
        after they become cold; None if it is not.
    """

    name: str
    vms: int
    servers: int
    cold: int
    per_s: float
    trouble: Trouble = no_trouble
    states_it: bool = True
    min_share: float = 0.8
    ends_at_once: bool = True
    evacuated_s: tuple[float, float] | None = None


CASES: Final = (
    ColdCase("the whole service", 6, 3, 3, 150.0),
    ColdCase("entries that do not say", 6, 3, 3, 150.0, states_it=False),
    ColdCase("one of three", 4, 3, 1, 300.0, min_share=0.6),
    ColdCase("leader killed", 6, 3, 3, 150.0, leader_killed, min_share=0.5),
    ColdCase("all VMs killed", 6, 3, 3, 150.0, all_killed, True, 0.3, False),
    ColdCase("store away", 6, 3, 3, 150.0, store_away, min_share=0.6),
    ColdCase("no leader", 6, 3, 3, 150.0, leader_unreachable, min_share=0.1),
    # Operators evacuate a data centre whose servers are cold, or whose servers become
    # cold then, and take it back before they are warm.
    ColdCase("evacuated while cold", 6, 3, 3, 150.0, evacuated_s=(0.8, 1.8)),
    ColdCase("cold while evacuated", 6, 3, 3, 150.0, evacuated_s=(-1.0, 1.5)),
    ColdCase(
        "one of three, evacuated", 4, 3, 1, 300.0, min_share=0.6, evacuated_s=(-1, 1)
    ),
    ColdCase(
        "evacuated, leader killed at the end",
        6,
        3,
        3,
        150.0,
        leader_killed,
        min_share=0.3,
        evacuated_s=(-1.0, 0.8),
    ),
)


async def evacuate(case: ColdCase, cold: ColdWorld) -> None:
    """Evacuate the data centre of the servers that become cold, for some time."""
    if case.evacuated_s is None:
        return
    loop = asyncio.get_running_loop()
    cold_s = loop.time() + COLD_AT_S
    cold.evacuable = case.cold
    for number in range(case.cold):
        cold.write_entry(number)
    for at_s, value in zip(case.evacuated_s, (b"{}", b""), strict=True):
        await asyncio.sleep(cold_s + at_s - loop.time())
        cold.world.cluster.store.put("keyed.op", f"evacuate/{ZONE}", value)


async def play(case: ColdCase, seed: int) -> ColdFigures:
    """Play one run."""
    world = RatedWorld(random.Random(seed), [None] * case.servers)
    cold = ColdWorld(world)
    await world.start(case.vms, services=cold_services())
    # The VMs were there before the servers, which so count as cold.
    await asyncio.sleep(COLD_START_S + 0.5)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    ends_s = began_s + COLD_AT_S + COLD_START_S
    calls: list[asyncio.Task[None]] = []

    async def send() -> None:
        while loop.time() < ends_s + AFTER_S:
            if world._addresses:
                calls.append(asyncio.ensure_future(world.call()))
            await asyncio.sleep(world.rng.expovariate(case.per_s))

    async def write_entries() -> None:
        await asyncio.sleep(COLD_AT_S)
        cold.become_cold(case.cold, states_it=case.states_it)
        while loop.time() < ends_s + AFTER_S:
            await asyncio.sleep(HEARTBEAT_S)
            for number in range(case.servers):
                cold.write_entry(number, states_it=case.states_it)

    try:
        await asyncio.gather(
            send(), write_entries(), evacuate(case, cold), case.trouble(world)
        )
        await asyncio.gather(*calls)
    finally:
        await world.close()
    cold_s = began_s + COLD_AT_S
    from_s, until_s = case.evacuated_s or (0.0, 0.0)
    return ColdFigures(
        [
            most_in_window(server, cold_s + READ_S, ends_s)
            for server in world.servers[: case.cold]
        ],
        [
            sum(cold_s + READ_S <= at_s < ends_s for at_s in server.arrived_s)
            for server in world.servers[: case.cold]
        ],
        [
            sum(ends_s <= at_s < ends_s + 1.0 for at_s in server.arrived_s)
            for server in world.servers[: case.cold]
        ],
        [
            sum(
                cold_s + from_s + READ_S <= at_s < cold_s + until_s
                for at_s in server.arrived_s
            )
            for server in world.servers[: case.cold]
        ],
        world.answers,
    )


def most_in_window(server: RatedServer, from_s: float, until_s: float) -> int:
    """Return the most requests in any window between these times."""
    arrived = [at_s for at_s in server.arrived_s if from_s <= at_s < until_s]
    return max(
        (sum(at <= other < at + WINDOW_S for other in arrived) for at in arrived),
        default=0,
    )


def play_case(case: ColdCase, seed: int) -> ColdFigures:
    """Play a run of one kind in virtual time."""
    return run_in_virtual_time(play(case, seed))


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
