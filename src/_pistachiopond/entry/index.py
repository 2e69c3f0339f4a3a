"""Lookup tables of the current configuration, built once for each revision."""

import hmac
from collections.abc import Mapping
from typing import NamedTuple

from _pistachiopond.schema.manifest import (
    Customer,
    Manifest,
    Model,
    Route,
    Urgency,
    UrgencyRule,
)
from _pistachiopond.schema.revision import Revision


class NamedModel(NamedTuple):
    """The model or adapter that a request's ``model`` field refers to.

    Attributes
    ----------
    model : str
        The base model.
    adapter : str or None
        The adapter of that model, if the field names an adapter.
    """

    model: str
    adapter: str | None


class ManifestIndex(NamedTuple):
    """The parts of a revision that are looked up for each request.

    Attributes
    ----------
    revision : int
        The revision's number.
    customers_by_digest : mapping
        The owner of each valid API key, by the key's SHA-256 in hexadecimal.
    listed_digests : frozenset of str
        The digests of all keys that the revision lists, including withdrawn ones.
    bursts_tokens : mapping
        The burst of each customer, in tokens.
    models : mapping
        Models and adapters by name.
    routes : tuple of Route
        All routes, the longest path prefix first.
    rules : tuple of UrgencyRule
        Urgency rules in the manifest's order.
    """

    revision: int
    customers_by_digest: Mapping[str, Customer]
    listed_digests: frozenset[str]
    bursts_tokens: Mapping[str, float]
    models: Mapping[str, NamedModel]
    routes: tuple[Route, ...]
    rules: tuple[UrgencyRule, ...]


def make_index(revision: Revision) -> ManifestIndex:
    """Return the lookup tables of a revision."""
    manifest = revision.manifest
    routes = sorted(manifest.routes, key=lambda route: -len(route.path_prefix))
    return ManifestIndex(
        revision=revision.number,
        customers_by_digest=_active_keys(manifest, revision.withdrawn_digests),
        listed_digests=revision.withdrawn_digests.union(
            *(customer.key_digests for customer in manifest.customers)
        ),
        bursts_tokens={item.name: item.burst_tokens for item in manifest.customers},
        models=_named_models(manifest.models),
        routes=tuple(routes),
        rules=manifest.urgency_rules,
    )


def find_customer(index: ManifestIndex, digest: str) -> Customer | None:
    """Return the customer that a key's digest belongs to.

    The lookup is by digest, so its duration reveals nothing about the key itself.
    """
    customer = index.customers_by_digest.get(digest)
    if customer is None:
        return None
    is_listed = any(
        hmac.compare_digest(listed, digest) for listed in customer.key_digests
    )
    return customer if is_listed else None


def find_route(index: ManifestIndex, path: str) -> Route | None:
    """Return the route with the longest prefix that ends at a segment of `path`."""
    for route in index.routes:
        if has_prefix(path, route.path_prefix):
            return route
    return None


def has_prefix(path: str, prefix: str) -> bool:
    """Return whether `prefix` matches `path` up to a segment boundary.

    ``/pub`` matches ``/pub`` and ``/pub/x`` but not ``/public``, so that an open
    route (one that needs no API key) does not expose its neighbours.
    """
    if not path.startswith(prefix):
        return False
    if prefix.endswith("/") or len(path) == len(prefix):
        return True
    return path[len(prefix)] == "/"


def decide_urgency(
    index: ManifestIndex, route: Route, customer: str, model: str | None, path: str
) -> Urgency:
    """Return the urgency of a request: the first matching rule, else the route's."""
    for rule in index.rules:
        if _matches(rule, customer, model, path):
            return rule.urgency
    return route.urgency


def _matches(rule: UrgencyRule, customer: str, model: str | None, path: str) -> bool:
    if rule.customer is not None and rule.customer != customer:
        return False
    if rule.model is not None and rule.model != model:
        return False
    return rule.path_prefix is None or has_prefix(path, rule.path_prefix)


def _active_keys(manifest: Manifest, withdrawn: frozenset[str]) -> dict[str, Customer]:
    found: dict[str, Customer] = {}
    ambiguous: set[str] = set()
    for customer in manifest.customers:
        for digest in customer.key_digests:
            if digest in found and found[digest].name != customer.name:
                ambiguous.add(digest)
            found[digest] = customer
    # A key listed by two customers does not identify the caller, so it is refused.
    refused = ambiguous | withdrawn
    return {digest: item for digest, item in found.items() if digest not in refused}


def _named_models(models: tuple[Model, ...]) -> dict[str, NamedModel]:
    named: dict[str, NamedModel] = {}
    for model in models:
        for adapter in model.adapters:
            named[adapter.name] = NamedModel(model.name, adapter.name)
    for model in models:
        named[model.name] = NamedModel(model.name, None)
    return named
