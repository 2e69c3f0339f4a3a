"""Subscribes to a control daemon's view, and fails over to another control daemon.

The daemon fails over when the stream of views ends, fails or is silent for
`VIEW_TIMEOUT_S`. It tries the addresses in order and then starts again with the first,
the preferred one. With any other it stays for at most `PREFERRED_RETRY_S`.
"""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeVar

import anyio
import grpc.aio
from anyio.abc import TaskStatus
from result import Result

from _pistachiopond.entry.fleet import Fleet, ViewUpdate
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.schema.codec import from_json
from _pistachiopond.schema.limits import LimitsView
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.suspects import SuspectView
from _pistachiopond.transport.channels import Channels
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc

T = TypeVar("T")

# Control daemons send a view at least once a second.
VIEW_TIMEOUT_S: Final = 4.0
PREFERRED_RETRY_S: Final = 30.0
RECONNECT_PAUSE_MIN_S: Final = 0.2
RECONNECT_PAUSE_MAX_S: Final = 1.0


class InvalidViewError(ValueError):
    """The view is invalid; the control daemon may run another version."""


class WatchDependencies(NamedTuple):
    """The dependencies of the services ``fleet`` and ``control``.

    Attributes
    ----------
    entry_id : str
        Unique for each start of this process.
    addresses : tuple of str
        The addresses of control daemons, the preferred one first.
    timer : Timer
        The clock for the age of the fleet's state.
    channels : Channels
        gRPC channels to the control daemons.
    count_switch : callable
        Called each time a control daemon that was followed is lost or left.
    """

    entry_id: str
    addresses: tuple[str, ...]
    timer: Timer
    channels: Channels
    count_switch: Callable[[], None]


class ControlConnection(NamedTuple):
    """The service ``control``: the control daemon whose view is followed now.

    Attributes
    ----------
    address : callable
        Returns its address, or None while none is followed.
    channels : Channels
        gRPC channels to all control daemons.
    """

    address: Callable[[], str | None]
    channels: Channels


def decode_view(view: pond_pb2.View) -> ViewUpdate:
    """Decode a view message.

    Raises
    ------
    InvalidViewError
        When a part of the view is not valid for this version.
    """
    return ViewUpdate(
        revision=_decode(Revision, view.revision_json),
        routing=_decode(RoutingView, view.routing_json),
        suspects=_decode(SuspectView, view.suspects_json),
        limits=_decode(LimitsView, view.limits_json),
        says_closed=view.keys_closed,
    )


def make_watch_services(deps: WatchDependencies) -> list[Service]:
    """Return the services ``fleet`` and ``control``."""

    async def run_fleet(kernel: Kernel, task_status: TaskStatus[Fleet]) -> None:
        task_status.started(Fleet(deps.timer))
        await kernel.stop_event("fleet").wait()

    async def run_control(
        kernel: Kernel, task_status: TaskStatus[ControlConnection]
    ) -> None:
        fleet = kernel.find("fleet", Fleet)
        current_address: list[str | None] = [None]
        async with anyio.create_task_group() as group:
            group.start_soon(_follow_control_daemons, deps, fleet, current_address)
            task_status.started(
                ControlConnection(lambda: current_address[0], deps.channels)
            )
            await kernel.stop_event("control").wait()
            group.cancel_scope.cancel()
        await deps.channels.close()

    return [Service("fleet", run_fleet), Service("control", run_control)]


async def _follow_control_daemons(
    deps: WatchDependencies, fleet: Fleet, current_address: list[str | None]
) -> None:
    # The pause is random and differs by daemon, so that a control daemon that
    # restarts is not reconnected to by all entry daemons at once.
    jitter = random.Random(deps.entry_id)
    while True:
        for position, address in enumerate(deps.addresses):
            limit_s = None if position == 0 else PREFERRED_RETRY_S
            await _follow_one_daemon(deps, fleet, current_address, address, limit_s)
        await anyio.sleep(jitter.uniform(RECONNECT_PAUSE_MIN_S, RECONNECT_PAUSE_MAX_S))


async def _follow_one_daemon(
    deps: WatchDependencies,
    fleet: Fleet,
    current_address: list[str | None],
    address: str,
    limit_s: float | None,
) -> None:
    stub = pond_pb2_grpc.ControlStub(deps.channels.get(address))
    call = stub.Watch(pond_pb2.WatchRequest(entry_id=deps.entry_id))
    reason = "ended"
    try:
        with anyio.move_on_after(limit_s):
            await _read_views(call, fleet, current_address, address)
    except TimeoutError:
        reason = "silent"
        await deps.channels.replace(address)
    except grpc.aio.AioRpcError as error:
        reason = error.code().name
    except InvalidViewError as error:
        reason = str(error)
    finally:
        call.cancel()
        if current_address[0] is not None:
            current_address[0] = None
            deps.count_switch()
            log_warning("control daemon lost", address=address, reason=reason)


async def _read_views(
    call: Any, fleet: Fleet, current_address: list[str | None], address: str
) -> None:
    while True:
        with anyio.fail_after(VIEW_TIMEOUT_S):
            view = await call.read()
        if view is grpc.aio.EOF:
            return
        fleet.apply(decode_view(view))
        if current_address[0] is None:
            current_address[0] = address
            log_change("control daemon followed", address=address)


def _decode(kind: type[T], text: bytes) -> T | None:
    if not text:
        return None
    value: Result[T, tuple[str, ...]] = from_json(kind, text)
    if value.is_err():
        raise InvalidViewError(f"{kind.__name__}: {value.err()[0]}")
    return value.ok()
