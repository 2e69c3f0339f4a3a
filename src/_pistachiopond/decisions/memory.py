"""Counts accelerator memory that is in use or may come into use.

A model on an engine and an unsettled order to load the same model there count once.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from _pistachiopond.schema.engine import EngineState
from _pistachiopond.schema.records import Intent, Order

LOADING_VERBS: Final = frozenset({"load", "load_adapter"})


class Slot(NamedTuple):
    """A model version or adapter on a server; `adapter` is empty for a model."""

    model: str
    version: str
    adapter: str = ""


class EngineReport(NamedTuple):
    """An engine's report, and when it was requested.

    Attributes
    ----------
    state : EngineState
        The state in the report.
    asked_s : float
        When the request was sent: the state is at least as new.
    """

    state: EngineState
    asked_s: float


def slot_of(order: Order) -> Slot:
    """Return the model version or adapter that the order is for."""
    return Slot(order.model, order.version, order.adapter)


def loaded_slots(state: EngineState) -> dict[Slot, int]:
    """Return everything that uses memory on the engine, with sizes in MB."""
    slots: dict[Slot, int] = {}
    for model in state.models:
        slots[Slot(model.name, model.version)] = model.memory_mb
        for adapter in model.adapters:
            slots[Slot(model.name, model.version, adapter.name)] = adapter.memory_mb
    return slots


def counted_slots(
    server: str, state: EngineState, intents: Iterable[Intent]
) -> dict[Slot, int]:
    """Return everything that must be counted as using memory, with sizes in MB.

    Parameters
    ----------
    server : str
        The server's name.
    state : EngineState
        The state that its engine reported.
    intents : iterable of Intent
        Every order that may be in effect or in flight.
    """
    slots = loaded_slots(state)
    for intent in intents:
        order = intent.order
        if order.server != server or order.verb not in LOADING_VERBS:
            continue
        slot = slot_of(order)
        slots[slot] = max(slots.get(slot, 0), order.memory_mb)
    return slots


def free_mb(server: str, state: EngineState, intents: Iterable[Intent]) -> int:
    """Return the memory available for new loads, in MB; negative if overcommitted."""
    return state.memory_mb - sum(counted_slots(server, state, intents).values())


def effect_of(order: Order, state: EngineState) -> str:
    """Return how much of the order's effect the engine's report shows.

    Returns
    -------
    str
        ``none``, ``underway`` or ``done``.
    """
    progress = _progress(slot_of(order), state)
    if order.verb in LOADING_VERBS:
        return {"ready": "done", "loading": "underway"}.get(progress, "none")
    return {"absent": "done", "unloading": "underway"}.get(progress, "none")


def _progress(slot: Slot, state: EngineState) -> str:
    for model in state.models:
        if (model.name, model.version) != (slot.model, slot.version):
            continue
        if not slot.adapter:
            return model.state
        for adapter in model.adapters:
            if adapter.name == slot.adapter:
                return adapter.state
    return "absent"
