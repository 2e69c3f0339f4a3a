"""What placement decides from, and the steps that it asks for."""

from typing import Literal, NamedTuple

from _pistachiopond.schema.manifest import Model, Objective

ReplicaState = Literal["loading", "ready", "draining", "unloading"]


class PlacementServer(NamedTuple):
    """A backend server that runs a model engine.

    Attributes
    ----------
    name, data_centre, region, rack : str
        As in the manifest.
    memory_mb, accelerators : int
        As in the manifest.
    is_usable : bool
        False while it does not answer; its replicas then reach nobody.
    is_leaving : bool
        True from the first sign of any source that it is to go.
    """

    name: str
    data_centre: str
    region: str
    rack: str
    memory_mb: int
    accelerators: int
    is_usable: bool = True
    is_leaving: bool = False


class Replica(NamedTuple):
    """One version of a model on one backend server, or an intent for it.

    Attributes
    ----------
    memory_mb : int
        What it holds, its adapters included; counted until it is surely gone.
    state : {"loading", "ready", "draining", "unloading"}
        An unsettled intent to load counts as ``loading``, one to unload as
        ``unloading``.
    is_drained : bool
        For a draining one: entry daemons have stopped using it and it is idle.
    """

    server: str
    model: str
    version: str
    memory_mb: int
    state: ReplicaState
    is_drained: bool = False


class ModelLoad(NamedTuple):
    """The smoothed demand for one model, its adapters included, in tokens/s."""

    model: str
    tokens_per_s: float


class PlacementOptions(NamedTuple):
    """How placement weighs moves against load.

    Attributes
    ----------
    accelerator_tokens_per_s : float
        What one accelerator generates at most.
    high_utilisation : float
        Above this share of a server's capacity a further replica is sought.
    least_gain : float
        A further replica must lower the hottest server's utilisation below its
        own by at least this much, so that small shifts move nothing.
    loads_in_flight : int
        Loads that the weight store carries at full speed, over all servers.
    spare_replicas : int
        Replicas of each model that are kept in different data centres where
        memory allows.
    """

    accelerator_tokens_per_s: float = 400.0
    high_utilisation: float = 0.7
    least_gain: float = 0.1
    loads_in_flight: int = 2
    spare_replicas: int = 2


class PlacementInput(NamedTuple):
    """Everything that one plan is made from."""

    models: tuple[Model, ...]
    servers: tuple[PlacementServer, ...]
    replicas: tuple[Replica, ...]
    loads: tuple[ModelLoad, ...]
    objective: Objective
    options: PlacementOptions = PlacementOptions()


class LoadStep(NamedTuple):
    """Load this version of the model, with its adapters, on the server."""

    server: str
    model: str
    version: str
    memory_mb: int


class DrainStep(NamedTuple):
    """Give this replica no new work, for as long as plans name it here."""

    server: str
    model: str
    version: str


class UnloadStep(NamedTuple):
    """Unload a drained replica: others answer for its model."""

    server: str
    model: str
    version: str


class PlacementPlan(NamedTuple):
    """The steps to be in progress now; a later plan replaces all of them.

    Attributes
    ----------
    loads : tuple of LoadStep
        In the order of their urgency.
    drains : tuple of DrainStep
        A draining replica that is missing here is to take work again.
    unloads : tuple of UnloadStep
        Safe together: with all of them done, each model still has a ready
        replica that is not draining.
    unplaced : tuple of str
        Models without a replica for which no room could be found.
    """

    loads: tuple[LoadStep, ...]
    drains: tuple[DrainStep, ...]
    unloads: tuple[UnloadStep, ...]
    unplaced: tuple[str, ...]


def replica_memory_mb(model: Model) -> int:
    """Return what one replica of the model holds, its adapters included, in MB."""
    return model.memory_mb + sum(adapter.memory_mb for adapter in model.adapters)
