"""Socket options that make a dead peer show as an error instead of silence."""

import socket
from asyncio import BaseTransport
from typing import Final

# A sent byte that stays unacknowledged for this long ends the connection. Above a
# few retransmissions on a lossy link, below the shortest request deadlines.
UNACKNOWLEDGED_LIMIT_MS: Final = 1_500
KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2


def detect_dead_peer(transport: BaseTransport) -> None:
    """Set a limit for unacknowledged bytes, and short keep-alive probes."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
