"""Compares wrongful refusals of the rate limits with those of two baselines.

The simulation runs in virtual time and uses the production classes: `GrantClient` in
each entry daemon and `TokenPool` in each pool's holder. The baselines get the same
arrivals: (a) token buckets that split each limit evenly over the daemons, and (b) one
central token bucket. Both know a request's final usage when they admit it, which the
real system learns only later.

    python tools/limits_experiment.py --seed 1 --daemons 8
"""

import argparse
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple

from _pistachiopond.decisions.grants import GrantClient, PlannedDraw
from _pistachiopond.decisions.limits import (
    OWNER_SHARE,
    PoolLimit,
    floor_pool,
    owner_pool,
)
from _pistachiopond.decisions.pools import DrawReply, TokenPool
from _pistachiopond.schema.limits import LimitsView, PoolSource
from _pistachiopond.transport.draws import draw_to_message, reply_to_message

REGION_OF_DATA_CENTRE: Final = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
CUSTOMERS: Final = ("c0", "c1", "c2", "c3", "c4")
WEIGHTS: Final = (0.4, 0.3, 0.15, 0.1, 0.05)
REQUESTS_PER_S: Final = {8: 50.0, 390: 2500.0}
MEAN_GENERATED_TOKENS: Final = 252.0
MEAN_PROMPT_TOKENS: Final = 300.0
TOKEN_GAP_S: Final = 0.029
TICK_S: Final = 0.25
MAX_WAIT_S: Final = 0.25
LOCAL_DELAY_S: Final = 0.001
REMOTE_DELAY_S: Final = 0.02
WARM_UP_S: Final = 10.0
FAULT_START_S: Final = 20.0
FIRST_TOKEN_S: Final = 0.3
LEASE_S: Final = 10.0
ESTABLISHED_HOLDER_AGE_S: Final = 1000.0


class Options(NamedTuple):
    """Options of one run."""

    seed: int
    daemons: int
    scenario: str
    duration_s: float
    load: float
    burst_s: float
    owner_share: float
    reports_usage: bool = True


class Request(NamedTuple):
    """An arriving request; its final usage `used` is known only at its end."""

    at_s: float
    customer: str
    daemon: int
    reserve: float
    used: float


class Bucket:
    """A token bucket that knows each request's final usage at admission."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at_s = rate, burst, burst, 0.0

    def admit(self, request: Request) -> bool:
        """Deduct the tokens that the request uses, if the level suffices."""
        gained = (request.at_s - self.at_s) * self.rate
        self.level = min(self.burst, self.level + gained)
        self.at_s = request.at_s
        if self.level < request.used:
            return False
        self.level -= request.used
        return True


def make_arrivals(options: Options) -> list[Request]:
    """Return the arrivals of a run, in order of time."""
    rng = random.Random(options.seed)
    arrivals = []
    for customer, weight in zip(CUSTOMERS, WEIGHTS, strict=True):
        per_s = REQUESTS_PER_S[options.daemons] * weight
        at_s = 0.0
        while True:
            is_heavy = options.scenario == "eightfold" and customer == "c1"
            factor = 8.0 if is_heavy and at_s > FAULT_START_S else 1.0
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


def rate_limits(options: Options, arrivals: list[Request]) -> dict[str, float]:
    """Return each customer's rate limit; calm traffic uses the share `load` of it."""
    used = sum(request.used for request in arrivals) / len(arrivals)
    total = REQUESTS_PER_S[options.daemons]
    return {
        name: total * weight * used / options.load
        for name, weight in zip(CUSTOMERS, WEIGHTS, strict=True)
    }


class LimitsSimulation:
    """Simulates entry daemons, token pools and the network between them."""

    def __init__(self, options: Options, limits: dict[str, float]) -> None:
        self.options = options
        self.limits = limits
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.now_s = 0.0
        self.ids = itertools.count(1)
        names = list(REGION_OF_DATA_CENTRE)
        self.data_centres = [names[i % len(names)] for i in range(options.daemons)]
        self.grant_clients = [self.make_grant_client(i) for i in range(options.daemons)]
        self.pools: dict[str, TokenPool | None] = {}
        for name in (owner_pool(0), *(floor_pool(c) for c in REGION_OF_DATA_CENTRE)):
            is_cold_start = options.scenario == "cold_start"
            self.acquire(name, 0.0 if is_cold_start else -ESTABLISHED_HOLDER_AGE_S)
        self.waiting: list[list[tuple[float, Request]]] = [
            [] for _ in range(options.daemons)
        ]
        self.refused: Counter[str] = Counter()
        self.served_tokens: Counter[str] = Counter()
        self.draws: Counter[str] = Counter()
        self.bytes = 0

    def make_grant_client(self, daemon: int) -> GrantClient:
        """Return the grant state of a newly started entry daemon."""
        grant_client = GrantClient(f"{daemon}-{next(self.ids)}")
        data_centre = self.data_centres[daemon]
        names = list(REGION_OF_DATA_CENTRE)
        start = names.index(data_centre)
        floors = [floor_pool(c) for c in names[start:] + names[:start]]
        pools = [floors[0], owner_pool(0), *floors[1:]]
        sources = (PoolSource(p, p, CUSTOMERS, p != owner_pool(0)) for p in pools)
        grant_client.set_sources(LimitsView(tuple(sources)))
        return grant_client

    def acquire(self, pool: str, now_s: float, before_s: float | None = None) -> None:
        """Start a new holder of a pool."""
        share = self.options.owner_share
        part = (
            share
            if pool == owner_pool(0)
            else (1.0 - share) / len(REGION_OF_DATA_CENTRE)
        )
        tokens = TokenPool(next(self.ids), now_s, before_s)
        limits = {
            name: PoolLimit(rate * part, rate * part * self.options.burst_s)
            for name, rate in self.limits.items()
        }
        tokens.configure(limits, now_s)
        self.pools[pool] = tokens

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self.events, (at_s, next(self.sequence), action))

    def run(self, arrivals: list[Request]) -> None:
        """Process the arrivals and all other events of the run."""
        for request in arrivals:
            self.schedule(request.at_s, lambda request=request: self.arrive(request))
        for daemon in range(self.options.daemons):
            phase_s = TICK_S * daemon / self.options.daemons
            self.schedule(phase_s, lambda daemon=daemon: self.tick(daemon))
        self.schedule_faults()
        while self.events and self.events[0][0] <= self.options.duration_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()

    def schedule_faults(self) -> None:
        """Schedule the faults of the scenario."""
        owner = owner_pool(0)
        scenario = self.options.scenario
        if scenario in ("owner_loss", "log_down"):
            self.schedule(FAULT_START_S, lambda: self.pools.update({owner: None}))
        if scenario == "owner_loss":
            back_s = FAULT_START_S + LEASE_S
            self.schedule(back_s, lambda: self.acquire(owner, back_s, 0.0))
        if scenario == "floor_loss":
            self.schedule(
                FAULT_START_S, lambda: self.pools.update({floor_pool("a2"): None})
            )
        if scenario == "restarts":
            step_s = (self.options.duration_s - FAULT_START_S) / self.options.daemons
            for daemon in range(self.options.daemons):
                at_s = FAULT_START_S + daemon * step_s
                self.schedule(at_s, lambda daemon=daemon: self.restart(daemon))

    def restart(self, daemon: int) -> None:
        """Restart an entry daemon, which returns no unspent tokens."""
        self.grant_clients[daemon] = self.make_grant_client(daemon)

    def is_unreachable(self, daemon: int, pool: str) -> bool:
        """Return whether a daemon cannot reach a pool.

        The owner pool is in region a.
        """
        if self.options.scenario != "region_cut" or self.now_s < FAULT_START_S:
            return False
        region = REGION_OF_DATA_CENTRE[self.data_centres[daemon]]
        pool_region = (
            "a" if pool == owner_pool(0) else REGION_OF_DATA_CENTRE[pool.split("-")[1]]
        )
        return region != pool_region

    def arrive(self, request: Request) -> None:
        """Admit a request, or queue it until a draw brings tokens."""
        if self.admit(request):
            return
        self.waiting[request.daemon].append((self.now_s + MAX_WAIT_S, request))
        self.retry_waiting(request.daemon)

    def admit(self, request: Request) -> bool:
        """Try to reserve tokens for a request and schedule its end."""
        grant_client = self.grant_clients[request.daemon]
        number = grant_client.reserve(request.customer, request.reserve, self.now_s)
        if not isinstance(number, int):
            return False
        self.served_tokens[request.customer] += request.used
        duration_s = (request.used - 0.5 * MEAN_PROMPT_TOKENS) * TOKEN_GAP_S
        end_s = self.now_s + max(0.2, min(512 * TOKEN_GAP_S, duration_s))
        self.schedule(
            end_s, lambda: grant_client.settle(number, request.used, self.now_s)
        )
        if self.options.reports_usage:
            self.schedule_usage_updates(grant_client, number, request, end_s)
        return True

    def schedule_usage_updates(
        self, grant_client: GrantClient, number: int, request: Request, end_s: float
    ) -> None:
        """Schedule usage updates: the prompt at the first token, then each second."""
        prompt = request.reserve - 512.0
        start_s = self.now_s
        at_s = start_s + FIRST_TOKEN_S
        while at_s < end_s:
            done = (at_s - start_s) / (end_s - start_s)
            used = prompt + done * (request.used - prompt)
            self.schedule(at_s, lambda used=used: grant_client.note_used(number, used))
            at_s += 1.0

    def retry_waiting(self, daemon: int) -> None:
        """Retry waiting requests, refuse those past their deadline, and send draws."""
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
        demand: Counter[str] = Counter()
        for _, request in waiting:
            demand[request.customer] += request.reserve
        for customer in CUSTOMERS:
            self.grant_clients[daemon].set_waiting(customer, demand[customer])
        for planned in self.grant_clients[daemon].plan_draws(self.now_s):
            self.send(daemon, planned)

    def tick(self, daemon: int) -> None:
        """Retry waiting requests and send draws that are due, once per `TICK_S`."""
        self.retry_waiting(daemon)
        self.schedule(self.now_s + TICK_S, lambda: self.tick(daemon))

    def send(self, daemon: int, planned: PlannedDraw) -> None:
        """Send a draw to its pool and deliver the reply or the failure."""
        grant_client = self.grant_clients[daemon]
        name = planned.pool
        is_local = name != owner_pool(0) and name == floor_pool(
            self.data_centres[daemon]
        )
        delay_s = (
            LOCAL_DELAY_S
            if is_local or REGION_OF_DATA_CENTRE[self.data_centres[daemon]] == "a"
            else REMOTE_DELAY_S
        )
        if self.now_s > WARM_UP_S:
            self.draws[name] += 1
            self.bytes += len(draw_to_message(name, planned.draw).SerializeToString())

        def deliver_draw() -> None:
            pool = self.pools[name]
            if pool is None or self.is_unreachable(daemon, name):
                self.schedule(self.now_s + delay_s, deliver_failure)
                return
            reply = pool.draw(planned.draw, self.now_s)
            self.bytes += len(reply_to_message(reply).SerializeToString())
            self.schedule(self.now_s + delay_s, lambda: deliver_reply(reply))

        def deliver_reply(reply: DrawReply) -> None:
            grant_client.on_reply(planned, reply, self.now_s)
            self.retry_waiting(daemon)

        def deliver_failure() -> None:
            grant_client.on_failure(planned, self.now_s)
            self.retry_waiting(daemon)

        self.schedule(self.now_s + delay_s, deliver_draw)


def count_bucket_refusals(
    options: Options, arrivals: list[Request], limits: dict[str, float], parts: int
) -> Counter[str]:
    """Return refusals by customer if `parts` buckets share each limit evenly."""
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
    """Run one scenario and return its line of the table."""
    arrivals = make_arrivals(options)
    calm = make_arrivals(options._replace(scenario="calm"))
    limits = rate_limits(options, calm)
    simulation = LimitsSimulation(options, limits)
    simulation.run(arrivals)
    counted = [request for request in arrivals if request.at_s > WARM_UP_S]
    heavy_customers = {"c1"} if options.scenario == "eightfold" else set()
    within = sum(1 for request in counted if request.customer not in heavy_customers)
    static = count_bucket_refusals(options, arrivals, limits, options.daemons)
    perfect = count_bucket_refusals(options, arrivals, limits, 1)
    seconds = options.duration_s - WARM_UP_S

    def format_share(refused: Counter[str]) -> str:
        wrong = sum(n for name, n in refused.items() if name not in heavy_customers)
        return f"{100.0 * wrong / within:7.3f} %"

    worst = max(
        100.0 * simulation.refused[name] / sum(1 for r in counted if r.customer == name)
        for name in CUSTOMERS
        if name not in heavy_customers
    )
    draws_per_s = sum(simulation.draws.values()) / seconds
    owner_draws_per_s = simulation.draws[owner_pool(0)] / seconds
    return (
        f"{options.daemons:4d} {options.scenario:11s} {within:7d} "
        f"{format_share(simulation.refused)} {worst:7.3f} % "
        f"{format_share(static)} {format_share(perfect)} "
        f"{draws_per_s:8.1f} {owner_draws_per_s:8.1f} "
        f"{simulation.bytes / seconds / 1000.0:8.1f}"
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
    """Run the scenarios given on the command line and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--daemons", type=int, choices=(8, 390), default=8)
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--duration", type=float, default=80.0)
    parser.add_argument("--load", type=float, default=0.8)
    parser.add_argument("--burst", type=float, default=30.0)
    parser.add_argument("--owner-share", type=float, default=OWNER_SHARE)
    parser.add_argument("--no-notes", action="store_true")
    arguments = parser.parse_args()
    print(
        "   n scenario     within      ours     worst    static   perfect "
        "  draws/s  owner/s     kB/s"
    )
    for scenario in arguments.scenarios:
        options = Options(
            arguments.seed,
            arguments.daemons,
            scenario,
            arguments.duration,
            arguments.load,
            arguments.burst,
            arguments.owner_share,
            not arguments.no_notes,
        )
        print(report(options), flush=True)


if __name__ == "__main__":
    main()
