"""Manifests of the fleets for which synthetic traces are generated.

They have the sizes of the two deployments, of the target fleet, and of a small
fleet in the target's two regions. All names except those of data centres and
services are made up.
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
ACCELERATORS_PER_SERVER: Final = 4
ENGINE_ROUTE: Final = "/v1"
PLAIN_ROUTE: Final = "/plain"


class Fleet(NamedTuple):
    """A manifest and the places of the entry daemons.

    Attributes
    ----------
    manifest : Manifest
        As operators publish it.
    daemon_places : tuple of Place
        One place for each entry daemon.
    """

    manifest: Manifest
    daemon_places: tuple[Place, ...]


class FleetSize(NamedTuple):
    """The size of a fleet.

    Attributes
    ----------
    deployment : str
        Name of the fleet.
    objective : str
        What placement optimises.
    places : tuple of Place
        Servers and daemons are spread evenly over these data centres.
    engine_service, plain_service : str
        Names of the service with engines and of the one without.
    engine_servers, plain_servers : int
        Servers of each of the two services.
    models, adapters : int
        Adapters are spread evenly over the models.
    daemon_count : int
        Number of entry daemons.
    customer_rates : tuple of float
        The rate of each customer, in tokens/s.
    full_speed_loads, full_speed_adapter_loads : int
        Loads in progress above which the weight store slows down.
    loads_per_s : float
        Loads that the weight store starts per second.
    """

    deployment: str
    objective: Objective
    places: tuple[Place, ...]
    engine_service: str
    engine_servers: int
    plain_service: str
    plain_servers: int
    models: int
    adapters: int
    daemon_count: int
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
    engine_servers=5,
    plain_service="booking-core",
    plain_servers=4,
    models=17,
    adapters=56,
    daemon_count=8,
    customer_rates=(12_000.0, 9_000.0, 3_000.0, 1_500.0, 1_500.0),
    full_speed_loads=2,
    full_speed_adapter_loads=16,
)
KERERU: Final = FleetSize(
    deployment="kereru",
    objective="attainment_per_accelerator",
    places=tuple(Place(name, "nz-north") for name in ("akl-a", "akl-b", "akl-c")),
    engine_service="summary-models",
    engine_servers=6,
    plain_service="station-api",
    plain_servers=3,
    models=15,
    adapters=80,
    daemon_count=6,
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
    engine_servers=810,
    plain_service="plain",
    plain_servers=10,
    models=230,
    adapters=0,
    daemon_count=390,
    customer_rates=tuple([60_000.0] * 10 + [6_000.0] * 40),
    full_speed_loads=8,
    full_speed_adapter_loads=64,
)
REGIONS: Final = TARGET._replace(
    deployment="regions",
    engine_servers=20,
    plain_servers=5,
    models=30,
    daemon_count=10,
    customer_rates=(40_000.0, 30_000.0, 10_000.0, 5_000.0, 5_000.0),
)
SIZES: Final = {
    size.deployment: size for size in (FJORDMEGLING, KERERU, TARGET, REGIONS)
}


def make_fleet(size: FleetSize, seed: int) -> Fleet:
    """Return a fleet of that size; the seed varies only the memory of models."""
    rng = random.Random(f"fleet/{size.deployment}/{seed}")
    manifest = Manifest(
        replaces_revision=0,
        deployment=size.deployment,
        objective=size.objective,
        models=_make_models(size, rng),
        backend_servers=(*_make_engine_servers(size), *_make_plain_servers(size)),
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
    places = tuple(
        _pick_place(size.places, number) for number in range(size.daemon_count)
    )
    return Fleet(manifest, places)


def _make_models(size: FleetSize, rng: random.Random) -> tuple[Model, ...]:
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


def _make_engine_servers(size: FleetSize) -> list[BackendServer]:
    return [
        _make_server(
            size, size.engine_service, number, ACCELERATORS_PER_SERVER, SERVER_MEMORY_MB
        )
        for number in range(size.engine_servers)
    ]


def _make_plain_servers(size: FleetSize) -> list[BackendServer]:
    return [
        _make_server(size, size.plain_service, number, 0, 0)
        for number in range(size.plain_servers)
    ]


def _make_server(
    size: FleetSize, service: str, number: int, accelerators: int, memory_mb: int
) -> BackendServer:
    place = _pick_place(size.places, number)
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


def _pick_place(places: Sequence[Place], number: int) -> Place:
    """Return the place of the member with that number, in round-robin order."""
    return places[number % len(places)]
