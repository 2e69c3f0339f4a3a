"""Socket options that turn an unreachable peer into a connection error."""

import socket
from asyncio import BaseTransport
from typing import Final

# The connection is closed if sent data stays unacknowledged for this long. This allows
# for a few retransmissions on a lossy link, and is below the shortest request deadline.
UNACKNOWLEDGED_LIMIT_MS: Final = 1_500
# The same for connections of callers. Linux counts what waits for a peer to read as
# unacknowledged, and callers may pause in reading for some seconds.
CALLER_UNACKNOWLEDGED_LIMIT_MS: Final = 20_000
KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2


def enable_dead_peer_detection(
    transport: BaseTransport, unacknowledged_limit_ms: int = UNACKNOWLEDGED_LIMIT_MS
) -> None:
    """Set a limit for unacknowledged data, and frequent keep-alive probes."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, unacknowledged_limit_ms),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
