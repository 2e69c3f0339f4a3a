"""The state that a model engine reports at ``GET /state``."""

from typing import Annotated, Literal, NamedTuple

from pydantic import Field

MegaBytes = Annotated[int, Field(ge=0)]
Progress = Literal["loading", "ready", "unloading"]


class EngineAdapter(NamedTuple):
    """An adapter that takes memory on the engine."""

    name: str
    memory_mb: MegaBytes
    state: Progress


class EngineModel(NamedTuple):
    """A model version that takes memory on the engine; adapters are counted apart."""

    name: str
    version: str
    memory_mb: MegaBytes
    state: Progress
    adapters: tuple[EngineAdapter, ...] = ()


class EngineOrder(NamedTuple):
    """The state of an order that the engine has received."""

    fencing_number: int
    order_number: int
    state: Literal["running", "done", "failed", "refused"]


class EngineState(NamedTuple):
    """The part of an engine's report that control daemons use.

    Attributes
    ----------
    incarnation : str
        Changes with each start; a restarted engine has no models loaded.
    leaving : bool
        Whether the engine says that it is about to shut down.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    memory_mb : int
        Total accelerator memory.
    models : tuple of EngineModel
        All models that take memory.
    running_tokens, queued_tokens : float
        The load, as measured `load_age_s` ago.
    load_age_s : float
        The age of the load figures.
    highest_fencing_number : int
        The highest fencing number that it has received; -1 for none.
    orders : tuple of EngineOrder
        The most recent orders that it has received.
    """

    incarnation: str
    leaving: bool
    checks_fencing: bool
    memory_mb: MegaBytes
    models: tuple[EngineModel, ...] = ()
    running_tokens: float = 0.0
    queued_tokens: float = 0.0
    load_age_s: float = 0.0
    highest_fencing_number: int = -1
    orders: tuple[EngineOrder, ...] = ()
