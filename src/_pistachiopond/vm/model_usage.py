"""Counts this VM's requests by model, in progress and waiting for it to be loaded."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import final

from _pistachiopond.schema.peer_messages import ModelUse
from _pistachiopond.vm.counts import decrease, increase
from _pistachiopond.vm.fleet import ModelRef


@final
class ModelUsage:
    """Counts requests in progress and requests that wait for a model or adapter."""

    def __init__(self, on_wait: Callable[[ModelRef, str | None], None]) -> None:
        """Start empty.

        Parameters
        ----------
        on_wait : callable
            Called with the model and the required software version, if any, when a
            request begins to wait.
        """
        self._on_wait = on_wait
        self.running: dict[ModelRef, int] = {}
        self.waiting: dict[ModelRef, int] = {}
        self._waiting_at: dict[tuple[ModelRef, str], int] = {}
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
    def count_waiting(
        self, model_ref: ModelRef, software_version: str | None = None
    ) -> Iterator[None]:
        """Count a request as waiting for a server with the model loaded.

        Parameters
        ----------
        model_ref : ModelRef
            The model and adapter that the request needs.
        software_version : str or None
            The only version at which it may run; None for any.
        """
        increase(self.waiting, model_ref)
        if software_version is not None:
            increase(self._waiting_at, (model_ref, software_version))
        self._on_wait(model_ref, software_version)
        try:
            yield
        finally:
            decrease(self.waiting, model_ref)
            if software_version is not None:
                decrease(self._waiting_at, (model_ref, software_version))

    def has_waiting(self, service: str) -> bool:
        """Return whether requests wait for a server of the service."""
        return any(
            count > 0 and model_ref.service == service
            for model_ref, count in self.waiting.items()
        )

    def uses(self) -> list[ModelUse]:
        """Return the requests of each model and adapter used since the last call."""
        waiting_at: dict[ModelRef, dict[str, int]] = {}
        for (model_ref, version), count in self._waiting_at.items():
            waiting_at.setdefault(model_ref, {})[version] = count
        uses: list[ModelUse] = []
        for model_ref in self.take_used() | set(self.waiting):
            use: ModelUse = {
                "service": model_ref.service,
                "model": model_ref.model,
                "adapter": model_ref.adapter,
                "running": self.running.get(model_ref, 0),
                "waiting": self.waiting.get(model_ref, 0),
            }
            if model_ref in waiting_at:
                use["waiting_at"] = waiting_at[model_ref]
            uses.append(use)
        return uses

    def take_used(self) -> set[ModelRef]:
        """Return the models and adapters used since the last call."""
        used, self.used = self.used, set()
        return used | set(self.running)
