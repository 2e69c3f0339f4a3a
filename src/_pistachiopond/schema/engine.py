"""What a model engine says of itself at ``GET /state``."""

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
    """A model version that takes memory on the engine, adapters apart."""

    name: str
    version: str
    memory_mb: MegaBytes
    state: Progress
    adapters: tuple[EngineAdapter, ...] = ()


class EngineOrder(NamedTuple):
    """What became of an order that reached the engine."""

    fencing_number: int
    order_number: int
    state: Literal["running", "done", "failed", "refused"]


class EngineState(NamedTuple):
    """The part of an engine's report that control decides by.

    Attributes
    ----------
    incarnation : str
        Changes with each start; a new one holds nothing.
    leaving : bool
        The engine's own word that it is to go away.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    memory_mb : int
        Accelerator memory in all.
    models : tuple of EngineModel
        Everything that takes memory.
    running_tokens, queued_tokens : float
        Its load, which lags.
    load_age_s : float
        By how much.
    highest_fencing_number : int
        The highest that it has seen; -1 for none.
    orders : tuple of EngineOrder
        The last ones that reached it.
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
