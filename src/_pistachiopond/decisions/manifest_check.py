"""Validates a manifest beyond what its field types express.

These checks decide whether a publication is accepted, so every reader must come to
the same result: the functions depend on nothing but their arguments.
"""

from collections import Counter
from collections.abc import Iterable

from _pistachiopond.decisions.placement_types import replica_memory_mb
from _pistachiopond.schema.manifest import Manifest, Model


def find_faults(manifest: Manifest) -> tuple[str, ...]:
    """Return one line for each contradiction inside the manifest."""
    callable_names = [model.name for model in manifest.models]
    callable_names += [
        adapter.name for model in manifest.models for adapter in model.adapters
    ]
    digests = [
        digest for customer in manifest.customers for digest in customer.key_digests
    ]
    return (
        *_duplicates("model or adapter", callable_names),
        *_duplicates(
            "backend server", [item.name for item in manifest.backend_servers]
        ),
        *_duplicates("url", [item.url for item in manifest.backend_servers]),
        *_duplicates("customer", [item.name for item in manifest.customers]),
        *_duplicates("key digest", digests),
        *_duplicates("route", [item.path_prefix for item in manifest.routes]),
        *_routes_to_unknown_services(manifest),
        *_rules_with_unknown_names(manifest, frozenset(callable_names)),
    )


def _duplicates(what: str, names: Iterable[str]) -> list[str]:
    counts = Counter(names)
    return [
        f"{what} {name!r} is listed {count} times; list it once"
        for name, count in sorted(counts.items())
        if count > 1
    ]


def _routes_to_unknown_services(manifest: Manifest) -> list[str]:
    services = {server.service for server in manifest.backend_servers}
    return [
        f"route {route.path_prefix!r} names service {route.service!r}, which no "
        "backend server belongs to; add a server or correct the name"
        for route in manifest.routes
        if route.service not in services
    ]


def _rules_with_unknown_names(manifest: Manifest, names: frozenset[str]) -> list[str]:
    customers = {customer.name for customer in manifest.customers}
    faults = []
    for rule in manifest.urgency_rules:
        if rule.customer is not None and rule.customer not in customers:
            faults.append(
                f"an urgency rule names customer {rule.customer!r}, who is not "
                "listed; add the customer or correct the name"
            )
        if rule.model is not None and rule.model not in names:
            faults.append(
                f"an urgency rule names model {rule.model!r}, which is not listed; "
                "add the model or correct the name"
            )
    return faults


def find_unplaceable(manifest: Manifest, previous: Manifest | None) -> tuple[str, ...]:
    """Return why not every model can be served; empty if all can be.

    Packs one replica of each model, the largest first, onto the server with the
    most free memory. Then requires that the largest model whose version changes
    fits in addition, so that it can be rolled out while the old version serves.

    Parameters
    ----------
    manifest : Manifest
        The manifest to check.
    previous : Manifest or None
        The manifest in force.
    """
    free_mb = {
        server.name: server.memory_mb
        for server in manifest.backend_servers
        if server.memory_mb > 0
    }
    by_size = sorted(
        manifest.models, key=lambda item: (-replica_memory_mb(item), item.name)
    )
    unplaceable = [
        f"model {model.name!r} needs {replica_memory_mb(model)} MB, which no backend "
        "server has left; add memory or remove models"
        for model in by_size
        if not _pack(replica_memory_mb(model), free_mb)
    ]
    if unplaceable:
        return tuple(unplaceable)
    changed = _changed_versions(manifest, previous)
    if not changed:
        return ()
    largest = max(changed, key=lambda item: (replica_memory_mb(item), item.name))
    if _pack(replica_memory_mb(largest), free_mb):
        return ()
    return (
        f"model {largest.name!r} changes its version, but no backend server has "
        f"{replica_memory_mb(largest)} MB free to load the new one beside the old; "
        "add memory or remove models first",
    )


def _pack(memory_mb: int, free_mb: dict[str, int]) -> bool:
    if not free_mb:
        return False
    most_free = max(free_mb, key=lambda name: (free_mb[name], name))
    if free_mb[most_free] < memory_mb:
        return False
    free_mb[most_free] -= memory_mb
    return True


def _changed_versions(manifest: Manifest, previous: Manifest | None) -> list[Model]:
    if previous is None:
        return []
    versions = {model.name: model.version for model in previous.models}
    return [
        model
        for model in manifest.models
        if model.name in versions and versions[model.name] != model.version
    ]
