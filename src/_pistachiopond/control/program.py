"""The program ``pond-control``: its command line and the services that it runs."""

import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskStatus
from cyclopts import App
from prometheus_client import start_http_server

from _pistachiopond.control.calls import make_calls_service
from _pistachiopond.control.configuration import (
    ConfigFollower,
    as_configuration,
    make_follower_service,
)
from _pistachiopond.control.crashes import make_crashes_service
from _pistachiopond.control.demand import make_demand_service
from _pistachiopond.control.engine_feed import make_engine_feed_service
from _pistachiopond.control.engines import make_engines_service
from _pistachiopond.control.gossip import GossipState
from _pistachiopond.control.identity import make_identity
from _pistachiopond.control.limits import make_limits_service
from _pistachiopond.control.log import make_log_service
from _pistachiopond.control.membership import (
    FleetService,
    as_membership,
    make_fleet_service,
)
from _pistachiopond.control.orders import make_orders_service
from _pistachiopond.control.ownership import (
    Shards,
    as_ownership,
    make_shards_service,
)
from _pistachiopond.control.relay import make_relay_service
from _pistachiopond.control.server import make_server_service
from _pistachiopond.control.views import make_views_service
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.decisions.membership import MemberTable
from _pistachiopond.kernel.service import Kernel, Service, run_services
from _pistachiopond.kernel.timer import RealTimer
from _pistachiopond.observe.logs import log_change, set_up_logs
from _pistachiopond.schema.settings import ControlSettings, read_settings
from _pistachiopond.transport.channels import Channels

app = App(name="pond-control", help="Control daemon of pistachiopond.")


@app.default
def run(*, settings: Path) -> None:
    """Run the control daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Path
        The JSON settings file; see ``docs/settings.md``.
    """
    checked = read_settings(ControlSettings, settings)
    if checked.is_err():
        for fault in checked.unwrap_err():
            print(fault, file=sys.stderr)
        raise SystemExit(2)
    set_up_logs()
    anyio.run(serve, checked.unwrap())


async def serve(settings: ControlSettings) -> None:
    """Run all services until SIGTERM or SIGINT requests a stop."""
    kernel = Kernel()
    me = make_identity(settings)
    _serve_metrics(settings)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, kernel)
        services = make_services(settings, me)
        services.append(_make_announcement_service(settings, me))
        await run_services(kernel, services)
        group.cancel_scope.cancel()
    log_change("stopped")


def _serve_metrics(settings: ControlSettings) -> None:
    address = settings.observability.metrics_address
    if address is not None:
        host, port = address.rsplit(":", 1)
        start_http_server(int(port), addr=host.strip("[]"))


async def _stop_on_signal(kernel: Kernel) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log_change("stopping", signal=number.name)
            kernel.request_stop()


def make_services(settings: ControlSettings, me: Identity) -> list[Service]:
    """Return the daemon's services in start order."""
    timer = RealTimer()
    member_table = MemberTable(me, settings.peer_addresses, timer.now_s())
    return [
        _make_static_service("exchange", lambda kernel: GossipState()),
        _make_channels_service(settings),
        make_log_service(settings, timer),
        make_follower_service(me, timer),
        _make_static_service(
            "configuration",
            lambda kernel: as_configuration(
                kernel.find("config-follower", ConfigFollower)
            ),
        ),
        make_fleet_service(member_table, settings, timer),
        _make_static_service(
            "membership",
            lambda kernel: as_membership(kernel.find("fleet", FleetService)),
        ),
        make_relay_service(timer, me),
        make_shards_service(me, settings, timer),
        _make_static_service(
            "ownership", lambda kernel: as_ownership(kernel.find("shards", Shards))
        ),
        make_limits_service(timer, settings.data_centre, settings.shard_count),
        make_calls_service(timer, me.address),
        make_engines_service(timer),
        make_crashes_service(timer, me.address),
        make_engine_feed_service(me, timer),
        make_demand_service(me, timer),
        make_orders_service(me, timer),
        make_views_service(timer),
        make_server_service(settings),
    ]


def _make_static_service(name: str, make_api: Callable[[Kernel], Any]) -> Service:
    """Return a service that publishes an API object and runs no task of its own."""

    async def run_until_stop(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        task_status.started(make_api(kernel))
        await kernel.stop_event(name).wait()

    return Service(name, run_until_stop)


def _make_channels_service(settings: ControlSettings) -> Service:
    async def run_channels(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        channels = Channels(settings.peer_tls)
        task_status.started(channels)
        await kernel.stop_event("channels").wait()
        await channels.close()

    return Service("channels", run_channels)


def _make_announcement_service(settings: ControlSettings, me: Identity) -> Service:
    """Return the service, started last, that prints the ready line on stdout."""

    async def run_announcement(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        line = {"ready": "control", "address": me.address}
        print(json.dumps(line), flush=True)
        task_status.started(None)
        await kernel.stop_event("announcement").wait()

    return Service("announcement", run_announcement)
