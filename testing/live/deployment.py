"""A small deployment for live proofs, and the steps that proofs share."""

import hashlib
import tempfile
import time
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final, NamedTuple

import anyio
import httpx

from _pistachiopond.cli.fleet import VmStatus, ask_fleet
from _pistachiopond.cli.publishing import Published, Target, publish_manifest
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.manifest import (
    Adapter,
    BackendServer,
    Customer,
    Manifest,
    Model,
    Route,
)
from testing.live.load import Caller, Load
from tools.fleet import Fleet, FleetOptions

LIMIT_S: Final = 90.0
PUBLISH_WAIT_S: Final = 30.0
POLL_S: Final = 0.05
ENGINE_MB: Final = 10_000
MODEL_MB: Final = 2_000
ADAPTER_MB: Final = 50
MODELS: Final = ("summary", "agenda", "label", "notice")
PLENTY: Final = 1_000_000.0
QUICK_PLATFORM: Final = ("--loads-per-s", "20", "--model-load-s", "0.1")
QUICK_ENGINE: Final = ("--token-gap-s", "0.01")


class Deployment(NamedTuple):
    """A fleet that serves its manifest."""

    fleet: Fleet
    folder: Path
    load: Load


def key_of(customer: str) -> str:
    """Return a customer's key."""
    return f"secret-key-of-{customer}"


def digest_of(customer: str) -> str:
    """Return the digest of a customer's key."""
    return hashlib.sha256(key_of(customer).encode()).hexdigest()


def make_customer(name: str, rate: float = PLENTY, burst: float = PLENTY) -> Customer:
    """Return a customer with one key."""
    return Customer(name, rate, burst, 1.0, (digest_of(name),))


def make_manifest(customers: tuple[Customer, ...]) -> Manifest:
    """Return four models on three engines, and two plain services."""
    engines = tuple(_engine(number) for number in range(3))
    services = tuple(_service(number) for number in range(2))
    models = tuple(
        Model(name, "1", MODEL_MB, (Adapter(f"{name}-office", ADAPTER_MB),))
        for name in MODELS
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


def _engine(number: int) -> BackendServer:
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


def _service(number: int) -> BackendServer:
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
    models: tuple[str, ...] = (*MODELS, "summary-office"),
) -> Caller:
    """Return one customer's traffic."""
    key = key_of(customer)
    return Caller(customer, key, requests_per_s, kinds, max_tokens, models)


@asynccontextmanager
async def deploy(
    customers: tuple[Customer, ...], options: FleetOptions | None = None
) -> AsyncGenerator[Deployment, None]:
    """Start a deployment, wait until it serves everything, and stop it after.

    Raises
    ------
    AssertionError
        When the manifest is not accepted.
    """
    chosen = options or FleetOptions(
        platform_options=QUICK_PLATFORM, engine_options=QUICK_ENGINE
    )
    with tempfile.TemporaryDirectory(prefix="pond-live-") as name:
        folder = Path(name)
        fleet = Fleet(folder, make_manifest(customers), chosen)
        try:
            fleet.start_vms()
            published = await publish(fleet, folder, fleet.manifest)
            assert published.result == "accepted", published
            await anyio.to_thread.run_sync(fleet.wait_until_ready)
            await anyio.to_thread.run_sync(fleet.wait_for_models, LIMIT_S)
            load = Load(fleet.manifest, fleet.entry_urls)
            await wait_until_answered(load)
            yield Deployment(fleet, folder, load)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.to_thread.run_sync(fleet.close)


async def publish(fleet: Fleet, folder: Path, manifest: Manifest) -> Published:
    """Publish a manifest as `pond publish` does; returns what it reports."""
    path = folder / f"manifest-{time.monotonic_ns()}.json"
    path.write_text(to_json(manifest), encoding="utf-8")
    target = target_of(fleet)
    report = await publish_manifest(path, target, None)
    assert isinstance(report.data, Published), report
    return report.data


def target_of(fleet: Fleet) -> Target:
    """Return where operators publish and whom they ask."""
    addresses = fleet.control_addresses()
    return Target(fleet.platform.url, addresses, None, PUBLISH_WAIT_S)


async def statuses(fleet: Fleet) -> tuple[VmStatus, ...]:
    """Return what each control daemon says, as `pond status` asks it."""
    return await ask_fleet(fleet.control_addresses(), None)


async def wait_until_answered(load: Load) -> None:
    """Wait until every VM answers a request to every model."""
    customer = "one"
    headers = {"authorization": f"Bearer {key_of(customer)}"}
    async with httpx.AsyncClient(headers=headers, timeout=LIMIT_S) as http:
        with anyio.fail_after(LIMIT_S):
            whole = 0
            caller = make_caller(customer, kinds=("plain",), max_tokens=2)
            while whole < 3 * len(caller.models):
                sent = await load.send(http, caller, whole)
                whole = whole + 1 if sent.end == "whole" else 0
    load.sent.clear()


async def wait_for(condition: Callable[[], bool], limit_s: float = LIMIT_S) -> float:
    """Wait until a condition holds, and return how long it took."""
    began_s = time.monotonic()
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(POLL_S)
    return time.monotonic() - began_s
