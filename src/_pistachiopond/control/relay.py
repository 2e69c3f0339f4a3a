"""The service ``relay``: gets the configuration from peers during a log outage."""

import random
from typing import Any, Final

import anyio
from anyio.abc import TaskStatus
from prometheus_client import Counter

from _pistachiopond.control.configuration import ConfigFollower, RelayedPage
from _pistachiopond.control.gossip import GossipState
from _pistachiopond.control.ports import LogAccess
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.records import ConfigState
from _pistachiopond.transport.channels import Channels, call
from _pistachiopond.transport.generated.pond_pb2 import (
    RelayConfigReply,
    RelayConfigRequest,
)
from _pistachiopond.transport.generated.pond_pb2_grpc import PeerStub

RELAY_PERIOD_S: Final = 1.0
RELAY_TIMEOUT_S: Final = 3.0

RELAYS: Final = Counter(
    "pond_config_relays", "Configuration asked of peers", ["result"]
)


def make_relay_reply(
    follower: ConfigFollower, request: RelayConfigRequest
) -> RelayConfigReply:
    """Return the records that the requesting peer has not read yet."""
    page = follower.relay_page(request.from_offset)
    state = b"" if page.state is None else to_json(page.state).encode()
    return RelayConfigReply(
        first_offset=page.first_offset,
        next_offset=page.next_offset,
        payloads=page.payloads,
        revision_json=state,
        fresh_age_s=follower.freshness().fresh_age_s,
    )


def parse_relay_reply(from_offset: int, reply: RelayConfigReply) -> RelayedPage | None:
    """Return a peer's reply as typed data; None if it is invalid."""
    state = None
    if reply.revision_json:
        checked = from_json(ConfigState, reply.revision_json)
        if checked.is_err():
            return None
        state = checked.unwrap()
    return RelayedPage(
        from_offset, reply.first_offset, reply.next_offset, tuple(reply.payloads), state
    )


def most_advanced_peer(
    follower: ConfigFollower, gossip: GossipState, now_s: float, rng: random.Random
) -> str | None:
    """Return one of the peers that have read furthest; None if none is ahead."""
    last_offset = follower.covers_offset()
    ahead = [
        item.statement
        for item in gossip.statements(now_s)
        if item.statement.config_offset > last_offset
    ]
    if not ahead:
        return None
    furthest = max(statement.config_offset for statement in ahead)
    choices = [item.address for item in ahead if item.config_offset == furthest]
    return rng.choice(sorted(choices))


def make_relay_service(timer: Timer, me: Identity) -> Service:
    """Return the service ``relay``."""
    rng = random.Random(me.incarnation)

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        follower = kernel.find("config-follower", ConfigFollower)
        gossip = kernel.find("exchange", GossipState)
        channels = kernel.find("channels", Channels)
        log = kernel.find("log", LogAccess)

        async def on_tick(now_s: float) -> None:
            # While the log answers, it is the more current source.
            if log.down_for_s() == 0.0:
                return
            address = most_advanced_peer(follower, gossip, now_s, rng)
            if address is None:
                return
            from_offset = follower.next_offset()
            method = PeerStub(channels.get(address)).RelayConfig
            request = RelayConfigRequest(from_offset=from_offset)
            result = await call(method, request, RELAY_TIMEOUT_S)
            RELAYS.labels("answered" if result.is_ok() else "failed").inc()
            if result.is_ok():
                page = parse_relay_reply(from_offset, result.unwrap())
                if page is not None:
                    follower.apply_relay(page)

        async with anyio.create_task_group() as group:
            group.start_soon(every, timer, RELAY_PERIOD_S, on_tick)
            task_status.started(None)
            await kernel.stop_event("relay").wait()
            group.cancel_scope.cancel()

    return Service("relay", run)
