"""The micro-kernel: starts and stops a process's services and finds them by name.

A process is a list of services. The kernel starts each in its own task, stops them in
reverse order, and ends the process with an error when one fails.
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar, final

import anyio
from anyio.abc import TaskStatus

T = TypeVar("T")


class Service(NamedTuple):
    """A named component of a process.

    Attributes
    ----------
    name : str
        The name by which other services find it.
    run : callable
        The service's task. It gets the kernel and a task status, and must call
        ``started(api)`` on the status once other services may use ``api``. It returns
        when it has stopped cleanly.
    """

    name: str
    run: Callable[["Kernel", TaskStatus[Any]], Awaitable[None]]


class UnknownServiceError(LookupError):
    """No service of that name has been started; check the process's service list."""


@final
class Kernel:
    """The registry of the services running in one process."""

    def __init__(self) -> None:
        self._apis: dict[str, Any] = {}
        self._stops: dict[str, anyio.Event] = {}
        self.stopping = anyio.Event()

    def find(self, name: str, kind: type[T]) -> T:
        """Return the API object of a service.

        Parameters
        ----------
        name : str
            The service's name.
        kind : type
            The expected type of the API object.

        Raises
        ------
        UnknownServiceError
            If no service with this name has started.
        TypeError
            If the API object has another type.
        """
        if name not in self._apis:
            raise UnknownServiceError(
                f"service {name!r} has not been started; start it before its users"
            )
        api = self._apis[name]
        if not isinstance(api, kind):
            raise TypeError(f"service {name!r} is a {type(api)}, not a {kind}")
        return api

    def stop_event(self, name: str) -> anyio.Event:
        """Return the event that is set when the service must stop."""
        return self._stops.setdefault(name, anyio.Event())

    def request_stop(self) -> None:
        """Request a graceful stop of the process."""
        self.stopping.set()


async def run_services(kernel: Kernel, services: list[Service]) -> None:
    """Start the services in order; stop them in reverse order on request.

    Parameters
    ----------
    kernel : Kernel
        The registry shared by the services.
    services : list of Service
        The services in start order; each may use those before it.
    """
    async with anyio.create_task_group() as group:
        done: dict[str, anyio.Event] = {}
        for service in services:
            done[service.name] = anyio.Event()
            kernel.stop_event(service.name)
            api = await group.start(_run_one, kernel, service, done[service.name])
            kernel._apis[service.name] = api
        await kernel.stopping.wait()
        for service in reversed(services):
            kernel.stop_event(service.name).set()
            await done[service.name].wait()


async def _run_one(
    kernel: Kernel,
    service: Service,
    done: anyio.Event,
    *,
    task_status: TaskStatus[Any],
) -> None:
    await service.run(kernel, task_status)
    done.set()
