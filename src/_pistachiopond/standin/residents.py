"""Which models, versions and adapters an engine holds, and the memory they take."""

from collections.abc import Callable
from typing import Literal, NamedTuple, final

ResidentState = Literal["loading", "ready", "unloading"]
ModelKey = tuple[str, str]


@final
class HeldAdapter:
    """An adapter on one resident version of a model."""

    def __init__(self, name: str, memory_mb: int) -> None:
        self.name = name
        self.memory_mb = memory_mb
        self.state: ResidentState = "loading"


@final
class HeldModel:
    """One resident version of a model."""

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
        self.ready_rank = 0
        self.adapters: dict[str, HeldAdapter] = {}
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

    model: HeldModel
    adapter: str | None


@final
class Residents:
    """Everything that takes accelerator memory on one engine."""

    def __init__(self, on_memory: Callable[[int], None]) -> None:
        self._models: dict[ModelKey, HeldModel] = {}
        self._on_memory = on_memory
        self._ranks = 0

    def used_mb(self) -> int:
        """Return the memory in use, with what is loading or unloading."""
        return sum(
            model.memory_mb + sum(item.memory_mb for item in model.adapters.values())
            for model in self._models.values()
        )

    def find(self, name: str, version: str) -> HeldModel | None:
        """Return that version of the model in whatever state."""
        return self._models.get((name, version))

    def versions(self, name: str) -> list[HeldModel]:
        """Return every resident version of a model."""
        return [model for model in self._models.values() if model.name == name]

    def add(self, model: HeldModel) -> None:
        """Take the memory of a model that begins to load."""
        self._models[(model.name, model.version)] = model
        self._on_memory(self.used_mb())

    def remove(self, model: HeldModel) -> None:
        """Free the memory of a model and of its adapters."""
        self._models.pop((model.name, model.version), None)
        self._on_memory(self.used_mb())

    def add_adapter(self, model: HeldModel, adapter: HeldAdapter) -> None:
        """Take the memory of an adapter that begins to load."""
        model.adapters[adapter.name] = adapter
        self._on_memory(self.used_mb())

    def remove_adapter(self, model: HeldModel, name: str) -> None:
        """Free the memory of an adapter."""
        model.adapters.pop(name, None)
        self._on_memory(self.used_mb())

    def mark_ready(self, model: HeldModel) -> None:
        """Send requests to this version from now on."""
        self._ranks += 1
        model.ready_rank = self._ranks
        model.state = "ready"

    def resolve(self, name: str) -> Target | None:
        """Return where a request for a model or an adapter runs, if anywhere."""
        ready = [model for model in self._models.values() if model.state == "ready"]
        ready.sort(key=lambda model: model.ready_rank, reverse=True)
        for model in ready:
            if model.name == name:
                return Target(model, None)
            adapter = model.adapters.get(name)
            if adapter is not None and adapter.state == "ready":
                return Target(model, name)
        return None

    def served_names(self) -> list[str]:
        """Return the names that requests may give now."""
        names = set()
        for model in self._models.values():
            if model.state == "ready":
                names.add(model.name)
                names.update(
                    item.name
                    for item in model.adapters.values()
                    if item.state == "ready"
                )
        return sorted(names)

    def report(self) -> tuple[ModelReport, ...]:
        """Return every resident model for ``/state``."""
        return tuple(_report(model) for model in self._models.values())


def _report(model: HeldModel) -> ModelReport:
    adapters = tuple(
        AdapterReport(item.name, item.memory_mb, item.state)
        for item in model.adapters.values()
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
