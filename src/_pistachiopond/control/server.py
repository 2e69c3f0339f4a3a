"""The service ``server``: the gRPC API for entry daemons, peers and operators."""

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
from _pistachiopond.control.relay import make_relay_reply
from _pistachiopond.control.status import make_status
from _pistachiopond.control.views import RESEND_PERIOD_S, WATCHERS, Views
from _pistachiopond.kernel.service import Kernel, Service, UnknownServiceError
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.settings import ControlSettings
from _pistachiopond.transport.generated import pond_pb2 as pb
from _pistachiopond.transport.generated import pond_pb2_grpc as rpc
from _pistachiopond.transport.server import bind_server, make_server

STOP_GRACE_S: Final = 3.0


@final
class ControlServicer(rpc.ControlServicer):
    """The RPCs for entry daemons and operators.

    Each RPC looks up its service by name when it is called.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def Watch(
        self, request: pb.WatchRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.View]:
        """Stream the routing state, then each change; at least one message a second."""
        views = self._kernel.find("views", Views)
        seen: tuple[int, int, int, int] | None = None
        WATCHERS.inc()
        try:
            while not views.is_closed:
                changed = views.changed
                numbers = views.parts.numbers
                yield views.message(seen)
                seen = numbers
                with anyio.move_on_after(RESEND_PERIOD_S):
                    await changed.wait()
        finally:
            WATCHERS.dec()

    async def Draw(
        self, request: pb.DrawRequest, context: grpc.aio.ServicerContext
    ) -> pb.DrawReply:
        """Grant rate-limit tokens to an entry daemon."""
        handler: DrawHandler = await self._find("limits", context)
        return await handler.handle_draw(request)

    async def ClaimCall(
        self, request: pb.ClaimCallRequest, context: grpc.aio.ServicerContext
    ) -> pb.ClaimCallReply:
        """Decide whether a call with an idempotency key may run."""
        handler: CallHandler = await self._find("calls", context)
        return await handler.handle_claim(request)

    async def FinishCall(
        self, request: pb.FinishCallRequest, context: grpc.aio.ServicerContext
    ) -> pb.FinishCallReply:
        """Record the result of a call with an idempotency key."""
        handler: CallHandler = await self._find("calls", context)
        return await handler.handle_finish(request)

    async def Probation(
        self, request: pb.ProbationRequest, context: grpc.aio.ServicerContext
    ) -> pb.ProbationReply:
        """Decide whether a suspected request may run on probation."""
        handler: CrashHandler = await self._find("crashes", context)
        return await handler.handle_probation(request)

    async def Report(
        self, request: pb.ReportRequest, context: grpc.aio.ServicerContext
    ) -> pb.ReportReply:
        """Accept an entry daemon's report of demand, server failures and crashes."""
        demand = self._kernel.find("demand", Demand)
        return await handle_report(self._kernel, demand, request)

    async def Status(
        self, request: pb.StatusRequest, context: grpc.aio.ServicerContext
    ) -> pb.StatusReply:
        """Return this daemon's status for operators."""
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
    """The RPCs for other control daemons."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def Heartbeat(
        self, request: pb.HeartbeatRequest, context: grpc.aio.ServicerContext
    ) -> pb.HeartbeatReply:
        """Apply a peer's heartbeat and reply with this daemon's own."""
        fleet = self._kernel.find("fleet", FleetService)
        return await fleet.handle_heartbeat(request)

    async def RelayConfig(
        self, request: pb.RelayConfigRequest, context: grpc.aio.ServicerContext
    ) -> pb.RelayConfigReply:
        """Return the configuration records that a peer has not read."""
        follower = self._kernel.find("config-follower", ConfigFollower)
        return make_relay_reply(follower, request)

    async def FollowEngines(
        self, request: pb.FollowEnginesRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.EngineFeed]:
        """Stream the engines' state reports: all of them first, then each change."""
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
        try:
            task_status.started(port)
            await kernel.stop_event("server").wait()
            kernel.find("views", Views).close()
            await server.stop(STOP_GRACE_S)
        finally:
            # A server that is still running when it is collected blocks the process.
            with anyio.CancelScope(shield=True):
                await server.stop(None)

    return Service("server", run)
