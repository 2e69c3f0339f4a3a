"""Keeps an unexpected exception from ending the process.

Bytes from outside can reach a fault in any code that uses them. The exception then ends
the record, message, request or task that it was raised for, and nothing else: all VMs
read the same store, so an exception that ended one process would end all of them, and
again after each start.
"""

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, Final, Literal

import anyio
from prometheus_client import Counter

from _pistachiopond.observe.logs import log_error

# What the exception has ended; a label of a metric.
ContainedKind = Literal[
    "callback", "maintenance", "peer_message", "record", "request", "task"
]

# The pause before a task is run again. A fault that recurs at once must not take the
# processor from requests.
RESTART_PAUSE_S: Final = 0.5
# Causes whose traceback has been logged are remembered, up to this many.
MAX_KNOWN_CAUSES: Final = 256
MAX_REASON_CHARACTERS: Final = 300

UNEXPECTED_ERRORS: Final = Counter(
    "pond_unexpected_errors",
    "Unexpected exceptions, by what they ended.",
    ("kind",),
    registry=None,
)

_known_causes: set[tuple[str, str]] = set()
# Called with each unexpected exception, for tests that must not miss one.
observers: Final[list[Callable[[ContainedKind, BaseException], None]]] = []


def record_unexpected(
    kind: ContainedKind, error: BaseException, **fields: object
) -> None:
    """Count and log an exception; the traceback is logged once for each cause.

    Parameters
    ----------
    kind : str
        What the exception has ended.
    error : BaseException
        The exception.
    **fields
        What it was raised for, as in `log_change`.
    """
    UNEXPECTED_ERRORS.labels(kind).inc()
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    cause = (type(error).__name__, place)
    is_new = cause not in _known_causes and len(_known_causes) < MAX_KNOWN_CAUSES
    if is_new:
        _known_causes.add(cause)
    log_error(
        "unexpected exception",
        error if is_new else None,
        kind=kind,
        reason=f"{cause[0]}: {error}"[:MAX_REASON_CHARACTERS],
        place=place,
        **fields,
    )
    for observe in observers:
        observe(kind, error)


@contextmanager
def contained(kind: ContainedKind, **fields: object) -> Iterator[None]:
    """Record an exception of the block and go on behind it.

    Parameters
    ----------
    kind : str
        What an exception ends.
    **fields
        What it was raised for, as in `log_change`.
    """
    try:
        yield
    except Exception as error:
        record_unexpected(kind, error, **fields)


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns, and again after each unexpected exception.

    Parameters
    ----------
    name : str
        The task, for the log.
    work : callable
        Runs the task; keeps its state outside the call.
    """
    while True:
        with contained("task", task=name):
            await work()
            return
        await anyio.sleep(RESTART_PAUSE_S)


def start_contained(
    name: str,
    work: Coroutine[Any, Any, object],
    tasks: "set[asyncio.Task[None]]",
) -> None:
    """Start a task that nobody waits for.

    Parameters
    ----------
    name : str
        The task, for the log.
    work : coroutine
        The task.
    tasks : set of Task
        Holds the task while it runs.
    """

    async def run() -> None:
        with contained("task", task=name):
            await work

    task = asyncio.get_running_loop().create_task(run())
    tasks.add(task)
    task.add_done_callback(tasks.discard)


def contain_callbacks() -> None:
    """Record the exceptions that the running event loop reports."""

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception") or RuntimeError(context["message"])
        record_unexpected("callback", error, source=context["message"])

    asyncio.get_running_loop().set_exception_handler(handle)
