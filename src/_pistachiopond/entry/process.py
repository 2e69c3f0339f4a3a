"""Assembles the services of ``pond-entry`` and runs them until the process stops."""

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
from _pistachiopond.entry.arrivals import make_recorder
from _pistachiopond.entry.dispatch import DispatchDependencies, make_dispatch_service
from _pistachiopond.entry.exchange import DispatchApi
from _pistachiopond.entry.fleet import Fleet, FleetState
from _pistachiopond.entry.handler import HandlerDependencies, is_key_active
from _pistachiopond.entry.observations import Observations
from _pistachiopond.entry.open_requests import ActiveRequests
from _pistachiopond.entry.report import ReportDependencies, make_report_service
from _pistachiopond.entry.service_interfaces import CallsApi, CrashesApi, LimitsApi
from _pistachiopond.entry.view_subscription import (
    WatchDependencies,
    make_watch_services,
)
from _pistachiopond.entry.web import WebDependencies, make_web_service
from _pistachiopond.kernel.service import Kernel, Service, run_services
from _pistachiopond.kernel.timer import RealTimer, Timer, every
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.observe.tracing import make_provider
from _pistachiopond.schema.settings import EntrySettings
from _pistachiopond.transport.channels import Channels
from _pistachiopond.transport.excess_records import make_excess_recorder

KEY_CHECK_PERIOD_S: Final = 0.5
TRACE_FLUSH_TIMEOUT_S: Final = 2.0

OnListening = Callable[[str], None]


class EntryProcess(NamedTuple):
    """Objects shared by all services of the process.

    Attributes
    ----------
    settings : EntrySettings
        The settings of the process.
    entry_id : str
        Unique for each start of the process.
    timer : Timer
        The monotonic clock.
    channels : Channels
        gRPC channels to control daemons.
    metrics : Metrics
        The metrics of the process.
    provider : TracerProvider
        Creates the process's trace spans.
    """

    settings: EntrySettings
    entry_id: str
    timer: Timer
    channels: Channels
    metrics: Metrics
    provider: TracerProvider


MakeAdmissionServices = Callable[[EntryProcess], list[Service]]


def make_process(settings: EntrySettings, metrics: Metrics) -> EntryProcess:
    """Return the shared objects for a new start of the process."""
    return EntryProcess(
        settings=settings,
        entry_id=secrets.token_hex(8),
        timer=RealTimer(),
        channels=Channels(settings.peer_tls),
        metrics=metrics,
        provider=make_provider("pond-entry", settings.observability),
    )


def make_services(
    process: EntryProcess,
    make_admission_services: MakeAdmissionServices,
    on_listening: OnListening,
) -> list[Service]:
    """Return the services in their starting order.

    Parameters
    ----------
    process : EntryProcess
        The objects that the services share.
    make_admission_services : callable
        Returns the services ``limits``, ``calls`` and ``crashes``; they may use
        ``fleet`` and ``control``.
    on_listening : callable
        Called with ``IP:port`` once callers can connect.
    """
    settings = process.settings
    observations = Observations(process.metrics)
    active = ActiveRequests()
    dispatcher = _make_dispatcher(process)
    provider = process.provider
    tracer = provider.get_tracer("pistachiopond.entry")
    recorder = make_recorder(settings.record_trace_path, process.timer)
    ids = itertools.count(1)

    def make_handler(
        kernel: Kernel, is_closing: Callable[[], bool]
    ) -> HandlerDependencies:
        fleet = kernel.find("fleet", Fleet)
        fleet.subscribe(recorder.on_fleet_change)
        return HandlerDependencies(
            fleet=fleet,
            dispatch=kernel.find("dispatch", DispatchApi),
            limits=kernel.find("limits", LimitsApi),
            calls=kernel.find("calls", CallsApi),
            crashes=kernel.find("crashes", CrashesApi),
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
            WatchDependencies(
                entry_id=process.entry_id,
                addresses=settings.control_addresses,
                timer=process.timer,
                channels=process.channels,
                count_switch=observations.count_control_switch,
            )
        ),
        *make_admission_services(process),
        make_dispatch_service(
            DispatchDependencies(
                dispatcher,
                process.timer,
                tracer,
                observations,
                make_excess_recorder(
                    observations.excessive_responses, process.timer.now_s
                ),
            )
        ),
        make_report_service(
            ReportDependencies(
                process.entry_id,
                process.timer,
                observations,
                lambda server: dispatcher.servers.ejector.is_ejected(
                    server, process.timer.now_s()
                ),
            )
        ),
        _make_key_enforcer(process, active),
        make_web_service(
            WebDependencies(settings, process.timer, make_handler, on_listening)
        ),
    ]


async def run_entry(
    settings: EntrySettings,
    make_admission_services: MakeAdmissionServices,
    on_listening: OnListening,
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then stop gracefully."""
    process = make_process(settings, Metrics(REGISTRY))
    kernel = Kernel()
    services = make_services(process, make_admission_services, on_listening)
    log_change("starting", entry_id=process.entry_id)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, kernel)
        await run_services(kernel, services)
        group.cancel_scope.cancel()
    with anyio.move_on_after(TRACE_FLUSH_TIMEOUT_S):
        await anyio.to_thread.run_sync(
            process.provider.shutdown, abandon_on_cancel=True
        )
    log_change("stopped", entry_id=process.entry_id)


def print_address(address: str) -> None:
    """Print one JSON line with the address to which callers can connect."""
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


def _make_key_enforcer(process: EntryProcess, active: ActiveRequests) -> Service:
    """Return the service ``keys``, which stops requests that may no longer run.

    Requests with a withdrawn key are stopped as soon as the new revision arrives.
    Keys that can no longer be verified because no view arrives, and callers that do
    not read their responses, are detected within `KEY_CHECK_PERIOD_S`.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[None]) -> None:
        fleet = kernel.find("fleet", Fleet)
        was_closed = [True]

        def stop_unauthorized() -> None:
            is_closed = fleet.keys_closed()
            if is_closed != was_closed[0]:
                was_closed[0] = is_closed
                log = log_warning if is_closed else log_change
                log("keyed routes closed" if is_closed else "keyed routes open")
            active.stop_unauthorized(
                lambda digest: is_key_active(fleet.state.index, digest), is_closed
            )

        def on_change(state: FleetState, changed: frozenset[str]) -> None:
            if changed & {"index", "says_closed"}:
                stop_unauthorized()

        async def on_tick(now_s: float) -> None:
            stop_unauthorized()
            active.stop_stalled(now_s)

        process.metrics.gauge(
            "pond_entry_keys_closed",
            "1 while keyed routes refuse.",
            lambda: float(fleet.keys_closed()),
        )
        fleet.subscribe(on_change)
        async with anyio.create_task_group() as group:
            group.start_soon(every, process.timer, KEY_CHECK_PERIOD_S, on_tick)
            task_status.started(None)
            await kernel.stop_event("keys").wait()
            group.cancel_scope.cancel()

    return Service("keys", run)
