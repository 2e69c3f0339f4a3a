"""Seeded generators of synthetic traces.

They follow what the users say of their days, squeezed into a few minutes: no
trace of a real day was at hand. Model popularity follows a Zipf law, prompts share
prefixes by customer and template, lengths are log-normal.
"""

import hashlib
import math
import random
from collections.abc import Callable
from functools import lru_cache
from typing import Final, NamedTuple

from _pistachiopond.decisions.routing import BLOCK_TOKENS
from _pistachiopond.replay.fleets import (
    ENGINE_ROUTE,
    PLAIN_ROUTE,
    SIZES,
    FleetSize,
    make_fleet,
)
from _pistachiopond.replay.trace import (
    FORMAT_NAME,
    FORMAT_VERSION,
    Trace,
    TraceHeader,
    TraceRecord,
)
from _pistachiopond.schema.manifest import Manifest, Urgency

MAX_TOKENS: Final = 1_024
TEMPLATES_PER_CUSTOMER: Final = 12
ZIPF_EXPONENT: Final = 0.9
HEAVY_FACTOR: Final = 8.0

Shape = Callable[[float], float]


class Workload(NamedTuple):
    """What a generator varies.

    Attributes
    ----------
    fleet : str
        Which fleet it runs on.
    requests_per_s : float
        Mean rate of requests to engines.
    shape : callable
        Factor on that rate at a share of the trace's length.
    batch_share, urgent_share : callable, float
        Share of batch requests over time, and of urgent among the others.
    plain_per_s : float
        Mean rate of requests to plain services.
    output_mean_tokens, prompt_mean_tokens : float
        Mean lengths.
    has_shift : bool
        Whether the popularity of models is turned over in mid-trace, so that
        the demand for some grows tenfold.
    """

    fleet: str
    requests_per_s: float
    shape: Shape
    batch_share: Shape
    urgent_share: float
    plain_per_s: float
    output_mean_tokens: float = 250.0
    prompt_mean_tokens: float = 700.0
    has_shift: bool = False


def _office(part: float) -> float:
    """Bursts on each hour between sessions, quiet at night."""
    return 0.6 + 0.8 * max(0.0, math.sin(part * math.pi * 8)) ** 2


def _morning(part: float) -> float:
    """One large burst in the second half."""
    return 0.6 + 1.2 * math.exp(-(((part - 0.6) / 0.12) ** 2))


WORKLOADS: Final = {
    "fjordmegling": Workload(
        "fjordmegling", 17.0, _office, lambda part: 0.25, 0.3, 8.0
    ),
    "kereru": Workload(
        "kereru",
        20.0,
        _morning,
        lambda part: 0.6 if part < 0.4 else 0.1,
        0.1,
        10.0,
    ),
    "shift": Workload(
        "fjordmegling",
        16.0,
        lambda part: 1.0,
        lambda part: 0.1,
        0.3,
        2.0,
        has_shift=True,
    ),
    "regions": Workload("regions", 60.0, lambda part: 1.0, lambda part: 0.1, 0.2, 10.0),
    "target": Workload(
        "target",
        2_500.0,
        lambda part: 1.0,
        lambda part: 0.1,
        0.2,
        20.0,
        output_mean_tokens=252.0,
    ),
}


@lru_cache(maxsize=100_000)
def _prefix(customer: str, model: str, template: int, blocks: int) -> tuple[str, ...]:
    ids = []
    chain = f"{customer}/{model}/{template}"
    for _ in range(blocks):
        chain = hashlib.blake2b(chain.encode(), digest_size=8).hexdigest()
        ids.append(chain)
    return tuple(ids)


class _Draw:
    """Draws the parts of requests from one seeded source."""

    def __init__(self, workload: Workload, size: FleetSize, seed: int) -> None:
        self.workload = workload
        self.rng = random.Random(f"trace/{seed}")
        self.manifest = make_fleet(size, seed).manifest
        models = [model.name for model in self.manifest.models]
        self.rng.shuffle(models)
        self.models = models
        self.later = models[len(models) // 2 :] + models[: len(models) // 2]
        self.popularity = [
            1.0 / (rank + 1) ** ZIPF_EXPONENT for rank in range(len(models))
        ]
        self.adapters = {
            model.name: [adapter.name for adapter in model.adapters]
            for model in self.manifest.models
        }
        self.customers = [customer.name for customer in self.manifest.customers]
        self.shares = [c.rate_tokens_per_s for c in self.manifest.customers]

    def length(self, mean: float, sigma: float) -> int:
        """Return a log-normal length with that mean."""
        mu = math.log(mean) - sigma * sigma / 2
        return max(1, int(self.rng.lognormvariate(mu, sigma)))

    def urgency(self, part: float) -> Urgency:
        """Return a class by the workload's shares."""
        if self.rng.random() < self.workload.batch_share(part):
            return "batch"
        if self.rng.random() < self.workload.urgent_share:
            return "urgent"
        return "normal"

    def engine_request(self, arrival_s: float, part: float) -> TraceRecord:
        """Return a request to an engine."""
        customer = self.rng.choices(self.customers, self.shares)[0]
        is_later = self.workload.has_shift and part > 0.5
        order = self.later if is_later else self.models
        model = self.rng.choices(order, self.popularity)[0]
        adapter = None
        if self.adapters[model] and self.rng.random() < 0.5:
            adapter = self.rng.choice(self.adapters[model])
        template = int(TEMPLATES_PER_CUSTOMER * self.rng.random() ** 2)
        blocks = 2 + template % 6
        own = self.length(self.workload.prompt_mean_tokens / 2, 0.7)
        output = self.length(self.workload.output_mean_tokens, 0.6)
        return TraceRecord(
            arrival_s=arrival_s,
            customer=customer,
            route=ENGINE_ROUTE,
            service=SIZES[self.workload.fleet].engine_service,
            model=model,
            adapter=adapter,
            prefix_ids=_prefix(customer, model, template, blocks),
            prompt_tokens=blocks * BLOCK_TOKENS + min(own, 4_000),
            max_tokens=MAX_TOKENS,
            output_tokens=min(output, MAX_TOKENS),
            urgency=self.urgency(part),
            idempotent=True,
        )

    def plain_request(self, arrival_s: float) -> TraceRecord:
        """Return a call of a plain service."""
        return TraceRecord(
            arrival_s=arrival_s,
            customer=self.rng.choices(self.customers, self.shares)[0],
            route=PLAIN_ROUTE,
            service=SIZES[self.workload.fleet].plain_service,
            model=None,
            adapter=None,
            prefix_ids=(),
            prompt_tokens=0,
            max_tokens=0,
            output_tokens=1,
            urgency="urgent",
            idempotent=self.rng.random() < 0.7,
        )


def generate_trace(
    name: str, length_s: float, seed: int, *, load: float = 1.0, heavy: bool = False
) -> Trace:
    """Return a synthetic trace.

    Parameters
    ----------
    name : str
        One of `WORKLOADS`.
    length_s : float
        The day is squeezed into so many seconds.
    seed : int
        Equal seeds give equal traces.
    load : float
        Factor on all rates.
    heavy : bool
        Whether the third customer sends several times its share from a third
        of the trace on.
    """
    workload = WORKLOADS[name]
    draw = _Draw(workload, SIZES[workload.fleet], seed)
    records = _arrivals(draw, length_s, load)
    if heavy:
        records += _heavy_arrivals(draw, length_s, load, name, seed)
    records.sort(key=lambda record: record.arrival_s)
    source = f"generator {name} seed {seed} length {length_s:g} s load {load:g}"
    if heavy:
        source += f" with one customer at {HEAVY_FACTOR:g} times its share"
    header = TraceHeader(FORMAT_NAME, FORMAT_VERSION, True, source)
    manifest = _scale_rates(draw.manifest, max(1.0, load))
    return Trace(header, manifest, tuple(records))


def _scale_rates(manifest: Manifest, factor: float) -> Manifest:
    """Let the customers' rates grow with the load, so that all stay within them."""
    customers = tuple(
        customer._replace(
            rate_tokens_per_s=customer.rate_tokens_per_s * factor,
            burst_tokens=customer.burst_tokens * factor,
        )
        for customer in manifest.customers
    )
    return manifest._replace(customers=customers)


def _arrivals(draw: _Draw, length_s: float, load: float) -> list[TraceRecord]:
    workload = draw.workload
    peak = load * workload.requests_per_s * 2.0
    records: list[TraceRecord] = []
    now_s = draw.rng.expovariate(peak)
    while now_s < length_s:
        part = now_s / length_s
        if draw.rng.random() < workload.shape(part) / 2.0:
            records.append(draw.engine_request(now_s, part))
        now_s += draw.rng.expovariate(peak)
    plain_rate = max(load * workload.plain_per_s, 1e-9)
    now_s = draw.rng.expovariate(plain_rate)
    while now_s < length_s:
        records.append(draw.plain_request(now_s))
        now_s += draw.rng.expovariate(plain_rate)
    return records


def heavy_customer(name: str) -> str:
    """Return which customer a heavy trace multiplies."""
    rates = SIZES[WORKLOADS[name].fleet].customer_rates
    return f"customer-{min(2, len(rates) - 1)}"


def _heavy_arrivals(
    draw: _Draw, length_s: float, load: float, name: str, seed: int
) -> list[TraceRecord]:
    """Return the surplus of the heavy customer, without changing the others."""
    customer = heavy_customer(name)
    more = _Draw(draw.workload, SIZES[draw.workload.fleet], seed)
    more.rng = random.Random(f"heavy/{seed}")
    share = more.shares[more.customers.index(customer)] / sum(more.shares)
    rate = load * draw.workload.requests_per_s * share * (HEAVY_FACTOR - 1.0)
    records = []
    now_s = length_s / 3 + more.rng.expovariate(rate)
    while now_s < length_s * 0.8:
        record = more.engine_request(now_s, now_s / length_s)
        template = int(TEMPLATES_PER_CUSTOMER * more.rng.random() ** 2)
        blocks = len(record.prefix_ids)
        prefix = _prefix(customer, record.model or "", template, blocks)
        records.append(record._replace(customer=customer, prefix_ids=prefix))
        now_s += more.rng.expovariate(rate)
    return records
