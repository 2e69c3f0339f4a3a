"""Counts the requests of this VM by model: in progress, and waiting for one."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import final

from _pistachiopond.vm.counts import decrease, increase
from _pistachiopond.vm.fleet import WantedModel


@final
class Wants:
    """What requests of this VM use and lack."""

    def __init__(self, on_lack: Callable[[WantedModel], None]) -> None:
        """Start empty; `on_lack` receives what a request begins to wait for."""
        self._on_lack = on_lack
        self.running: dict[WantedModel, int] = {}
        self.lacking: dict[WantedModel, int] = {}
        self.at_servers: dict[tuple[str, str], int] = {}
        self.used: set[WantedModel] = set()

    def began(self, wanted: WantedModel, server_id: str) -> None:
        """Note that a request goes to a server."""
        if wanted.model:
            place = (server_id, wanted.model)
            increase(self.running, wanted)
            increase(self.at_servers, place)
            self.used.add(wanted)

    def ended(self, wanted: WantedModel, server_id: str) -> None:
        """Note that a request at a server has ended."""
        if wanted.model:
            decrease(self.running, wanted)
            decrease(self.at_servers, (server_id, wanted.model))

    @contextmanager
    def waiting(self, wanted: WantedModel) -> Iterator[None]:
        """Count a request that waits for a server that holds the model."""
        increase(self.lacking, wanted)
        self._on_lack(wanted)
        try:
            yield
        finally:
            decrease(self.lacking, wanted)

    def take_used(self) -> set[WantedModel]:
        """Return what was used since the last call."""
        used, self.used = self.used, set()
        return used | set(self.running)
