"""Counts the requests of this VM by model: in progress, and waiting for one."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar, final

from _pistachiopond.vm.fleet import WantedModel

K = TypeVar("K")


@final
class Wants:
    """What requests of this VM use and lack."""

    def __init__(self, on_lack: Callable[[], None]) -> None:
        """Start empty; `on_lack` is called when a request begins to wait."""
        self._on_lack = on_lack
        self.running: dict[WantedModel, int] = {}
        self.lacking: dict[WantedModel, int] = {}
        self.at_servers: dict[tuple[str, str], int] = {}
        self.used: set[WantedModel] = set()

    def began(self, wanted: WantedModel, server_id: str) -> None:
        """Note that a request goes to a server."""
        if wanted.model:
            place = (server_id, wanted.model)
            self.running[wanted] = self.running.get(wanted, 0) + 1
            self.at_servers[place] = self.at_servers.get(place, 0) + 1
            self.used.add(wanted)

    def ended(self, wanted: WantedModel, server_id: str) -> None:
        """Note that a request at a server has ended."""
        if wanted.model:
            _decrease(self.running, wanted)
            _decrease(self.at_servers, (server_id, wanted.model))

    @contextmanager
    def waiting(self, wanted: WantedModel) -> Iterator[None]:
        """Count a request that waits for a server that holds the model."""
        self.lacking[wanted] = self.lacking.get(wanted, 0) + 1
        self._on_lack()
        try:
            yield
        finally:
            _decrease(self.lacking, wanted)

    def take_used(self) -> set[WantedModel]:
        """Return what was used since the last call."""
        used, self.used = self.used, set()
        return used | set(self.running)


def _decrease(counts: dict[K, int], key: K) -> None:
    left = counts[key] - 1
    if left > 0:
        counts[key] = left
    else:
        del counts[key]
