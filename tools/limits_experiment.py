"""Counts wrongful refusals of the limits against two other ways, in virtual time.

The live processes' decisions run here as they are: `GrantBook` in each entry
daemon and `TokenPool` in each holder. The same arrivals go to (a) an even static
split over daemons and (b) one perfect bucket; both are told a request's final usage
at admission, which the real thing learns only later.

    python tools/limits_experiment.py --seed 1 --daemons 8
"""

import argparse
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple

from _pistachiopond.decisions.grants import GrantBook, PlannedDraw
from _pistachiopond.decisions.limits import (
    OWNER_SHARE,
    PoolLimit,
    floor_pool,
    owner_pool,
)
from _pistachiopond.decisions.pools import DrawAnswer, TokenPool
from _pistachiopond.schema.limits import LimitsView, PoolSource
from _pistachiopond.transport.draws import answer_to_message, draw_to_message

CENTRES: Final = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
CUSTOMERS: Final = ("c0", "c1", "c2", "c3", "c4")
WEIGHTS: Final = (0.4, 0.3, 0.15, 0.1, 0.05)
REQUESTS_PER_S: Final = {8: 50.0, 390: 2500.0}
MEAN_GENERATED: Final = 252.0
MEAN_PROMPT: Final = 300.0
BETWEEN_TOKENS_S: Final = 0.029
TICK_S: Final = 0.25
WAIT_S: Final = 0.25
NEAR_S: Final = 0.001
FAR_S: Final = 0.02
WARM_UP_S: Final = 10.0
FAULT_S: Final = 20.0
FIRST_TOKEN_S: Final = 0.3
LEASE_S: Final = 10.0
LONG_HELD_S: Final = 1000.0


class Options(NamedTuple):
    """One run."""

    seed: int
    daemons: int
    scenario: str
    duration_s: float
    load: float
    burst_s: float
    owner_share: float
    notes: bool = True


class Request(NamedTuple):
    """An arrival; `used` is known at its end."""

    at_s: float
    customer: str
    daemon: int
    reserve: float
    used: float


class Bucket:
    """A token bucket that is told the final usage."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at_s = rate, burst, burst, 0.0

    def admit(self, request: Request) -> bool:
        """Take the tokens if they are there."""
        gained = (request.at_s - self.at_s) * self.rate
        self.level = min(self.burst, self.level + gained)
        self.at_s = request.at_s
        if self.level < request.used:
            return False
        self.level -= request.used
        return True


def make_arrivals(options: Options) -> list[Request]:
    """Return the arrivals of a run, in order."""
    rng = random.Random(options.seed)
    arrivals = []
    for customer, weight in zip(CUSTOMERS, WEIGHTS, strict=True):
        per_s = REQUESTS_PER_S[options.daemons] * weight
        at_s = 0.0
        while True:
            is_loud = options.scenario == "eightfold" and customer == "c1"
            factor = 8.0 if is_loud and at_s > FAULT_S else 1.0
            at_s += rng.expovariate(per_s * factor)
            if at_s >= options.duration_s:
                break
            prompt = min(3000.0, rng.lognormvariate(5.4, 0.75))
            generated = 1.0 + min(511.0, rng.expovariate(1.0 / 300.0))
            daemon = rng.randrange(options.daemons)
            request = Request(
                at_s, customer, daemon, prompt + 512.0, prompt + generated
            )
            arrivals.append(request)
    return sorted(arrivals)


def rates(options: Options, arrivals: list[Request]) -> dict[str, float]:
    """Return each customer's rate, so that calm traffic is `load` of it."""
    used = sum(request.used for request in arrivals) / len(arrivals)
    total = REQUESTS_PER_S[options.daemons]
    return {
        name: total * weight * used / options.load
        for name, weight in zip(CUSTOMERS, WEIGHTS, strict=True)
    }


class World:
    """Entry daemons, pools and the network between them."""

    def __init__(self, options: Options, limits: dict[str, float]) -> None:
        self.options = options
        self.limits = limits
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.now_s = 0.0
        self.ids = itertools.count(1)
        names = list(CENTRES)
        self.centres = [names[i % len(names)] for i in range(options.daemons)]
        self.books = [self.make_book(i) for i in range(options.daemons)]
        self.pools: dict[str, TokenPool | None] = {}
        for name in (owner_pool(0), *(floor_pool(c) for c in CENTRES)):
            is_cold = options.scenario == "cold_start"
            self.acquire(name, 0.0 if is_cold else -LONG_HELD_S)
        self.waiting: list[list[tuple[float, Request]]] = [
            [] for _ in range(options.daemons)
        ]
        self.refused: Counter[str] = Counter()
        self.served_tokens: Counter[str] = Counter()
        self.draws: Counter[str] = Counter()
        self.bytes = 0

    def make_book(self, daemon: int) -> GrantBook:
        """Return the book of a new start of an entry daemon."""
        book = GrantBook(f"{daemon}-{next(self.ids)}")
        mine = self.centres[daemon]
        names = list(CENTRES)
        start = names.index(mine)
        floors = [floor_pool(c) for c in names[start:] + names[:start]]
        pools = [floors[0], owner_pool(0), *floors[1:]]
        sources = (PoolSource(p, p, CUSTOMERS, p != owner_pool(0)) for p in pools)
        book.set_sources(LimitsView(tuple(sources)))
        return book

    def acquire(self, pool: str, now_s: float, before_s: float | None = None) -> None:
        """Let a new holder take a pool."""
        share = self.options.owner_share
        part = share if pool == owner_pool(0) else (1.0 - share) / len(CENTRES)
        tokens = TokenPool(next(self.ids), now_s, before_s)
        limits = {
            name: PoolLimit(rate * part, rate * part * self.options.burst_s)
            for name, rate in self.limits.items()
        }
        tokens.configure(limits, now_s)
        self.pools[pool] = tokens

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.events, (at_s, next(self.order), action))

    def run(self, arrivals: list[Request]) -> None:
        """Run to the end of the arrivals."""
        for request in arrivals:
            self.at(request.at_s, lambda request=request: self.arrive(request))
        for daemon in range(self.options.daemons):
            phase_s = TICK_S * daemon / self.options.daemons
            self.at(phase_s, lambda daemon=daemon: self.tick(daemon))
        self.plan_faults()
        while self.events and self.events[0][0] <= self.options.duration_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()

    def plan_faults(self) -> None:
        """Put the scenario's faults into the run."""
        owner = owner_pool(0)
        scenario = self.options.scenario
        if scenario in ("owner_loss", "log_down"):
            self.at(FAULT_S, lambda: self.pools.update({owner: None}))
        if scenario == "owner_loss":
            back_s = FAULT_S + LEASE_S
            self.at(back_s, lambda: self.acquire(owner, back_s, 0.0))
        if scenario == "floor_loss":
            self.at(FAULT_S, lambda: self.pools.update({floor_pool("a2"): None}))
        if scenario == "restarts":
            step_s = (self.options.duration_s - FAULT_S) / self.options.daemons
            for daemon in range(self.options.daemons):
                at_s = FAULT_S + daemon * step_s
                self.at(at_s, lambda daemon=daemon: self.restart(daemon))

    def restart(self, daemon: int) -> None:
        """Replace an entry daemon that gives nothing back."""
        self.books[daemon] = self.make_book(daemon)

    def is_cut(self, daemon: int, pool: str) -> bool:
        """Return whether a daemon cannot reach a pool; the owner is in region a."""
        if self.options.scenario != "region_cut" or self.now_s < FAULT_S:
            return False
        region = CENTRES[self.centres[daemon]]
        home = "a" if pool == owner_pool(0) else CENTRES[pool.split("-")[1]]
        return region != home

    def arrive(self, request: Request) -> None:
        """Reserve, or wait for a draw."""
        if self.admit(request):
            return
        self.waiting[request.daemon].append((self.now_s + WAIT_S, request))
        self.look_again(request.daemon)

    def admit(self, request: Request) -> bool:
        """Try to reserve, and plan the end of the request."""
        book = self.books[request.daemon]
        number = book.reserve(request.customer, request.reserve, self.now_s)
        if not isinstance(number, int):
            return False
        self.served_tokens[request.customer] += request.used
        took_s = (request.used - 0.5 * MEAN_PROMPT) * BETWEEN_TOKENS_S
        end_s = self.now_s + max(0.2, min(512 * BETWEEN_TOKENS_S, took_s))
        self.at(end_s, lambda: book.settle(number, request.used, self.now_s))
        if self.options.notes:
            self.plan_notes(book, number, request, end_s)
        return True

    def plan_notes(
        self, book: GrantBook, number: int, request: Request, end_s: float
    ) -> None:
        """Note the prompt at the first token, and what was generated each second."""
        prompt = request.reserve - 512.0
        start_s = self.now_s
        at_s = start_s + FIRST_TOKEN_S
        while at_s < end_s:
            done = (at_s - start_s) / (end_s - start_s)
            used = prompt + done * (request.used - prompt)
            self.at(at_s, lambda used=used: book.note_used(number, used))
            at_s += 1.0

    def look_again(self, daemon: int) -> None:
        """Let waiting requests try, refuse late ones, and send draws."""
        waiting = []
        for deadline_s, request in self.waiting[daemon]:
            if self.admit(request):
                continue
            if self.now_s >= deadline_s:
                if request.at_s > WARM_UP_S:
                    self.refused[request.customer] += 1
                continue
            waiting.append((deadline_s, request))
        self.waiting[daemon] = waiting
        wanted: Counter[str] = Counter()
        for _, request in waiting:
            wanted[request.customer] += request.reserve
        for customer in CUSTOMERS:
            self.books[daemon].set_waiting(customer, wanted[customer])
        for planned in self.books[daemon].plan_draws(self.now_s):
            self.send(daemon, planned)

    def tick(self, daemon: int) -> None:
        """Look after draws that are due."""
        self.look_again(daemon)
        self.at(self.now_s + TICK_S, lambda: self.tick(daemon))

    def send(self, daemon: int, planned: PlannedDraw) -> None:
        """Carry a draw to its pool and the answer back."""
        book = self.books[daemon]
        name = planned.pool
        near = name != owner_pool(0) and name == floor_pool(self.centres[daemon])
        delay_s = NEAR_S if near or CENTRES[self.centres[daemon]] == "a" else FAR_S
        if self.now_s > WARM_UP_S:
            self.draws[name] += 1
            self.bytes += len(draw_to_message(name, planned.draw).SerializeToString())

        def ask() -> None:
            pool = self.pools[name]
            if pool is None or self.is_cut(daemon, name):
                self.at(self.now_s + delay_s, fail)
                return
            answer = pool.draw(planned.draw, self.now_s)
            self.bytes += len(answer_to_message(answer).SerializeToString())
            self.at(self.now_s + delay_s, lambda: hear(answer))

        def hear(answer: DrawAnswer) -> None:
            book.on_answer(planned, answer, self.now_s)
            self.look_again(daemon)

        def fail() -> None:
            book.on_failure(planned, self.now_s)
            self.look_again(daemon)

        self.at(self.now_s + delay_s, ask)


def refusals_of_buckets(
    options: Options, arrivals: list[Request], limits: dict[str, float], parts: int
) -> Counter[str]:
    """Return refusals where each of `parts` daemons has an even part."""
    buckets = {
        (name, part): Bucket(rate / parts, rate * options.burst_s / parts)
        for name, rate in limits.items()
        for part in range(parts)
    }
    refused: Counter[str] = Counter()
    for request in arrivals:
        bucket = buckets[request.customer, request.daemon % parts]
        if not bucket.admit(request) and request.at_s > WARM_UP_S:
            refused[request.customer] += 1
    return refused


def report(options: Options) -> str:
    """Run one scenario and return a line of the table."""
    arrivals = make_arrivals(options)
    calm = make_arrivals(options._replace(scenario="calm"))
    limits = rates(options, calm)
    world = World(options, limits)
    world.run(arrivals)
    counted = [request for request in arrivals if request.at_s > WARM_UP_S]
    loud = {"c1"} if options.scenario == "eightfold" else set()
    within = sum(1 for request in counted if request.customer not in loud)
    static = refusals_of_buckets(options, arrivals, limits, options.daemons)
    perfect = refusals_of_buckets(options, arrivals, limits, 1)
    seconds = options.duration_s - WARM_UP_S

    def share(refused: Counter[str]) -> str:
        wrong = sum(n for name, n in refused.items() if name not in loud)
        return f"{100.0 * wrong / within:7.3f} %"

    worst = max(
        100.0 * world.refused[name] / sum(1 for r in counted if r.customer == name)
        for name in CUSTOMERS
        if name not in loud
    )
    draws_per_s = sum(world.draws.values()) / seconds
    owner_draws_per_s = world.draws[owner_pool(0)] / seconds
    return (
        f"{options.daemons:4d} {options.scenario:11s} {within:7d} "
        f"{share(world.refused)} {worst:7.3f} % {share(static)} {share(perfect)} "
        f"{draws_per_s:8.1f} {owner_draws_per_s:8.1f} "
        f"{world.bytes / seconds / 1000.0:8.1f}"
    )


SCENARIOS: Final = (
    "calm",
    "cold_start",
    "eightfold",
    "owner_loss",
    "floor_loss",
    "log_down",
    "region_cut",
    "restarts",
)


def main() -> None:
    """Run what the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--daemons", type=int, choices=(8, 390), default=8)
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--duration", type=float, default=80.0)
    parser.add_argument("--load", type=float, default=0.8)
    parser.add_argument("--burst", type=float, default=30.0)
    parser.add_argument("--owner-share", type=float, default=OWNER_SHARE)
    parser.add_argument("--no-notes", action="store_true")
    given = parser.parse_args()
    print(
        "   n scenario     within      ours     worst    static   perfect "
        "  draws/s  owner/s     kB/s"
    )
    for scenario in given.scenarios:
        options = Options(
            given.seed,
            given.daemons,
            scenario,
            given.duration,
            given.load,
            given.burst,
            given.owner_share,
            not given.no_notes,
        )
        print(report(options), flush=True)


if __name__ == "__main__":
    main()
