"""Seeded generators of synthetic traces.

They follow the users' descriptions of a day's traffic, compressed into a few
minutes, because no trace of a real day was available. Model popularity follows a
Zipf law, prompts of one customer, model and template share a prefix, and lengths
are log-normal.
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
HEAVY_CUSTOMER_FACTOR: Final = 8.0

Profile = Callable[[float], float]


class Workload(NamedTuple):
    """The parameters of a generator.

    Attributes
    ----------
    fleet : str
        Name of the fleet, a key of `SIZES`.
    requests_per_s : float
        Mean rate of requests to engines.
    rate_profile : callable
        Factor on that rate over the trace; its argument runs from 0 to 1.
    batch_share : callable
        Share of batch requests over the trace.
    urgent_share : float
        Share of urgent requests among those that aren't batch.
    plain_requests_per_s : float
        Mean rate of requests to plain services.
    output_mean_tokens, prompt_mean_tokens : float
        Mean lengths of answers and of prompts. The part of a prompt after the
        shared prefix is drawn with half of the prompts' mean.
    has_shift : bool
        Whether the popular and the unpopular models change places halfway, so that
        the demand for some models grows manifold: with 17 models, up to sevenfold.
    """

    fleet: str
    requests_per_s: float
    rate_profile: Profile
    batch_share: Profile
    urgent_share: float
    plain_requests_per_s: float
    output_mean_tokens: float = 250.0
    prompt_mean_tokens: float = 700.0
    has_shift: bool = False


def _hourly_bursts(position: float) -> float:
    """Return the rate factor of a day with bursts between hourly sessions."""
    return 0.6 + 0.8 * max(0.0, math.sin(position * math.pi * 8)) ** 2


def _single_burst(position: float) -> float:
    """Return the rate factor of a day with one large burst in the second half."""
    return 0.6 + 1.2 * math.exp(-(((position - 0.6) / 0.12) ** 2))


WORKLOADS: Final = {
    "fjordmegling": Workload(
        "fjordmegling", 17.0, _hourly_bursts, lambda position: 0.25, 0.3, 8.0
    ),
    "kereru": Workload(
        "kereru",
        20.0,
        _single_burst,
        lambda position: 0.6 if position < 0.4 else 0.1,
        0.1,
        10.0,
    ),
    "shift": Workload(
        "fjordmegling",
        16.0,
        lambda position: 1.0,
        lambda position: 0.1,
        0.3,
        2.0,
        has_shift=True,
    ),
    "regions": Workload(
        "regions", 60.0, lambda position: 1.0, lambda position: 0.1, 0.2, 10.0
    ),
    "target": Workload(
        "target",
        2_500.0,
        lambda position: 1.0,
        lambda position: 0.1,
        0.2,
        20.0,
        output_mean_tokens=252.0,
    ),
}


@lru_cache(maxsize=100_000)
def _prefix_ids(
    customer: str, model: str, template: int, blocks: int
) -> tuple[str, ...]:
    """Return the chained digests of a template's leading blocks."""
    ids = []
    digest = f"{customer}/{model}/{template}"
    for _ in range(blocks):
        digest = hashlib.blake2b(digest.encode(), digest_size=8).hexdigest()
        ids.append(digest)
    return tuple(ids)


class _RequestSampler:
    """Draws requests from one seeded source of random numbers."""

    def __init__(self, workload: Workload, size: FleetSize, seed: int) -> None:
        self.workload = workload
        self.rng = random.Random(f"trace/{seed}")
        self.manifest = make_fleet(size, seed).manifest
        models = [model.name for model in self.manifest.models]
        self.rng.shuffle(models)
        self.models = models
        self.shifted_models = models[len(models) // 2 :] + models[: len(models) // 2]
        self.popularity = [
            1.0 / (rank + 1) ** ZIPF_EXPONENT for rank in range(len(models))
        ]
        self.adapters = {
            model.name: [adapter.name for adapter in model.adapters]
            for model in self.manifest.models
        }
        self.customers = [customer.name for customer in self.manifest.customers]
        self.customer_weights = [c.rate_tokens_per_s for c in self.manifest.customers]

    def draw_length(self, mean: float, sigma: float) -> int:
        """Return a length from a log-normal distribution with that mean."""
        mu = math.log(mean) - sigma * sigma / 2
        return max(1, int(self.rng.lognormvariate(mu, sigma)))

    def draw_urgency(self, position: float) -> Urgency:
        """Return an urgency class by the workload's shares."""
        if self.rng.random() < self.workload.batch_share(position):
            return "batch"
        if self.rng.random() < self.workload.urgent_share:
            return "urgent"
        return "normal"

    def draw_engine_request(self, arrival_s: float, position: float) -> TraceRecord:
        """Return a request to an engine.

        Parameters
        ----------
        arrival_s : float
            Seconds since the start of the trace.
        position : float
            The same as a share of the trace's length.
        """
        customer = self.rng.choices(self.customers, self.customer_weights)[0]
        is_shifted = self.workload.has_shift and position > 0.5
        models = self.shifted_models if is_shifted else self.models
        model = self.rng.choices(models, self.popularity)[0]
        adapter = None
        if self.adapters[model] and self.rng.random() < 0.5:
            adapter = self.rng.choice(self.adapters[model])
        template = int(TEMPLATES_PER_CUSTOMER * self.rng.random() ** 2)
        blocks = 2 + template % 6
        unique_tokens = self.draw_length(self.workload.prompt_mean_tokens / 2, 0.7)
        output_tokens = self.draw_length(self.workload.output_mean_tokens, 0.6)
        return TraceRecord(
            arrival_s=arrival_s,
            customer=customer,
            route=ENGINE_ROUTE,
            service=SIZES[self.workload.fleet].engine_service,
            model=model,
            adapter=adapter,
            prefix_ids=_prefix_ids(customer, model, template, blocks),
            prompt_tokens=blocks * BLOCK_TOKENS + min(unique_tokens, 4_000),
            max_tokens=MAX_TOKENS,
            output_tokens=min(output_tokens, MAX_TOKENS),
            urgency=self.draw_urgency(position),
            idempotent=True,
        )

    def draw_plain_request(self, arrival_s: float) -> TraceRecord:
        """Return a request to a plain service."""
        return TraceRecord(
            arrival_s=arrival_s,
            customer=self.rng.choices(self.customers, self.customer_weights)[0],
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
        Length of the trace, into which a day is compressed.
    seed : int
        Equal seeds give equal traces.
    load : float
        Factor on all rates.
    heavy : bool
        Whether the third customer sends `HEAVY_CUSTOMER_FACTOR` times its share,
        from a third to four fifths of the trace.
    """
    workload = WORKLOADS[name]
    sampler = _RequestSampler(workload, SIZES[workload.fleet], seed)
    records = _draw_arrivals(sampler, length_s, load)
    if heavy:
        records += _draw_heavy_arrivals(sampler, length_s, load, name, seed)
    records.sort(key=lambda record: record.arrival_s)
    source = f"generator {name} seed {seed} length {length_s:g} s load {load:g}"
    if heavy:
        source += f" with one customer at {HEAVY_CUSTOMER_FACTOR:g} times its share"
    header = TraceHeader(FORMAT_NAME, FORMAT_VERSION, True, source)
    manifest = _scale_rates(sampler.manifest, max(1.0, load))
    return Trace(header, manifest, tuple(records))


def _scale_rates(manifest: Manifest, factor: float) -> Manifest:
    """Scale the customers' rates with the load, so that none exceeds its rate."""
    customers = tuple(
        customer._replace(
            rate_tokens_per_s=customer.rate_tokens_per_s * factor,
            burst_tokens=customer.burst_tokens * factor,
        )
        for customer in manifest.customers
    )
    return manifest._replace(customers=customers)


def _draw_arrivals(
    sampler: _RequestSampler, length_s: float, load: float
) -> list[TraceRecord]:
    workload = sampler.workload
    # Thinning of a Poisson process at twice the mean rate, which no profile exceeds.
    peak_rate = load * workload.requests_per_s * 2.0
    records: list[TraceRecord] = []
    now_s = sampler.rng.expovariate(peak_rate)
    while now_s < length_s:
        position = now_s / length_s
        if sampler.rng.random() < workload.rate_profile(position) / 2.0:
            records.append(sampler.draw_engine_request(now_s, position))
        now_s += sampler.rng.expovariate(peak_rate)
    plain_rate = max(load * workload.plain_requests_per_s, 1e-9)
    now_s = sampler.rng.expovariate(plain_rate)
    while now_s < length_s:
        records.append(sampler.draw_plain_request(now_s))
        now_s += sampler.rng.expovariate(plain_rate)
    return records


def heavy_customer(name: str) -> str:
    """Return the name of the customer that sends more in a heavy trace."""
    rates = SIZES[WORKLOADS[name].fleet].customer_rates
    return f"customer-{min(2, len(rates) - 1)}"


def _draw_heavy_arrivals(
    sampler: _RequestSampler, length_s: float, load: float, name: str, seed: int
) -> list[TraceRecord]:
    """Return the additional requests of the heavy customer.

    They are drawn from a source of their own, so that the other requests stay the
    same as in a trace without them.
    """
    customer = heavy_customer(name)
    extra_sampler = _RequestSampler(
        sampler.workload, SIZES[sampler.workload.fleet], seed
    )
    extra_sampler.rng = random.Random(f"heavy/{seed}")
    share = extra_sampler.customer_weights[
        extra_sampler.customers.index(customer)
    ] / sum(extra_sampler.customer_weights)
    rate = (
        load * sampler.workload.requests_per_s * share * (HEAVY_CUSTOMER_FACTOR - 1.0)
    )
    records = []
    now_s = length_s / 3 + extra_sampler.rng.expovariate(rate)
    while now_s < length_s * 0.8:
        record = extra_sampler.draw_engine_request(now_s, now_s / length_s)
        template = int(TEMPLATES_PER_CUSTOMER * extra_sampler.rng.random() ** 2)
        blocks = len(record.prefix_ids)
        prefix = _prefix_ids(customer, record.model or "", template, blocks)
        records.append(record._replace(customer=customer, prefix_ids=prefix))
        now_s += extra_sampler.rng.expovariate(rate)
    return records
