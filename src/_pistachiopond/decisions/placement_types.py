"""The input and output types of placement."""

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
        False while the server does not answer, so that its replicas are unreachable.
    is_leaving : bool
        True as soon as any source reports that the server is being shut down.
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
    """One version of a model on one backend server, or an intent to load it there.

    Attributes
    ----------
    memory_mb : int
        Memory used, including adapters; counted until the replica is certainly gone.
    state : {"loading", "ready", "draining", "unloading"}
        An unsettled intent to load counts as ``loading``, one to unload as
        ``unloading``.
    is_drained : bool
        For a draining replica: entry daemons no longer use it and it is idle.
    """

    server: str
    model: str
    version: str
    memory_mb: int
    state: ReplicaState
    is_drained: bool = False


class ModelLoad(NamedTuple):
    """The smoothed demand for one model and its adapters, in tokens/s."""

    model: str
    tokens_per_s: float


class PlacementOptions(NamedTuple):
    """Tuning parameters of placement.

    Attributes
    ----------
    accelerator_tokens_per_s : float
        The highest generation rate of one accelerator.
    high_utilisation : float
        Share of a server's capacity above which another replica is planned.
    least_gain : float
        The utilisation of the new replica's server must stay below that of the
        busiest server by at least this much, so that small load changes do not
        cause moves.
    loads_in_flight : int
        Concurrent loads that the weight store serves at full speed, over all servers.
    spare_replicas : int
        Number of different data centres that hold a replica of each model, where
        memory allows.
    """

    accelerator_tokens_per_s: float = 400.0
    high_utilisation: float = 0.7
    least_gain: float = 0.1
    loads_in_flight: int = 2
    spare_replicas: int = 2


class PlacementInput(NamedTuple):
    """All inputs of one plan."""

    models: tuple[Model, ...]
    servers: tuple[PlacementServer, ...]
    replicas: tuple[Replica, ...]
    loads: tuple[ModelLoad, ...]
    objective: Objective
    options: PlacementOptions = PlacementOptions()


class LoadStep(NamedTuple):
    """Load this version of the model, including its adapters, on the server."""

    server: str
    model: str
    version: str
    memory_mb: int


class DrainStep(NamedTuple):
    """Send no new work to this replica as long as plans contain this step."""

    server: str
    model: str
    version: str


class UnloadStep(NamedTuple):
    """Unload a drained replica; other replicas serve its model."""

    server: str
    model: str
    version: str


class PlacementPlan(NamedTuple):
    """The steps that should be in progress now; a later plan replaces all of them.

    Attributes
    ----------
    loads : tuple of LoadStep
        The most urgent first.
    drains : tuple of DrainStep
        A draining replica that is not listed here takes new work again.
    unloads : tuple of UnloadStep
        Safe in combination: after all of them, each model still has a ready
        replica that is not draining.
    unplaced : tuple of str
        Models without a replica for which no server has or can free the memory.
    """

    loads: tuple[LoadStep, ...]
    drains: tuple[DrainStep, ...]
    unloads: tuple[UnloadStep, ...]
    unplaced: tuple[str, ...]


def replica_memory_mb(model: Model) -> int:
    """Return the memory of one replica of the model with all adapters, in MB."""
    return model.memory_mb + sum(adapter.memory_mb for adapter in model.adapters)
