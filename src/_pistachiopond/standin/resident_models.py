"""The models, versions and adapters in an engine's accelerator memory."""

from collections.abc import Callable
from typing import Literal, NamedTuple, final

ResidentState = Literal["loading", "ready", "unloading"]
ModelKey = tuple[str, str]


@final
class ResidentAdapter:
    """An adapter that is loaded for one resident version of a model."""

    def __init__(self, name: str, memory_mb: int) -> None:
        self.name = name
        self.memory_mb = memory_mb
        self.state: ResidentState = "loading"


@final
class ResidentModel:
    """One resident version of a model.

    `ready_sequence` is higher the later the version became ready, and 0 before.
    """

    def __init__(
        self,
        name: str,
        version: str,
        memory_mb: int,
        fencing_number: int,
        order_number: int,
    ) -> None:
        self.name = name
        self.version = version
        self.memory_mb = memory_mb
        self.state: ResidentState = "loading"
        self.fencing_number = fencing_number
        self.order_number = order_number
        self.ready_sequence = 0
        self.adapters: dict[str, ResidentAdapter] = {}
        self.running = 0


class AdapterReport(NamedTuple):
    """An adapter as ``/state`` lists it."""

    name: str
    memory_mb: int
    state: ResidentState


class ModelReport(NamedTuple):
    """A model as ``/state`` lists it."""

    name: str
    version: str
    memory_mb: int
    state: ResidentState
    fencing_number: int
    order_number: int
    adapters: tuple[AdapterReport, ...]


class Target(NamedTuple):
    """Where a request runs: a model version and perhaps an adapter on it."""

    model: ResidentModel
    adapter: str | None


@final
class ResidentModels:
    """All models and adapters that take accelerator memory on one engine."""

    def __init__(self, on_memory_change: Callable[[int], None]) -> None:
        self._models: dict[ModelKey, ResidentModel] = {}
        self._on_memory_change = on_memory_change
        self._ready_count = 0

    def used_mb(self) -> int:
        """Return the memory in use, including what is being loaded or unloaded."""
        return sum(
            model.memory_mb
            + sum(adapter.memory_mb for adapter in model.adapters.values())
            for model in self._models.values()
        )

    def find(self, name: str, version: str) -> ResidentModel | None:
        """Return a version of a model in any state, or None if it is not resident."""
        return self._models.get((name, version))

    def versions(self, name: str) -> list[ResidentModel]:
        """Return all resident versions of a model."""
        return [model for model in self._models.values() if model.name == name]

    def add(self, model: ResidentModel) -> None:
        """Add a model that starts loading, which takes memory from now on."""
        self._models[(model.name, model.version)] = model
        self._on_memory_change(self.used_mb())

    def remove(self, model: ResidentModel) -> None:
        """Remove a model with its adapters, which frees their memory."""
        self._models.pop((model.name, model.version), None)
        self._on_memory_change(self.used_mb())

    def add_adapter(self, model: ResidentModel, adapter: ResidentAdapter) -> None:
        """Add an adapter that starts loading, which takes memory from now on."""
        model.adapters[adapter.name] = adapter
        self._on_memory_change(self.used_mb())

    def remove_adapter(self, model: ResidentModel, name: str) -> None:
        """Remove an adapter, which frees its memory."""
        model.adapters.pop(name, None)
        self._on_memory_change(self.used_mb())

    def mark_ready(self, model: ResidentModel) -> None:
        """Mark a version as ready; as the newest, it serves the model's requests."""
        self._ready_count += 1
        model.ready_sequence = self._ready_count
        model.state = "ready"

    def resolve(self, name: str) -> Target | None:
        """Return the target of a request that names a model or an adapter.

        The version that became ready last is preferred. None means that no ready
        version serves the name.
        """
        ready = [model for model in self._models.values() if model.state == "ready"]
        ready.sort(key=lambda model: model.ready_sequence, reverse=True)
        for model in ready:
            if model.name == name:
                return Target(model, None)
            adapter = model.adapters.get(name)
            if adapter is not None and adapter.state == "ready":
                return Target(model, name)
        return None

    def served_names(self) -> list[str]:
        """Return the names of the models and adapters that are ready, sorted."""
        served = set()
        for model in self._models.values():
            if model.state == "ready":
                served.add(model.name)
                served.update(
                    adapter.name
                    for adapter in model.adapters.values()
                    if adapter.state == "ready"
                )
        return sorted(served)

    def report(self) -> tuple[ModelReport, ...]:
        """Return all resident models, for ``/state``."""
        return tuple(_report_model(model) for model in self._models.values())


def _report_model(model: ResidentModel) -> ModelReport:
    adapters = tuple(
        AdapterReport(adapter.name, adapter.memory_mb, adapter.state)
        for adapter in model.adapters.values()
    )
    return ModelReport(
        model.name,
        model.version,
        model.memory_mb,
        model.state,
        model.fencing_number,
        model.order_number,
        adapters,
    )
