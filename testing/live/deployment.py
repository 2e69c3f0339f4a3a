"""A small deployment for the live scenarios, and helpers that they share."""

import hashlib
import tempfile
import time
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final, NamedTuple

import anyio
import httpx

from _pistachiopond.cli.fleet import VmStatus, fetch_fleet_status
from _pistachiopond.cli.publishing import PublishResult, PublishTarget, publish_manifest
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.manifest import (
    Adapter,
    BackendServer,
    Customer,
    Manifest,
    Model,
    Route,
)
from testing.live.load import Caller, LoadGenerator
from tools.fleet import Fleet, FleetOptions

TIMEOUT_S: Final = 90.0
PUBLISH_WAIT_S: Final = 30.0
POLL_S: Final = 0.05
ENGINE_MB: Final = 10_000
MODEL_MB: Final = 2_000
ADAPTER_MB: Final = 50
MODEL_NAMES: Final = ("summary", "agenda", "label", "notice")
AMPLE_TOKENS: Final = 1_000_000.0
FAST_PLATFORM_OPTIONS: Final = ("--loads-per-s", "20", "--model-load-s", "0.1")
FAST_ENGINE_OPTIONS: Final = ("--token-gap-s", "0.01")


class Deployment(NamedTuple):
    """A running fleet that serves its manifest, with a load generator."""

    fleet: Fleet
    folder: Path
    load: LoadGenerator


def customer_key(customer: str) -> str:
    """Return a customer's API key."""
    return f"secret-key-of-{customer}"


def customer_key_digest(customer: str) -> str:
    """Return the SHA-256 digest of a customer's API key."""
    return hashlib.sha256(customer_key(customer).encode()).hexdigest()


def make_customer(
    name: str, rate: float = AMPLE_TOKENS, burst: float = AMPLE_TOKENS
) -> Customer:
    """Return a customer with one API key; its default limits are never reached."""
    return Customer(name, rate, burst, 1.0, (customer_key_digest(name),))


def make_manifest(customers: tuple[Customer, ...]) -> Manifest:
    """Return a manifest of four models, three engines and two plain services.

    The third engine does not check fencing numbers.
    """
    engines = tuple(_make_engine(number) for number in range(3))
    services = tuple(_make_service(number) for number in range(2))
    models = tuple(
        Model(name, "1", MODEL_MB, (Adapter(f"{name}-office", ADAPTER_MB),))
        for name in MODEL_NAMES
    )
    routes = (
        Route("/v1/", "drafting", "engine"),
        Route("/bookings/", "booking", "plain", urgency="urgent"),
        Route("/open/", "booking", "plain", is_open=True),
    )
    return Manifest(
        replaces_revision=0,
        deployment="live",
        objective="worst_served_customer",
        models=models,
        backend_servers=engines + services,
        routes=routes,
        customers=customers,
    )


def _make_engine(number: int) -> BackendServer:
    return BackendServer(
        name=f"engine-{number}",
        url=f"http://127.0.0.1:{number + 1}",
        data_centre="abc"[number],
        region="one",
        rack=f"rack-{number}",
        service="drafting",
        accelerators=1,
        memory_mb=ENGINE_MB,
        checks_fencing=number != 2,
    )


def _make_service(number: int) -> BackendServer:
    return BackendServer(
        name=f"booking-{number}",
        url=f"http://127.0.0.1:{number + 11}",
        data_centre="ab"[number],
        region="one",
        rack=f"rack-{number}",
        service="booking",
    )


def make_caller(
    customer: str,
    requests_per_s: float = 5.0,
    kinds: tuple[Any, ...] = ("stream", "plain", "booking"),
    max_tokens: int = 20,
    models: tuple[str, ...] = (*MODEL_NAMES, "summary-office"),
) -> Caller:
    """Return the traffic of one customer."""
    key = customer_key(customer)
    return Caller(customer, key, requests_per_s, kinds, max_tokens, models)


@asynccontextmanager
async def deploy(
    customers: tuple[Customer, ...], options: FleetOptions | None = None
) -> AsyncGenerator[Deployment, None]:
    """Start a deployment, wait until it serves all models, and stop it on exit.

    Raises
    ------
    AssertionError
        If the manifest is not accepted.
    """
    fleet_options = options or FleetOptions(
        platform_options=FAST_PLATFORM_OPTIONS, engine_options=FAST_ENGINE_OPTIONS
    )
    with tempfile.TemporaryDirectory(prefix="pond-live-") as name:
        folder = Path(name)
        fleet = Fleet(folder, make_manifest(customers), fleet_options)
        try:
            fleet.start_vms()
            published = await publish(fleet, folder, fleet.manifest)
            assert published.result == "accepted", published
            await anyio.to_thread.run_sync(fleet.wait_until_ready)
            await anyio.to_thread.run_sync(fleet.wait_for_models, TIMEOUT_S)
            load = LoadGenerator(fleet.manifest, fleet.entry_urls)
            await wait_until_serving(load)
            yield Deployment(fleet, folder, load)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.to_thread.run_sync(fleet.close)


async def publish(fleet: Fleet, folder: Path, manifest: Manifest) -> PublishResult:
    """Publish a manifest as `pond publish` does and return its result."""
    path = folder / f"manifest-{time.monotonic_ns()}.json"
    path.write_text(to_json(manifest), encoding="utf-8")
    target = publish_target(fleet)
    report = await publish_manifest(path, target, None)
    assert isinstance(report.data, PublishResult), report
    return report.data


def publish_target(fleet: Fleet) -> PublishTarget:
    """Return the log and the control daemons that operator commands use."""
    addresses = fleet.control_addresses()
    return PublishTarget(fleet.platform.url, addresses, None, PUBLISH_WAIT_S)


async def fetch_statuses(fleet: Fleet) -> tuple[VmStatus, ...]:
    """Return the status of each control daemon, as `pond status` requests it."""
    return await fetch_fleet_status(fleet.control_addresses(), None)


async def wait_until_serving(load: LoadGenerator) -> None:
    """Wait until requests to all models, sent to the VMs in turn, succeed three times.

    A failed request restarts the count.
    """
    customer = "one"
    headers = {"authorization": f"Bearer {customer_key(customer)}"}
    async with httpx.AsyncClient(headers=headers, timeout=TIMEOUT_S) as http:
        with anyio.fail_after(TIMEOUT_S):
            consecutive_successes = 0
            caller = make_caller(customer, kinds=("plain",), max_tokens=2)
            while consecutive_successes < 3 * len(caller.models):
                result = await load.send(http, caller, consecutive_successes)
                consecutive_successes = (
                    consecutive_successes + 1 if result.end == "whole" else 0
                )
    load.results.clear()


async def wait_for(condition: Callable[[], bool], limit_s: float = TIMEOUT_S) -> float:
    """Wait until a condition is true and return the time that it took, in seconds."""
    started_s = time.monotonic()
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(POLL_S)
    return time.monotonic() - started_s
