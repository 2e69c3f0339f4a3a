"""Keeps loads within what the weight store carries, over the whole fleet.

All backend servers belong to one shard, so its holder counts every load; a new
holder also counts those of earlier ones that may still be under way.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from _pistachiopond.decisions.memory import Report, Slot, slot_of
from _pistachiopond.schema.manifest import WeightStoreLimits
from _pistachiopond.schema.records import Intent

FOREIGN_LOAD_S: Final = 30.0


class LoadsInFlight(NamedTuple):
    """How many loads the weight store may be serving."""

    models: int
    adapters: int


def count_loads(
    intents: Iterable[Intent],
    reports: Mapping[str, Report],
    me: str,
    held_for_s: float,
) -> LoadsInFlight:
    """Count every load that may be under way.

    Parameters
    ----------
    intents : iterable of Intent
        All unsettled orders.
    reports : mapping of str to Report
        The engines' newest reports.
    me : str
        This incarnation; its own orders count until they are seen to be done.
    held_for_s : float
        Since the claim. Earlier holders' orders that no engine shows as loading
        count only for so long as they could still begin.
    """
    loading: set[tuple[str, Slot]] = set()
    ready: set[tuple[str, Slot]] = set()
    for server, report in reports.items():
        _sort_by_progress(server, report, loading, ready)
    for intent in intents:
        order = intent.order
        if order.verb not in ("load", "load_adapter"):
            continue
        key = (order.server, slot_of(order))
        counts = intent.holder == me or held_for_s < FOREIGN_LOAD_S
        if counts and key not in ready:
            loading.add(key)
    adapters = sum(1 for _, slot in loading if slot.adapter)
    return LoadsInFlight(len(loading) - adapters, adapters)


def _sort_by_progress(
    server: str,
    report: Report,
    loading: set[tuple[str, Slot]],
    ready: set[tuple[str, Slot]],
) -> None:
    for model in report.state.models:
        chosen = loading if model.state == "loading" else ready
        chosen.add((server, Slot(model.name, model.version)))
        for adapter in model.adapters:
            chosen = loading if adapter.state == "loading" else ready
            chosen.add((server, Slot(model.name, model.version, adapter.name)))


def may_start_model(
    loads: LoadsInFlight, limits: WeightStoreLimits, last_start_s: float, now_s: float
) -> bool:
    """Return whether another model load keeps within count and rate."""
    if loads.models >= limits.full_speed_loads:
        return False
    return now_s - last_start_s >= 1.0 / limits.loads_per_s


def may_start_adapter(loads: LoadsInFlight, limits: WeightStoreLimits) -> bool:
    """Return whether another adapter load keeps within the count."""
    return loads.adapters < limits.full_speed_adapter_loads
