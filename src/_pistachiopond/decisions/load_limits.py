"""Limits concurrent loads from the weight store, over the whole fleet.

All backend servers belong to one shard, so its holder counts every load. A new holder
also counts the loads of earlier holders that may still be in progress.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from _pistachiopond.decisions.memory import EngineReport, Slot, slot_of
from _pistachiopond.schema.manifest import WeightStoreLimits
from _pistachiopond.schema.records import Intent

EARLIER_HOLDER_LOAD_S: Final = 30.0


class LoadsInFlight(NamedTuple):
    """The number of loads that the weight store may be serving."""

    models: int
    adapters: int


def count_loads(
    intents: Iterable[Intent],
    reports: Mapping[str, EngineReport],
    me: str,
    held_for_s: float,
) -> LoadsInFlight:
    """Count every load that may be in progress.

    Parameters
    ----------
    intents : iterable of Intent
        All unsettled orders.
    reports : mapping of str to EngineReport
        The engines' newest reports.
    me : str
        This incarnation; its own orders count until a report shows them as done.
    held_for_s : float
        Time since the shard was acquired. Earlier holders' orders that no engine
        reports as loading count only for `EARLIER_HOLDER_LOAD_S`, in which they could
        still start.
    """
    loading: set[tuple[str, Slot]] = set()
    ready: set[tuple[str, Slot]] = set()
    for server, report in reports.items():
        _split_by_progress(server, report, loading, ready)
    for intent in intents:
        order = intent.order
        if order.verb not in ("load", "load_adapter"):
            continue
        key = (order.server, slot_of(order))
        is_counted = intent.holder == me or held_for_s < EARLIER_HOLDER_LOAD_S
        if is_counted and key not in ready:
            loading.add(key)
    adapters = sum(1 for _, slot in loading if slot.adapter)
    return LoadsInFlight(len(loading) - adapters, adapters)


def _split_by_progress(
    server: str,
    report: EngineReport,
    loading: set[tuple[str, Slot]],
    ready: set[tuple[str, Slot]],
) -> None:
    for model in report.state.models:
        target = loading if model.state == "loading" else ready
        target.add((server, Slot(model.name, model.version)))
        for adapter in model.adapters:
            target = loading if adapter.state == "loading" else ready
            target.add((server, Slot(model.name, model.version, adapter.name)))


def may_start_model(
    loads: LoadsInFlight, limits: WeightStoreLimits, last_start_s: float, now_s: float
) -> bool:
    """Return whether another model load is within the limits of count and rate."""
    if loads.models >= limits.full_speed_loads:
        return False
    return now_s - last_start_s >= 1.0 / limits.loads_per_s


def may_start_adapter(loads: LoadsInFlight, limits: WeightStoreLimits) -> bool:
    """Return whether another adapter load is within the limit of their count."""
    return loads.adapters < limits.full_speed_adapter_loads
