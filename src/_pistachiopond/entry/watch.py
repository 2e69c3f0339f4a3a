"""Follows a control daemon's view, and turns to another when it falls silent."""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeVar

import anyio
import grpc.aio
from anyio.abc import TaskStatus
from result import Result

from _pistachiopond.entry.fleet import Fleet, ViewParts
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.observe.logs import log_change, log_trouble
from _pistachiopond.schema.codec import from_json
from _pistachiopond.schema.limits import LimitsView
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.suspects import SuspectView
from _pistachiopond.transport.channels import Channels
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc

T = TypeVar("T")

# A control daemon sends a view at least once a second.
SILENCE_S: Final = 4.0
RETURN_AFTER_S: Final = 30.0
PAUSE_LOW_S: Final = 0.2
PAUSE_HIGH_S: Final = 1.0


class ViewError(ValueError):
    """A view that can't be read; the control daemon runs another version."""


class WatchParts(NamedTuple):
    """What the watch service is made of.

    Attributes
    ----------
    entry_id : str
        Unique for each start of this process.
    addresses : tuple of str
        Control daemons, the preferred one first.
    timer : Timer
        For the fleet's state.
    channels : Channels
        To the control daemons.
    count_switch : callable
        Counts each change of control daemon.
    """

    entry_id: str
    addresses: tuple[str, ...]
    timer: Timer
    channels: Channels
    count_switch: Callable[[], None]


class ControlLink(NamedTuple):
    """The service ``control``: which control daemon is followed now.

    Attributes
    ----------
    address : callable
        Its address, or None while there is none.
    channels : Channels
        To it and to others.
    """

    address: Callable[[], str | None]
    channels: Channels


def decode_view(view: pond_pb2.View) -> ViewParts:
    """Return the parts of a view.

    Raises
    ------
    ViewError
        When a part is not what this version expects.
    """
    return ViewParts(
        revision=_decode(Revision, view.revision_json),
        routing=_decode(RoutingView, view.routing_json),
        suspects=_decode(SuspectView, view.suspects_json),
        limits=_decode(LimitsView, view.limits_json),
        says_closed=view.keys_closed,
    )


def make_watch_services(parts: WatchParts) -> list[Service]:
    """Return the services ``fleet`` and ``control``."""

    async def run_fleet(kernel: Kernel, task_status: TaskStatus[Fleet]) -> None:
        task_status.started(Fleet(parts.timer))
        await kernel.stop_event("fleet").wait()

    async def run_control(kernel: Kernel, task_status: TaskStatus[ControlLink]) -> None:
        fleet = kernel.find("fleet", Fleet)
        followed: list[str | None] = [None]
        async with anyio.create_task_group() as group:
            group.start_soon(_follow, parts, fleet, followed)
            task_status.started(ControlLink(lambda: followed[0], parts.channels))
            await kernel.stop_event("control").wait()
            group.cancel_scope.cancel()
        await parts.channels.close()

    return [Service("fleet", run_fleet), Service("control", run_control)]


async def _follow(parts: WatchParts, fleet: Fleet, followed: list[str | None]) -> None:
    # Each daemon pauses for another time, so that a control daemon that comes back
    # does not meet all of them at once.
    jitter = random.Random(parts.entry_id)
    while True:
        for position, address in enumerate(parts.addresses):
            limit_s = None if position == 0 else RETURN_AFTER_S
            await _follow_one(parts, fleet, followed, address, limit_s)
        await anyio.sleep(jitter.uniform(PAUSE_LOW_S, PAUSE_HIGH_S))


async def _follow_one(
    parts: WatchParts,
    fleet: Fleet,
    followed: list[str | None],
    address: str,
    limit_s: float | None,
) -> None:
    stub = pond_pb2_grpc.ControlStub(parts.channels.get(address))
    call = stub.Watch(pond_pb2.WatchRequest(entry_id=parts.entry_id))
    reason = "ended"
    try:
        with anyio.move_on_after(limit_s):
            await _read_views(call, fleet, followed, address)
    except TimeoutError:
        reason = "silent"
        await parts.channels.replace(address)
    except grpc.aio.AioRpcError as error:
        reason = error.code().name
    except ViewError as error:
        reason = str(error)
    finally:
        call.cancel()
        if followed[0] is not None:
            followed[0] = None
            parts.count_switch()
            log_trouble("control daemon lost", address=address, reason=reason)


async def _read_views(
    call: Any, fleet: Fleet, followed: list[str | None], address: str
) -> None:
    while True:
        with anyio.fail_after(SILENCE_S):
            view = await call.read()
        if view is grpc.aio.EOF:
            return
        fleet.apply(decode_view(view))
        if followed[0] is None:
            followed[0] = address
            log_change("control daemon followed", address=address)


def _decode(kind: type[T], text: bytes) -> T | None:
    if not text:
        return None
    value: Result[T, tuple[str, ...]] = from_json(kind, text)
    if value.is_err():
        raise ViewError(f"{kind.__name__}: {value.err()[0]}")
    return value.ok()
