"""Kept connections to one server."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from _pistachiopond.http1.client import ClientConnection, ExchangeError, connect
from _pistachiopond.http1.messages import (
    HttpAddress,
    Request,
    WholeResponse,
    encode_request,
)

# Servers close idle connections; ours are given up this much earlier.
IDLE_MARGIN_S: Final = 1.0
DEFAULT_IDLE_LIMIT_S: Final = 4.0
# No answer to a call of the product's own is longer.
MAX_BODY_BYTES: Final = 64 * 1024 * 1024


@final
class ConnectionPool:
    """The connections to one server, the most recently used first."""

    def __init__(
        self, address: HttpAddress, now_s: Callable[[], float], connect_limit_s: float
    ) -> None:
        self._address = address
        self._now_s = now_s
        self._connect_limit_s = connect_limit_s
        self._idle: list[ClientConnection] = []
        self.open_count = 0
        self.max_open: int | None = None
        self.opened_total = 0

    async def acquire(self, max_idle_s: float | None = None) -> ClientConnection:
        """Return a connection on which no request is in progress.

        Parameters
        ----------
        max_idle_s : float or None
            One that has been idle for longer is not used; None for the server's
            own limit.

        Raises
        ------
        ExchangeError
            Of kind ``connect``.
        """
        now_s = self._now_s()
        kept: list[ClientConnection] = []
        found: ClientConnection | None = None
        while self._idle and found is None:
            candidate = self._idle.pop()
            if not candidate.is_open() or self._is_old(candidate, now_s):
                self.discard(candidate)
            elif max_idle_s is None or now_s - candidate.idle_since_s <= max_idle_s:
                found = candidate
            else:
                kept.append(candidate)
        self._idle[:0] = reversed(kept)
        if found is not None:
            found.idle_for_s = now_s - found.idle_since_s
            return found
        if self.max_open is not None and self.open_count >= self.max_open:
            raise ExchangeError("connect", f"{self.open_count} connections are in use")
        self.open_count += 1
        self.opened_total += 1
        try:
            return await connect(self._address, self._connect_limit_s)
        except BaseException:
            self.open_count -= 1
            raise

    def release(self, connection: ClientConnection) -> None:
        """Take a connection back after its exchange, or close it."""
        if connection.finish(self._now_s()):
            self._idle.append(connection)
        else:
            self.open_count -= 1

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection, whatever happens on it."""
        connection.close()
        self.open_count -= 1

    def close_old(self) -> None:
        """Close the connections that have ended or been idle for long."""
        now_s = self._now_s()
        for connection in list(self._idle):
            if not connection.is_open() or self._is_old(connection, now_s):
                self._idle.remove(connection)
                self.discard(connection)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self.discard(self._idle.pop())

    def _is_old(self, connection: ClientConnection, now_s: float) -> bool:
        limit_s = connection.idle_limit_s or DEFAULT_IDLE_LIMIT_S
        return now_s - connection.idle_since_s > max(0.5, limit_s - IDLE_MARGIN_S)


async def exchange(
    pool: ConnectionPool, request: Request, limit_s: float
) -> WholeResponse:
    """Send a request of the product's own and return the whole response.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the server; one with a doubtful exchange is closed.
    request : Request
        What to send.
    limit_s : float
        How long the response may take, once there is a connection.

    Raises
    ------
    ExchangeError
        Of kind ``connect`` when nothing was sent.
    """
    connection = await pool.acquire()
    try:
        async with asyncio.timeout(limit_s):
            connection.send(encode_request(request.head, request.body))
            head = await connection.read_head()
            return WholeResponse(head, await connection.read_body(MAX_BODY_BYTES))
    except TimeoutError:
        raise ExchangeError("timeout", f"no answer within {limit_s} s") from None
    finally:
        pool.release(connection)
