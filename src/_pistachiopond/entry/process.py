"""Puts the services of ``pond-entry`` together and runs them until it is stopped."""

import itertools
import json
import secrets
import signal
import sys
import zlib
from collections.abc import Callable
from typing import Final, NamedTuple

import anyio
import anyio.to_thread
from anyio.abc import TaskStatus
from opentelemetry.sdk.trace import TracerProvider
from prometheus_client import REGISTRY

from _pistachiopond.decisions.dispatch import Dispatcher, make_dispatcher
from _pistachiopond.decisions.dispatch_options import DispatchOptions
from _pistachiopond.decisions.routing import Place
from _pistachiopond.entry.active import ActiveRequests
from _pistachiopond.entry.arrivals import make_recorder
from _pistachiopond.entry.dispatch import DispatchParts, make_dispatch_service
from _pistachiopond.entry.exchange import DispatchPort
from _pistachiopond.entry.fleet import Fleet, FleetState
from _pistachiopond.entry.handler import HandlerParts, is_in_force
from _pistachiopond.entry.observations import Observations
from _pistachiopond.entry.ports import Calls, Crashes, Limits
from _pistachiopond.entry.report import ReportParts, make_report_service
from _pistachiopond.entry.watch import WatchParts, make_watch_services
from _pistachiopond.entry.web import WebParts, make_web_service
from _pistachiopond.kernel.service import Kernel, Service, run_services
from _pistachiopond.kernel.timer import RealTimer, Timer, every
from _pistachiopond.observe.logs import log_change, log_trouble
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.observe.tracing import make_provider
from _pistachiopond.schema.settings import EntrySettings
from _pistachiopond.transport.channels import Channels

GUARD_PERIOD_S: Final = 0.5
FLUSH_LIMIT_S: Final = 2.0

TellAddress = Callable[[str], None]


class EntryProcess(NamedTuple):
    """What all services of the process share.

    Attributes
    ----------
    settings : EntrySettings
        Of the process.
    entry_id : str
        Unique for each start of the process.
    timer : Timer
        The monotonic clock.
    channels : Channels
        To control daemons.
    metrics : Metrics
        Of the process.
    provider : TracerProvider
        Of the process's spans.
    """

    settings: EntrySettings
    entry_id: str
    timer: Timer
    channels: Channels
    metrics: Metrics
    provider: TracerProvider


MakeGuards = Callable[[EntryProcess], list[Service]]


def make_process(settings: EntrySettings, metrics: Metrics) -> EntryProcess:
    """Return what the services share, for a new start of the process."""
    return EntryProcess(
        settings=settings,
        entry_id=secrets.token_hex(8),
        timer=RealTimer(),
        channels=Channels(settings.peer_tls),
        metrics=metrics,
        provider=make_provider("pond-entry", settings.observability),
    )


def make_services(
    process: EntryProcess, make_guards: MakeGuards, tell_address: TellAddress
) -> list[Service]:
    """Return the services in the order of their start.

    Parameters
    ----------
    process : EntryProcess
        What they share.
    make_guards : callable
        Returns the services ``limits``, ``calls`` and ``crashes``; they may use
        ``fleet`` and ``control``.
    tell_address : callable
        Called with ``IP:port`` once callers may connect.
    """
    settings = process.settings
    observations = Observations(process.metrics)
    active = ActiveRequests()
    dispatcher = _make_dispatcher(process)
    provider = process.provider
    tracer = provider.get_tracer("pistachiopond.entry")
    recorder = make_recorder(settings.record_trace_path, process.timer)
    ids = itertools.count(1)

    def make_handler(kernel: Kernel, is_closing: Callable[[], bool]) -> HandlerParts:
        fleet = kernel.find("fleet", Fleet)
        fleet.subscribe(recorder.watch_fleet)
        return HandlerParts(
            fleet=fleet,
            dispatch=kernel.find("dispatch", DispatchPort),
            limits=kernel.find("limits", Limits),
            calls=kernel.find("calls", Calls),
            crashes=kernel.find("crashes", Crashes),
            active=active,
            observations=observations,
            timer=process.timer,
            tracer=tracer,
            next_id=lambda: f"{process.entry_id}-{next(ids)}",
            is_closing=is_closing,
            record_arrival=recorder.record,
            max_body_bytes=settings.max_body_bytes,
        )

    return [
        _make_metrics_service(process),
        *make_watch_services(
            WatchParts(
                entry_id=process.entry_id,
                addresses=settings.control_addresses,
                timer=process.timer,
                channels=process.channels,
                count_switch=observations.control_switched,
            )
        ),
        *make_guards(process),
        make_dispatch_service(
            DispatchParts(dispatcher, process.timer, tracer, observations)
        ),
        make_report_service(
            ReportParts(
                process.entry_id,
                process.timer,
                observations,
                lambda server: dispatcher.servers.ejector.is_ejected(
                    server, process.timer.now_s()
                ),
            )
        ),
        _make_key_guard(process, active),
        make_web_service(WebParts(settings, process.timer, make_handler, tell_address)),
    ]


async def run_entry(
    settings: EntrySettings, make_guards: MakeGuards, tell_address: TellAddress
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then stop gracefully."""
    process = make_process(settings, Metrics(REGISTRY))
    kernel = Kernel()
    services = make_services(process, make_guards, tell_address)
    log_change("starting", entry_id=process.entry_id)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, kernel)
        await run_services(kernel, services)
        group.cancel_scope.cancel()
    with anyio.move_on_after(FLUSH_LIMIT_S):
        await anyio.to_thread.run_sync(
            process.provider.shutdown, abandon_on_cancel=True
        )
    log_change("stopped", entry_id=process.entry_id)


def print_address(address: str) -> None:
    """Print one JSON line that says where callers may connect."""
    sys.stdout.write(json.dumps({"ready": "entry", "address": address}) + "\n")
    sys.stdout.flush()


async def _stop_on_signal(kernel: Kernel) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            kernel.request_stop()


def _make_dispatcher(process: EntryProcess) -> Dispatcher:
    settings = process.settings
    options = DispatchOptions(
        daemon=process.entry_id, place=Place(settings.data_centre, settings.region)
    )
    return make_dispatcher(options, seed=zlib.crc32(process.entry_id.encode()))


def _make_metrics_service(process: EntryProcess) -> Service:
    async def run(kernel: Kernel, task_status: TaskStatus[Metrics]) -> None:
        address = process.settings.observability.metrics_address
        server = None
        if address is not None:
            server, _ = process.metrics.serve(address)
        task_status.started(process.metrics)
        await kernel.stop_event("metrics").wait()
        if server is not None:
            server.shutdown()
            server.server_close()

    return Service("metrics", run)


def _make_key_guard(process: EntryProcess, active: ActiveRequests) -> Service:
    """Return the service ``keys``, which stops what may not go on.

    A change of the revision is acted on at once, the lapse of its freshness and
    callers that don't read within `GUARD_PERIOD_S`.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[None]) -> None:
        fleet = kernel.find("fleet", Fleet)
        was_closed = [True]

        def stop_withdrawn() -> None:
            is_closed = fleet.keys_closed()
            if is_closed != was_closed[0]:
                was_closed[0] = is_closed
                tell = log_trouble if is_closed else log_change
                tell("keyed routes closed" if is_closed else "keyed routes open")
            active.stop_withdrawn(
                lambda digest: is_in_force(fleet.state.index, digest), is_closed
            )

        def on_change(state: FleetState, changed: frozenset[str]) -> None:
            if changed & {"index", "says_closed"}:
                stop_withdrawn()

        async def on_tick(now_s: float) -> None:
            stop_withdrawn()
            active.stop_stalled(now_s)

        process.metrics.gauge(
            "pond_entry_keys_closed",
            "1 while keyed routes refuse.",
            lambda: float(fleet.keys_closed()),
        )
        fleet.subscribe(on_change)
        async with anyio.create_task_group() as group:
            group.start_soon(every, process.timer, GUARD_PERIOD_S, on_tick)
            task_status.started(None)
            await kernel.stop_event("keys").wait()
            group.cancel_scope.cancel()

    return Service("keys", run)
