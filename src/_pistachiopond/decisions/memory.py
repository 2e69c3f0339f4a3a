"""Counts accelerator memory: what is loaded, and what may yet be loaded.

A model that an engine holds and an unsettled order to load the same model there
are one use of memory, not two.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from _pistachiopond.schema.engine import EngineState
from _pistachiopond.schema.records import Intent, Order

LOADING_VERBS: Final = frozenset({"load", "load_adapter"})


class Slot(NamedTuple):
    """Something that takes memory on a server; `adapter` is empty for a model."""

    model: str
    version: str
    adapter: str = ""


class Report(NamedTuple):
    """What an engine said, and when it was asked.

    Attributes
    ----------
    state : EngineState
        Its answer.
    asked_s : float
        When the question was sent: the answer is at least as new.
    """

    state: EngineState
    asked_s: float


def slot_of(order: Order) -> Slot:
    """Return what the order is about."""
    return Slot(order.model, order.version, order.adapter)


def loaded_slots(state: EngineState) -> dict[Slot, int]:
    """Return everything that takes memory on the engine, with its size in MB."""
    slots: dict[Slot, int] = {}
    for model in state.models:
        slots[Slot(model.name, model.version)] = model.memory_mb
        for adapter in model.adapters:
            slots[Slot(model.name, model.version, adapter.name)] = adapter.memory_mb
    return slots


def counted_slots(
    server: str, state: EngineState, intents: Iterable[Intent]
) -> dict[Slot, int]:
    """Return what must be counted as used on a server, with sizes in MB.

    Parameters
    ----------
    server : str
        Its name.
    state : EngineState
        Its own report.
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
    """Return the memory that may be given away, in MB; negative when overcommitted."""
    return state.memory_mb - sum(counted_slots(server, state, intents).values())


def effect_of(order: Order, state: EngineState) -> str:
    """Return how far the engine's report shows the order's effect.

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
