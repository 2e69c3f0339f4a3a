"""Generates the two example manifests, in the sizes that the operators stated.

``python -m tools.make_examples`` writes ``examples/*.json``. The API keys are derived
from the customers' names, so that the demo can use them; never use them elsewhere.
"""

import hashlib
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Final, NamedTuple

from _pistachiopond.schema.codec import to_plain
from _pistachiopond.schema.manifest import (
    Adapter,
    BackendServer,
    Customer,
    Manifest,
    Model,
    Route,
    UrgencyRule,
    WeightStoreLimits,
)

EXAMPLES: Final = Path(__file__).parents[1] / "examples"
ADAPTER_MB: Final = 120
SMALL_MB: Final = 6_000
MIDDLE_MB: Final = 14_000
LARGE_MB: Final = 30_000
ENGINE_MB: Final = 80_000
ENGINE_PORT: Final = 8_000


class Worker(NamedTuple):
    """Location and size of one backend server."""

    service: str
    data_centre: str
    rack: str
    accelerators: int


def demo_key(customer: str) -> str:
    """Return the API key of a customer of the examples."""
    return f"demo-{customer}-key"


def _digest(customer: str) -> str:
    return hashlib.sha256(demo_key(customer).encode()).hexdigest()


def _make_models(
    names: Sequence[str], sizes: Sequence[int], adapters: int
) -> list[Model]:
    """Return the models, with the adapters distributed over them in turn."""
    adapters_by_model: list[list[Adapter]] = [[] for _ in names]
    for number in range(adapters):
        index = number % len(names)
        name = f"{names[index]}-office-{number // len(names) + 1}"
        adapters_by_model[index].append(Adapter(name, ADAPTER_MB))
    return [
        Model(name, "1", size, tuple(model_adapters))
        for name, size, model_adapters in zip(
            names, sizes, adapters_by_model, strict=True
        )
    ]


def _make_servers(
    workers: Sequence[Worker], region: str, network: str, fencing_engines: int
) -> tuple[BackendServer, ...]:
    """Return the backend servers; the first `fencing_engines` check fencing numbers."""
    server_counts: dict[str, int] = {}
    servers = []
    for host, worker in enumerate(workers, start=1):
        server_counts[worker.service] = server_counts.get(worker.service, 0) + 1
        servers.append(
            BackendServer(
                name=f"{worker.service}-{server_counts[worker.service]}",
                url=f"http://{network}.{host}:{ENGINE_PORT}",
                data_centre=worker.data_centre,
                region=region,
                rack=f"{worker.data_centre}-{worker.rack}",
                service=worker.service,
                accelerators=worker.accelerators,
                memory_mb=worker.accelerators * ENGINE_MB,
                checks_fencing=host <= fencing_engines,
            )
        )
    return tuple(servers)


def _make_customer(name: str, rate: float, burst: float, weight: float) -> Customer:
    return Customer(name, rate, burst, weight, (_digest(name),))


def make_fjordmegling() -> Manifest:
    """Return the manifest of a scheduling and drafting platform."""
    names = (
        "intake-summary",
        "agenda-draft",
        "session-notes",
        "letter-draft",
        "tone-check",
        "plain-language",
        "nynorsk-translation",
        "english-translation",
        "calendar-extract",
        "overnight-summary",
        "case-label",
        "duplicate-finder",
        "agreement-draft",
        "agreement-check",
        "call-transcript",
        "availability-phrasing",
        "guidance-search",
    )
    sizes = (
        *(LARGE_MB, LARGE_MB, MIDDLE_MB, MIDDLE_MB, SMALL_MB, SMALL_MB),
        *(MIDDLE_MB, MIDDLE_MB, SMALL_MB, LARGE_MB, SMALL_MB, SMALL_MB),
        *(LARGE_MB, MIDDLE_MB, MIDDLE_MB, SMALL_MB, MIDDLE_MB),
    )
    workers = (
        Worker("drafting-assist", "bergen-a", "r1", 1),
        Worker("drafting-assist", "bergen-b", "r1", 1),
        Worker("drafting-assist", "stavanger-a", "r1", 1),
        Worker("drafting-assist", "alesund-a", "r1", 1),
        Worker("drafting-assist", "bergen-a", "r2", 1),
        Worker("booking-core", "bergen-a", "r1", 0),
        Worker("booking-core", "bergen-b", "r1", 0),
        Worker("booking-core", "stavanger-a", "r1", 0),
        Worker("booking-core", "alesund-a", "r1", 0),
    )
    return Manifest(
        replaces_revision=0,
        deployment="fjordmegling",
        objective="worst_served_customer",
        models=tuple(_make_models(names, sizes, 56)),
        backend_servers=_make_servers(workers, "norge-vest", "10.20.0", 3),
        routes=(
            Route("/v1/", "drafting-assist", "engine"),
            Route("/bookings/", "booking-core", "plain", urgency="urgent"),
            Route("/availability/", "booking-core", "plain", is_open=True),
        ),
        customers=(
            _make_customer("bergen-family-office", 4_000.0, 40_000.0, 3.0),
            _make_customer("stavanger-family-office", 3_000.0, 30_000.0, 2.0),
            _make_customer("alesund-office", 800.0, 12_000.0, 1.0),
            _make_customer("sogn-office", 400.0, 8_000.0, 1.0),
            _make_customer("haugaland-office", 400.0, 8_000.0, 1.0),
        ),
        urgency_rules=(
            UrgencyRule("batch", model="overnight-summary"),
            UrgencyRule("urgent", path_prefix="/availability/"),
            UrgencyRule("urgent", model="agenda-draft"),
        ),
        weight_store=WeightStoreLimits(2.0, 2, 16),
    )


def make_kereru() -> Manifest:
    """Return the manifest of a network of backyard weather stations."""
    names = (
        "conditions-summary",
        "frost-notice",
        "gust-notice",
        "observation-label",
        "rain-notice",
        "school-digest",
        "trail-digest",
        "farm-digest",
        "te-reo-translation",
        "sensor-doctor",
        "photo-caption",
        "tide-note",
        "season-report",
        "question-answer",
        "station-welcome",
    )
    sizes = (
        *(LARGE_MB, MIDDLE_MB, MIDDLE_MB, MIDDLE_MB, SMALL_MB),
        *(LARGE_MB, MIDDLE_MB, LARGE_MB, LARGE_MB, SMALL_MB),
        *(LARGE_MB, SMALL_MB, LARGE_MB, LARGE_MB, SMALL_MB),
    )
    workers = (
        Worker("summary-models", "akl-a", "r1", 1),
        Worker("summary-models", "akl-b", "r1", 1),
        Worker("summary-models", "akl-c", "r1", 1),
        Worker("summary-models", "akl-a", "r2", 1),
        Worker("summary-models", "akl-b", "r2", 1),
        Worker("summary-models", "akl-c", "r2", 1),
        Worker("station-api", "akl-a", "r1", 0),
        Worker("station-api", "akl-b", "r1", 0),
        Worker("station-api", "akl-c", "r1", 0),
    )
    return Manifest(
        replaces_revision=0,
        deployment="kereru",
        objective="attainment_per_accelerator",
        models=tuple(_make_models(names, sizes, 80)),
        backend_servers=_make_servers(workers, "nz-north", "10.30.0", 4),
        routes=(
            Route("/v1/", "summary-models", "engine"),
            Route("/stations/", "station-api", "plain"),
            Route("/observations/", "station-api", "plain", urgency="batch"),
            Route("/conditions/", "station-api", "plain", is_open=True),
        ),
        customers=(
            _make_customer("farm-network", 5_000.0, 60_000.0, 3.0),
            _make_customer("trampers-union", 3_000.0, 40_000.0, 2.0),
            _make_customer("school-groups", 1_000.0, 20_000.0, 1.0),
            _make_customer("station-volunteers", 600.0, 10_000.0, 1.0),
            _make_customer("review-team", 400.0, 8_000.0, 1.0),
        ),
        urgency_rules=(
            UrgencyRule("urgent", model="frost-notice"),
            UrgencyRule("urgent", model="gust-notice"),
            UrgencyRule("batch", model="season-report"),
            UrgencyRule("batch", model="observation-label"),
        ),
        weight_store=WeightStoreLimits(2.0, 8, 64),
    )


def total_model_mb(manifest: Manifest) -> int:
    """Return the memory of one replica of each model with its adapters, in MB."""
    return sum(
        model.memory_mb + sum(adapter.memory_mb for adapter in model.adapters)
        for model in manifest.models
    )


def total_engine_mb(manifest: Manifest) -> int:
    """Return the accelerator memory of all backend servers, in MB."""
    return sum(server.memory_mb for server in manifest.backend_servers)


def main() -> None:
    """Write both example files."""
    EXAMPLES.mkdir(exist_ok=True)
    for manifest in (make_fjordmegling(), make_kereru()):
        path = EXAMPLES / f"{manifest.deployment}.json"
        text = json.dumps(to_plain(manifest), indent=2) + "\n"
        path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
