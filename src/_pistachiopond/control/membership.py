"""The service ``fleet``: heartbeats with peers, and the platform's list of VMs.

Heartbeats carry the state that other services put into `GossipState`. Peers' heartbeats
are answered from the event loop that does the daemon's work, so that a daemon whose
event loop hangs does not answer.
"""

from typing import Any, Final, final
from urllib.parse import urlsplit

import anyio
from anyio.abc import TaskGroup, TaskStatus
from prometheus_client import Counter, Gauge

from _pistachiopond.clients.reply_client import MAX_LIST_BYTES, make_reply_client
from _pistachiopond.clients.vm_list import ListedVm, ListVms, make_vm_list_client
from _pistachiopond.control.configuration import ConfigFollower
from _pistachiopond.control.gossip import GossipState
from _pistachiopond.control.ports import LogAccess, Member, Membership
from _pistachiopond.decisions.member_types import ListedDaemon
from _pistachiopond.decisions.membership import MemberTable
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.heartbeat import Heartbeat, LogStatement
from _pistachiopond.schema.settings import ControlSettings
from _pistachiopond.transport.channels import Channels, call
from _pistachiopond.transport.generated.pond_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
)
from _pistachiopond.transport.generated.pond_pb2_grpc import PeerStub

HEARTBEAT_PERIOD_S: Final = 1.0
HEARTBEAT_TIMEOUT_S: Final = 1.5
VM_LIST_PERIOD_S: Final = 3.0
MAX_LISTED_VMS_PER_S: Final = 20

HEARTBEATS_SENT: Final = Counter("pond_heartbeats_sent", "Heartbeats sent", ["result"])
MEMBERS: Final = Gauge("pond_members", "Control daemons believed to be alive")


@final
class FleetService:
    """Exchanges heartbeats with peers and applies the platform's list of VMs."""

    def __init__(
        self,
        member_table: MemberTable,
        gossip: GossipState,
        follower: ConfigFollower,
        log: LogAccess,
        timer: Timer,
    ) -> None:
        self.member_table = member_table
        self.list_reached = False
        self._gossip = gossip
        self._follower = follower
        self._log = log
        self._timer = timer

    def now_s(self) -> float:
        """Return the time by this daemon's clock."""
        return self._timer.now_s()

    def heartbeat(self, *, is_reply: bool) -> Heartbeat:
        """Return the heartbeat to send now.

        Only replies carry other daemons' statements; `apply_heartbeat` says why.
        """
        now_s = self._timer.now_s()
        reaches_log = self._log.down_for_s() == 0.0
        statements: tuple[LogStatement, ...] = ()
        if is_reply:
            statements = self._gossip.statements_to_forward(now_s)
        return Heartbeat(
            *self.member_table.me,
            beat=self.member_table.beat,
            own=self._follower.statement(reaches_log=reaches_log),
            statements=statements,
            rumours=self.member_table.rumours(),
            owners=self._gossip.owners_to_forward(),
            peers=self.member_table.peer_hints(),
            leaving=self._gossip.leaving_to_forward(now_s),
            drains=self._gossip.drains,
        )

    def apply_heartbeat(self, heartbeat: Heartbeat, sent_s: float | None) -> None:
        """Apply a peer's heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat
            A request from the peer, or its reply to ours.
        sent_s : float or None
            When our request was sent; None if the peer sent the request. Statements in
            a peer's request are ignored because its time in transit is unknown.
        """
        now_s = self._timer.now_s()
        self.member_table.take_heartbeat(heartbeat, now_s)
        for hint in heartbeat.owners:
            self._gossip.update_owner(hint)
        for server in heartbeat.leaving:
            self._gossip.record_leaving(server, now_s, is_first_hand=False)
        self._gossip.update_drains(heartbeat.drains)
        if sent_s is None:
            return
        self._gossip.add_statement(heartbeat.own, sent_s)
        for statement in heartbeat.statements:
            if statement.address != self.member_table.me.address:
                self._gossip.add_statement(statement, sent_s)

    async def handle_heartbeat(self, request: HeartbeatRequest) -> HeartbeatReply:
        """Apply a peer's heartbeat and return the reply."""
        heartbeat = from_json(Heartbeat, request.heartbeat_json)
        if heartbeat.is_ok():
            self.apply_heartbeat(heartbeat.unwrap(), None)
        return HeartbeatReply(heartbeat_json=_encode(self.heartbeat(is_reply=True)))

    async def send_to(self, channels: Channels, address: str) -> None:
        """Send one heartbeat and apply the reply."""
        sent_s = self._timer.now_s()
        heartbeat_json = _encode(self.heartbeat(is_reply=False))
        request = HeartbeatRequest(heartbeat_json=heartbeat_json)
        method = PeerStub(channels.get(address)).Heartbeat
        result = await call(method, request, HEARTBEAT_TIMEOUT_S)
        HEARTBEATS_SENT.labels("answered" if result.is_ok() else "failed").inc()
        if result.is_err():
            return
        heartbeat = from_json(Heartbeat, result.unwrap().heartbeat_json)
        if heartbeat.is_ok():
            self.apply_heartbeat(heartbeat.unwrap(), sent_s)

    async def send_heartbeats(
        self, group: TaskGroup, channels: Channels, now_s: float
    ) -> None:
        """Start sending this period's heartbeats, each in its own task."""
        makes_progress = self._gossip.makes_progress(now_s)
        for address in self.member_table.tick(now_s, makes_progress=makes_progress):
            group.start_soon(self.send_to, channels, address)
        MEMBERS.set(len(self.member_table.members(now_s)))

    def apply_vm_list(self, vms: tuple[ListedVm, ...]) -> None:
        """Apply the platform's list of VMs."""
        now_s = self._timer.now_s()
        daemons = (
            ListedDaemon(vm.address, vm.data_centre, vm.state == "leaving")
            for vm in vms
            if vm.kind == "entry"
        )
        self.member_table.take_list(daemons, now_s)
        revision = self._follower.revision()
        if revision is None:
            return
        names = {
            urlsplit(server.url).netloc: server.name
            for server in revision.manifest.backend_servers
        }
        for vm in vms:
            if vm.kind == "backend" and vm.state == "leaving" and vm.address in names:
                self._gossip.record_leaving(
                    names[vm.address], now_s, is_first_hand=True
                )

    async def poll_vm_list(self, list_vms: ListVms) -> None:
        """Poll the list of VMs; long lists less often, to bound the traffic."""
        while True:
            result = await list_vms()
            self.list_reached = result.is_ok()
            period_s = VM_LIST_PERIOD_S
            if result.is_ok():
                vms = result.unwrap()
                self.apply_vm_list(vms)
                period_s = max(period_s, len(vms) / MAX_LISTED_VMS_PER_S)
            await self._timer.sleep_until(self._timer.now_s() + period_s)

    def members(self) -> tuple[Member, ...]:
        """Return the daemons that may be assigned work."""
        return tuple(
            Member(*identity)
            for identity in self.member_table.members(self._timer.now_s())
        )


def make_fleet_service(
    member_table: MemberTable, settings: ControlSettings, timer: Timer
) -> Service:
    """Return the service ``fleet``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        follower = kernel.find("config-follower", ConfigFollower)
        gossip = kernel.find("exchange", GossipState)
        log = kernel.find("log", LogAccess)
        channels = kernel.find("channels", Channels)
        service = FleetService(member_table, gossip, follower, log, timer)
        follower.members = lambda: tuple(member.address for member in service.members())
        follower.data_centres = member_table.data_centres
        async with (
            make_reply_client(MAX_LIST_BYTES) as http,
            anyio.create_task_group() as group,
        ):
            list_vms = make_vm_list_client(http, settings.vm_list_url)
            group.start_soon(service.poll_vm_list, list_vms)

            async def on_tick(now_s: float) -> None:
                await service.send_heartbeats(group, channels, now_s)

            group.start_soon(every, timer, HEARTBEAT_PERIOD_S, on_tick)
            task_status.started(service)
            await kernel.stop_event("fleet").wait()
            group.cancel_scope.cancel()

    return Service("fleet", run)


def as_membership(service: FleetService) -> Membership:
    """Return the API of the service ``membership`` for other services."""
    return Membership(service.members, service.member_table.ended_since_s)


def _encode(heartbeat: Heartbeat) -> bytes:
    return to_json(heartbeat).encode()
