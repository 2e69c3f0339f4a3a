"""Prints how memory, encoded size and processor time grow with the deployment.

Usage: ``python tools/bench_capacity.py [configuration|views]``. Times are the minimum
of several runs, in milliseconds of processor time on this machine.
"""

import sys
import time
import tracemalloc
from collections.abc import Callable

from _pistachiopond.decisions.manifest_check import find_faults, find_unplaceable
from _pistachiopond.decisions.views import has_changed
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.manifest import (
    Adapter,
    BackendServer,
    Customer,
    Manifest,
    Model,
    Route,
)
from _pistachiopond.schema.routing import ResidentModel, RoutingView, ServerView

RUNS = 5
REPLICAS_PER_SERVER = 5
SIZES = ((9, 17, 5), (50, 40, 25), (200, 100, 100), (810, 230, 400))


def min_cpu_ms(call: Callable[[], object]) -> float:
    """Return the minimum processor time of one call, in milliseconds."""
    min_s = float("inf")
    for _ in range(RUNS):
        started_s = time.process_time()
        call()
        min_s = min(min_s, time.process_time() - started_s)
    return 1000.0 * min_s


def held_kb(build: Callable[[], object]) -> float:
    """Return the memory of the object that `build` returns, in kB."""
    tracemalloc.start()
    retained = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return size / 1000.0


def make_manifest(servers: int, models: int, customers: int) -> Manifest:
    """Return a manifest of the given size, with four adapters for each model."""
    return Manifest(
        replaces_revision=0,
        deployment="capacity",
        objective="attainment_per_accelerator",
        models=tuple(
            Model(
                f"model-{i}",
                "1",
                40_000,
                tuple(Adapter(f"adapter-{i}-{j}", 100) for j in range(4)),
            )
            for i in range(models)
        ),
        backend_servers=tuple(
            BackendServer(
                f"worker-{i}",
                f"http://10.0.{i // 250}.{i % 250}:8000",
                f"dc-{i % 5}",
                f"region-{i % 5 // 3}",
                f"rack-{i % 5}-{i // 5 % 27}",
                "engines",
                4,
                320_000,
            )
            for i in range(servers)
        ),
        routes=(Route("/v1", "engines", "engine"),),
        customers=tuple(
            Customer(f"customer-{i}", 1000.0, 10_000.0, 1.0, (f"{i:064x}",))
            for i in range(customers)
        ),
    )


def make_view(servers: int, models: int) -> RoutingView:
    """Return a routing view of the given size."""
    return RoutingView(
        1,
        tuple(
            ServerView(
                f"worker-{i}",
                f"http://10.0.{i // 250}.{i % 250}:8000",
                f"dc-{i % 5}",
                "engines",
                "serving",
                tuple(
                    ResidentModel(
                        f"model-{(i + j * 7) % models}",
                        "1",
                        tuple(f"adapter-{(i + j * 7) % models}-{k}" for k in range(4)),
                        "ready",
                    )
                    for j in range(REPLICAS_PER_SERVER)
                ),
                1000.0,
                0.5,
            )
            for i in range(servers)
        ),
    )


def find_manifest_errors(manifest: Manifest) -> tuple[str, ...]:
    """Return the errors that the acceptance check finds in the manifest."""
    return find_faults(manifest) + find_unplaceable(manifest, manifest)


def measure_configuration() -> None:
    """Print size, memory and processing times of a manifest, for each size."""
    for servers, models, customers in SIZES:
        manifest = make_manifest(servers, models, customers)
        text = to_json(manifest)
        print(
            f"servers {servers:4d} models {models:4d} customers {customers:4d} "
            f"bytes {len(text):7d} "
            f"decode {min_cpu_ms(lambda text=text: from_json(Manifest, text)):7.2f} ms "
            f"encode {min_cpu_ms(lambda m=manifest: to_json(m)):7.2f} ms "
            f"check {min_cpu_ms(lambda m=manifest: find_manifest_errors(m)):7.2f} ms "
            f"held {held_kb(lambda text=text: from_json(Manifest, text)):7.0f} kB"
        )


def measure_views() -> None:
    """Print size, memory and processing times of a routing view, for each size."""
    for servers, models, _ in SIZES:
        view = make_view(servers, models)
        next_view = view._replace(sequence=2)
        text = to_json(view)
        compare_ms = min_cpu_ms(lambda a=view, b=next_view: has_changed(a, b))
        decode_ms = min_cpu_ms(lambda text=text: from_json(RoutingView, text))
        print(
            f"servers {servers:4d} models {models:4d} bytes {len(text):7d} "
            f"decode {decode_ms:7.2f} ms "
            f"encode {min_cpu_ms(lambda view=view: to_json(view)):7.2f} ms "
            f"compare {compare_ms:7.2f} ms "
            f"held {held_kb(lambda text=text: from_json(RoutingView, text)):7.0f} kB"
        )


if __name__ == "__main__":
    selected = sys.argv[1:] or ["configuration", "views"]
    if "configuration" in selected:
        measure_configuration()
    if "views" in selected:
        measure_views()
