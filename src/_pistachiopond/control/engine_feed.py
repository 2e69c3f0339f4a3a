"""The service ``engine-feed``: gets engines' reports from another control daemon.

The service ``engines`` itself polls the engines that the feed does not cover.
"""

from collections.abc import AsyncIterator
from typing import Any, Final

import anyio
import grpc
from anyio.abc import TaskStatus
from prometheus_client import Counter

from _pistachiopond.control.engines import SERVERS_SHARD, Engines
from _pistachiopond.control.gossip import GossipState
from _pistachiopond.control.ports import Membership, Ownership
from _pistachiopond.decisions.engine_feed import FeedSender, upstream_of
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.engine_feed import FeedMessage
from _pistachiopond.transport.channels import Channels
from _pistachiopond.transport.generated import pond_pb2 as pb
from _pistachiopond.transport.generated.pond_pb2_grpc import PeerStub

MAX_MESSAGE_INTERVAL_S: Final = 1.0
MIN_MESSAGE_INTERVAL_S: Final = 0.25
SILENCE_TIMEOUT_S: Final = 3.0
RETRY_S: Final = 1.0

MESSAGES: Final = Counter("pond_engine_feed_messages", "Messages of the feed", ["way"])
BYTES: Final = Counter("pond_engine_feed_bytes", "Bytes of the feed", ["way"])


async def feed_messages(kernel: Kernel) -> AsyncIterator[pb.EngineFeed]:
    """Yield the feed messages for one follower until this daemon stops."""
    engines = kernel.find("engines", Engines)
    sender = FeedSender()
    while not kernel.stop_event("engine-feed").is_set():
        changed = engines.changed
        message = sender.next_message(
            engines.newest(), engines.now_s(), engines.lost_after_s()
        )
        text = to_json(message).encode()
        MESSAGES.labels("out").inc()
        BYTES.labels("out").inc(len(text))
        yield pb.EngineFeed(feed_json=text)
        await anyio.sleep(MIN_MESSAGE_INTERVAL_S)
        with anyio.move_on_after(MAX_MESSAGE_INTERVAL_S - MIN_MESSAGE_INTERVAL_S):
            await changed.wait()


def make_engine_feed_service(me: Identity, timer: Timer) -> Service:
    """Return the service ``engine-feed``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        engines = kernel.find("engines", Engines)
        channels = kernel.find("channels", Channels)

        async def follow_until_cancelled() -> None:
            while True:
                upstream = _choose_upstream(kernel, me)
                if upstream is not None:
                    await _follow(kernel, me, channels, engines, upstream)
                await timer.sleep_until(timer.now_s() + RETRY_S)

        async with anyio.create_task_group() as group:
            group.start_soon(follow_until_cancelled)
            task_status.started(None)
            await kernel.stop_event("engine-feed").wait()
            group.cancel_scope.cancel()

    return Service("engine-feed", run)


def _choose_upstream(kernel: Kernel, me: Identity) -> str | None:
    ownership = kernel.find("ownership", Ownership)
    if ownership.holding(SERVERS_SHARD) is not None:
        return None
    holder = ownership.holder_address(SERVERS_SHARD)
    if holder is None:
        hint = kernel.find("exchange", GossipState).owner(SERVERS_SHARD)
        holder = None if hint is None else hint.address
    if holder is None or holder == me.address:
        return None
    members = kernel.find("membership", Membership).members()
    return upstream_of(me.address, holder, (member.address for member in members))


async def _follow(
    kernel: Kernel, me: Identity, channels: Channels, engines: Engines, upstream: str
) -> None:
    """Apply messages until the stream ends or stalls, or the upstream changes."""
    stub = PeerStub(channels.get(upstream))
    stream = stub.FollowEngines(pb.FollowEnginesRequest(address=me.address))
    engines.reset_feed()
    try:
        while _choose_upstream(kernel, me) == upstream:
            with anyio.move_on_after(SILENCE_TIMEOUT_S) as scope:
                reply = await stream.read()
            if scope.cancelled_caught or not isinstance(reply, pb.EngineFeed):
                return
            BYTES.labels("in").inc(len(reply.feed_json))
            MESSAGES.labels("in").inc()
            message = from_json(FeedMessage, reply.feed_json)
            if message.is_err():
                return
            engines.apply_feed(message.unwrap())
    except grpc.RpcError:
        return
    finally:
        stream.cancel()
