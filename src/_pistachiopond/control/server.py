"""The service ``server``: answers entry daemons, peers and operators by gRPC."""

from collections.abc import AsyncIterator
from typing import Any, Final, final

import anyio
import grpc
import grpc.aio
from anyio.abc import TaskStatus

from _pistachiopond.control.configuration import ConfigFollower
from _pistachiopond.control.demand import Demand, handle_report
from _pistachiopond.control.engine_feed import feed_messages
from _pistachiopond.control.membership import FleetService
from _pistachiopond.control.ports import CallHandler, CrashHandler, DrawHandler
from _pistachiopond.control.relay import answer_relay
from _pistachiopond.control.status import make_status
from _pistachiopond.control.views import REPEAT_S, WATCHERS, Views
from _pistachiopond.kernel.service import Kernel, Service, UnknownServiceError
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.settings import ControlSettings
from _pistachiopond.transport.generated import pond_pb2 as pb
from _pistachiopond.transport.generated import pond_pb2_grpc as rpc
from _pistachiopond.transport.server import bind_server, make_server

STOP_GRACE_S: Final = 3.0


@final
class ControlServicer(rpc.ControlServicer):
    """What entry daemons and operators call; each call finds its service by name."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def Watch(
        self, request: pb.WatchRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.View]:
        """Send the state to route by, then each change, at least once a second."""
        views = self._kernel.find("views", Views)
        seen: tuple[int, int, int, int] | None = None
        WATCHERS.inc()
        try:
            while not views.is_closed:
                changed = views.changed
                numbers = views.parts.numbers
                yield views.message(seen)
                seen = numbers
                with anyio.move_on_after(REPEAT_S):
                    await changed.wait()
        finally:
            WATCHERS.dec()

    async def Draw(
        self, request: pb.DrawRequest, context: grpc.aio.ServicerContext
    ) -> pb.DrawReply:
        """Grant tokens."""
        handler: DrawHandler = await self._find("limits", context)
        return await handler.handle_draw(request)

    async def ClaimCall(
        self, request: pb.ClaimCallRequest, context: grpc.aio.ServicerContext
    ) -> pb.ClaimCallReply:
        """Say whether a keyed call may run."""
        handler: CallHandler = await self._find("calls", context)
        return await handler.handle_claim(request)

    async def FinishCall(
        self, request: pb.FinishCallRequest, context: grpc.aio.ServicerContext
    ) -> pb.FinishCallReply:
        """Record how a keyed call ended."""
        handler: CallHandler = await self._find("calls", context)
        return await handler.handle_finish(request)

    async def Probation(
        self, request: pb.ProbationRequest, context: grpc.aio.ServicerContext
    ) -> pb.ProbationReply:
        """Say whether a suspect may run alone."""
        handler: CrashHandler = await self._find("crashes", context)
        return await handler.handle_probation(request)

    async def Report(
        self, request: pb.ReportRequest, context: grpc.aio.ServicerContext
    ) -> pb.ReportReply:
        """Take what an entry daemon saw."""
        demand = self._kernel.find("demand", Demand)
        return await handle_report(self._kernel, demand, request)

    async def Status(
        self, request: pb.StatusRequest, context: grpc.aio.ServicerContext
    ) -> pb.StatusReply:
        """Say what this daemon knows."""
        return pb.StatusReply(status_json=to_json(make_status(self._kernel)).encode())

    async def _find(self, name: str, context: grpc.aio.ServicerContext) -> Any:
        try:
            return self._kernel.find(name, object)
        except UnknownServiceError:
            await context.abort(
                grpc.StatusCode.UNAVAILABLE,
                f"service {name} is not up yet; try another control daemon",
            )


@final
class PeerServicer(rpc.PeerServicer):
    """What other control daemons call."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def Heartbeat(
        self, request: pb.HeartbeatRequest, context: grpc.aio.ServicerContext
    ) -> pb.HeartbeatReply:
        """Answer a heartbeat with one."""
        fleet = self._kernel.find("fleet", FleetService)
        return await fleet.handle_heartbeat(request)

    async def RelayConfig(
        self, request: pb.RelayConfigRequest, context: grpc.aio.ServicerContext
    ) -> pb.RelayConfigReply:
        """Give a peer the configuration that it has not read."""
        follower = self._kernel.find("config-follower", ConfigFollower)
        return answer_relay(follower, request)

    async def FollowEngines(
        self, request: pb.FollowEnginesRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.EngineFeed]:
        """Pass on engines' reports, and each change of them."""
        async for message in feed_messages(self._kernel):
            yield message


def make_server_service(settings: ControlSettings) -> Service:
    """Return the service ``server``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        server = make_server()
        rpc.add_ControlServicer_to_server(ControlServicer(kernel), server)
        rpc.add_PeerServicer_to_server(PeerServicer(kernel), server)
        port = bind_server(server, settings.listen_address, settings.peer_tls)
        await server.start()
        task_status.started(port)
        await kernel.stop_event("server").wait()
        kernel.find("views", Views).close()
        await server.stop(STOP_GRACE_S)

    return Service("server", run)
