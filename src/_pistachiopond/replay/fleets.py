"""Manifests of the fleets that the generators make traces for.

They follow the sizes of the two deployments and of the target; names beside
those of data centres and services are made up.
"""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from _pistachiopond.decisions.routing import Place
from _pistachiopond.schema.manifest import (
    Adapter,
    BackendServer,
    Customer,
    Manifest,
    Model,
    Objective,
    Route,
    WeightStoreLimits,
)

SERVER_MEMORY_MB: Final = 80_000
ACCELERATORS: Final = 4
ENGINE_ROUTE: Final = "/v1"
PLAIN_ROUTE: Final = "/plain"


class Fleet(NamedTuple):
    """A manifest and where the entry daemons stand.

    Attributes
    ----------
    manifest : Manifest
        What operators publish.
    daemons : tuple of Place
        One place for each entry daemon.
    """

    manifest: Manifest
    daemons: tuple[Place, ...]


class FleetSize(NamedTuple):
    """The numbers of a fleet."""

    deployment: str
    objective: Objective
    places: tuple[Place, ...]
    engine_service: str
    engines: int
    plain_service: str
    plains: int
    models: int
    adapters: int
    daemons: int
    customer_rates: tuple[float, ...]
    full_speed_loads: int
    full_speed_adapter_loads: int
    loads_per_s: float = 2.0


FJORDMEGLING: Final = FleetSize(
    deployment="fjordmegling",
    objective="worst_served_customer",
    places=tuple(
        Place(name, "norge-vest")
        for name in ("bergen-a", "bergen-b", "stavanger-a", "alesund-a")
    ),
    engine_service="drafting-assist",
    engines=5,
    plain_service="booking-core",
    plains=4,
    models=17,
    adapters=56,
    daemons=8,
    customer_rates=(12_000.0, 9_000.0, 3_000.0, 1_500.0, 1_500.0),
    full_speed_loads=2,
    full_speed_adapter_loads=16,
)
KERERU: Final = FleetSize(
    deployment="kereru",
    objective="attainment_per_accelerator",
    places=tuple(Place(name, "nz-north") for name in ("akl-a", "akl-b", "akl-c")),
    engine_service="summary-models",
    engines=6,
    plain_service="station-api",
    plains=3,
    models=15,
    adapters=80,
    daemons=6,
    customer_rates=(14_000.0, 10_000.0, 4_000.0, 2_000.0, 2_000.0),
    full_speed_loads=8,
    full_speed_adapter_loads=64,
)
TARGET: Final = FleetSize(
    deployment="target",
    objective="worst_served_customer",
    places=(
        *(Place(f"west-{letter}", "west") for letter in "abc"),
        *(Place(f"east-{letter}", "east") for letter in "ab"),
    ),
    engine_service="engines",
    engines=810,
    plain_service="plain",
    plains=10,
    models=230,
    adapters=0,
    daemons=390,
    customer_rates=tuple([60_000.0] * 10 + [6_000.0] * 40),
    full_speed_loads=8,
    full_speed_adapter_loads=64,
)
REGIONS: Final = TARGET._replace(
    deployment="regions",
    engines=20,
    plains=5,
    models=30,
    daemons=10,
    customer_rates=(40_000.0, 30_000.0, 10_000.0, 5_000.0, 5_000.0),
)
SIZES: Final = {
    size.deployment: size for size in (FJORDMEGLING, KERERU, TARGET, REGIONS)
}


def make_fleet(size: FleetSize, seed: int) -> Fleet:
    """Return the fleet of that size; the seed varies models' memory only."""
    rng = random.Random(f"fleet/{size.deployment}/{seed}")
    manifest = Manifest(
        replaces_revision=0,
        deployment=size.deployment,
        objective=size.objective,
        models=_models(size, rng),
        backend_servers=(*_engines(size), *_plains(size)),
        routes=(
            Route(ENGINE_ROUTE, size.engine_service, "engine"),
            Route(PLAIN_ROUTE, size.plain_service, "plain"),
        ),
        customers=tuple(
            Customer(f"customer-{number}", rate, rate * 8.0, rate / 1_000.0)
            for number, rate in enumerate(size.customer_rates)
        ),
        weight_store=WeightStoreLimits(
            size.loads_per_s, size.full_speed_loads, size.full_speed_adapter_loads
        ),
    )
    places = tuple(_cycle(size.places, number) for number in range(size.daemons))
    return Fleet(manifest, places)


def _models(size: FleetSize, rng: random.Random) -> tuple[Model, ...]:
    models = []
    for number in range(size.models):
        adapters = tuple(
            Adapter(f"model-{number}-adapter-{index}", 100)
            for index in range(size.adapters)
            if index % size.models == number
        )
        memory_mb = rng.choice((6_000, 9_000, 12_000, 16_000))
        models.append(Model(f"model-{number}", "1", memory_mb, adapters))
    return tuple(models)


def _engines(size: FleetSize) -> list[BackendServer]:
    return [
        _server(size, size.engine_service, number, ACCELERATORS, SERVER_MEMORY_MB)
        for number in range(size.engines)
    ]


def _plains(size: FleetSize) -> list[BackendServer]:
    return [
        _server(size, size.plain_service, number, 0, 0) for number in range(size.plains)
    ]


def _server(
    size: FleetSize, service: str, number: int, accelerators: int, memory_mb: int
) -> BackendServer:
    place = _cycle(size.places, number)
    return BackendServer(
        name=f"{service}-{number}",
        url=f"http://10.1.{number // 250}.{number % 250}:8000",
        data_centre=place.data_centre,
        region=place.region,
        rack=f"{place.data_centre}-rack-{number // (len(size.places) * 8)}",
        service=service,
        accelerators=accelerators,
        memory_mb=memory_mb,
    )


def _cycle(places: Sequence[Place], number: int) -> Place:
    return places[number % len(places)]
