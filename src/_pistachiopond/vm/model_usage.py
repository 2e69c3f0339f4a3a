"""Counts this VM's requests by model, in progress and waiting for it to be loaded."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import final

from _pistachiopond.vm.counts import decrease, increase
from _pistachiopond.vm.fleet import ModelRef


@final
class ModelUsage:
    """Counts requests in progress and requests that wait for a model or adapter."""

    def __init__(self, on_wait: Callable[[ModelRef], None]) -> None:
        """Start empty; `on_wait` is called when a request begins to wait."""
        self._on_wait = on_wait
        self.running: dict[ModelRef, int] = {}
        self.waiting: dict[ModelRef, int] = {}
        self.running_at_servers: dict[tuple[str, str], int] = {}
        self.used: set[ModelRef] = set()

    def request_started(self, model_ref: ModelRef, server_id: str) -> None:
        """Count a request that is sent to a server."""
        if model_ref.model:
            server_and_model = (server_id, model_ref.model)
            increase(self.running, model_ref)
            increase(self.running_at_servers, server_and_model)
            self.used.add(model_ref)

    def request_ended(self, model_ref: ModelRef, server_id: str) -> None:
        """Stop counting a request at a server."""
        if model_ref.model:
            decrease(self.running, model_ref)
            decrease(self.running_at_servers, (server_id, model_ref.model))

    @contextmanager
    def count_waiting(self, model_ref: ModelRef) -> Iterator[None]:
        """Count a request as waiting for a server with the model loaded."""
        increase(self.waiting, model_ref)
        self._on_wait(model_ref)
        try:
            yield
        finally:
            decrease(self.waiting, model_ref)

    def take_used(self) -> set[ModelRef]:
        """Return the models and adapters used since the last call."""
        used, self.used = self.used, set()
        return used | set(self.running)
