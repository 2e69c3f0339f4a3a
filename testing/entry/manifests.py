"""A small manifest, and revisions and routing views based on it."""

import hashlib
from typing import Final

from _pistachiopond.schema.manifest import (
    Adapter,
    BackendServer,
    Customer,
    Manifest,
    Model,
    Route,
    UrgencyRule,
)
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.routing import ResidentModel, RoutingView, ServerView

KEY: Final = "key-of-bergen"
OTHER_KEY: Final = "key-of-voss"
DATA_CENTRE: Final = "bergen-a"


def digest(key: str) -> str:
    """Return the digest under which a manifest lists an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_manifest() -> Manifest:
    """Return a manifest with two customers, a model, an engine and a service."""
    return Manifest(
        replaces_revision=0,
        deployment="test",
        objective="worst_served_customer",
        models=(Model("notes", "1", 1000, (Adapter("notes-voss", 10),)),),
        backend_servers=(
            BackendServer(
                "engine-1",
                "http://127.0.0.1:1",
                DATA_CENTRE,
                "norge-vest",
                "r1",
                "drafting",
                1,
                80_000,
                True,
            ),
            BackendServer(
                "booking-1",
                "http://127.0.0.1:2",
                DATA_CENTRE,
                "norge-vest",
                "r1",
                "booking",
            ),
        ),
        routes=(
            Route("/v1", "drafting", "engine"),
            Route("/booking", "booking", "plain"),
            Route("/public", "booking", "plain", is_open=True),
            Route("/open", "drafting", "engine", is_open=True),
        ),
        customers=(
            Customer("bergen", 1e6, 1e6, 1.0, (digest(KEY),)),
            Customer("voss", 1e6, 1e6, 1.0, (digest(OTHER_KEY),)),
        ),
        urgency_rules=(UrgencyRule("urgent", customer="voss"),),
    )


def make_revision(
    *,
    number: int = 1,
    withdrawn: tuple[str, ...] = (),
    manifest: Manifest | None = None,
) -> Revision:
    """Return a revision of the manifest, in which some keys may be withdrawn."""
    return Revision(
        number,
        manifest or make_manifest(),
        frozenset(digest(key) for key in withdrawn),
        number - 1,
    )


def make_view(
    engines: dict[str, str], services: dict[str, str] | None = None, sequence: int = 1
) -> RoutingView:
    """Return a routing view with servers at the given URLs, by name."""
    resident = ResidentModel("notes", "1", ("notes-voss",), "ready")
    servers = [
        ServerView(name, url, DATA_CENTRE, "drafting", "serving", (resident,), 0.0, 0.1)
        for name, url in engines.items()
    ]
    servers += [
        ServerView(name, url, DATA_CENTRE, "booking", "serving", (), 0.0, 0.1)
        for name, url in (services or {}).items()
    ]
    return RoutingView(sequence, tuple(servers))
