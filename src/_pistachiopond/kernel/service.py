"""The micro-kernel: services that find each other by name.

A process is a list of services. The kernel starts each in its own task, tells
all of them to stop in the reverse order, and fails the process when one fails.
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar, final

import anyio
from anyio.abc import TaskStatus

T = TypeVar("T")


class Service(NamedTuple):
    """One named part of a process.

    Attributes
    ----------
    name : str
        The name under which others find it.
    run : callable
        The body; receives the kernel and a task status, which it must tell
        ``started(api)`` once others may use ``api``. It returns when it has
        stopped cleanly.
    """

    name: str
    run: Callable[["Kernel", TaskStatus[Any]], Awaitable[None]]


class UnknownServiceError(LookupError):
    """No service of that name has been started; check the process's service list."""


@final
class Kernel:
    """The running services of one process, by name."""

    def __init__(self) -> None:
        self._apis: dict[str, Any] = {}
        self._stops: dict[str, anyio.Event] = {}
        self.stopping = anyio.Event()

    def find(self, name: str, kind: type[T]) -> T:
        """Return what the service of that name offers.

        Parameters
        ----------
        name : str
            The service's name.
        kind : type
            The type that the caller expects.

        Raises
        ------
        UnknownServiceError
            When no such service runs.
        TypeError
            When the service offers something else.
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
        """Return the event that tells the service of that name to stop."""
        return self._stops.setdefault(name, anyio.Event())

    def request_stop(self) -> None:
        """Ask the process to stop gracefully."""
        self.stopping.set()


async def run_services(kernel: Kernel, services: list[Service]) -> None:
    """Start the services in order, and stop them in reverse when asked to.

    Parameters
    ----------
    kernel : Kernel
        The registry that the services share.
    services : list of Service
        In the order of their start: each may use those before it.
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
