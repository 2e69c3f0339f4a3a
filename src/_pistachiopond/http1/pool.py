"""A pool of persistent connections to one server."""

import asyncio
from collections.abc import Callable, Collection
from typing import Final, Literal, final

from _pistachiopond.http1.client import (
    ClientConnection,
    ExchangeError,
    IsExpected,
    ReportBytes,
    accept_any_response,
    connect,
    ignore_bytes,
)
from _pistachiopond.http1.message_bounds import (
    RESPONSE_HEAD,
    HeadLimits,
    ReportExcess,
    ignore_excess,
)
from _pistachiopond.http1.messages import (
    CompleteResponse,
    HttpAddress,
    Request,
    encode_request,
)

# Servers close idle connections; the pool discards them this much earlier, so that a
# request is not sent on a connection that the server is just closing.
IDLE_MARGIN_S: Final = 1.0
# Idle limit of servers that announce no keep-alive timeout.
DEFAULT_IDLE_LIMIT_S: Final = 4.0
# Connections are kept for at least this long, however short the server's limit is.
MIN_IDLE_LIMIT_S: Final = 0.5
# A reachable server accepts within milliseconds, and TCP sends a lost SYN again after
# one second.
SLOW_CONNECT_S: Final = 0.3


# ``refused`` if the machine answered that nothing listens at the address.
ConnectOutcome = Literal["connected", "refused", "failed"]


def ignore_outcome(outcome: ConnectOutcome) -> None:
    """Ignore whether a connection was opened."""


@final
class ConnectionPool:
    """Connections to one server; the most recently used one is reused first."""

    def __init__(
        self,
        address: HttpAddress,
        now_s: Callable[[], float],
        connect_timeout_s: float,
        on_connect: Callable[[ConnectOutcome], None] = ignore_outcome,
        on_excess: ReportExcess = ignore_excess,
        head_limits: HeadLimits = RESPONSE_HEAD,
        on_bytes: ReportBytes = ignore_bytes,
    ) -> None:
        """Start without connections.

        Parameters
        ----------
        address : HttpAddress
            The server's address.
        now_s : callable
            The monotonic time in seconds.
        connect_timeout_s : float
            The limit for opening a connection.
        on_connect : callable
            Called with ``connected`` when a connection has been opened, with
            ``refused`` when it was refused, and with ``failed`` when it could not be
            opened for another reason, or not within `SLOW_CONNECT_S`.
        on_excess : callable
            Called when a response exceeds a bound.
        head_limits : HeadLimits
            The limits of a response's head.
        on_bytes : callable
            Called whenever bytes arrive on a connection.
        """
        self._address = address
        self._now_s = now_s
        self._connect_timeout_s = connect_timeout_s
        self._on_connect = on_connect
        self._on_excess = on_excess
        self._head_limits = head_limits
        self._on_bytes = on_bytes
        self._idle: list[ClientConnection] = []
        self.open_connections = 0
        self.max_open: int | None = None
        self.opened_total = 0

    async def acquire(
        self,
        max_idle_s: float | None = None,
        excluded: Collection[ClientConnection] = (),
    ) -> ClientConnection:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        max_idle_s : float or None
            Connections that have been idle for longer are not used; None to apply
            only the server's own limit.
        excluded : collection of ClientConnection
            Connections that are not used.

        Raises
        ------
        ExchangeError
            Of kind ``connect``, when connecting fails or `max_open` connections are
            already open.
        """
        now_s = self._now_s()
        kept: list[ClientConnection] = []
        found: ClientConnection | None = None
        while self._idle and found is None:
            candidate = self._idle.pop()
            if not candidate.is_open() or self._is_old(candidate, now_s):
                self.discard(candidate)
            elif candidate in excluded or (
                max_idle_s is not None and now_s - candidate.idle_since_s > max_idle_s
            ):
                kept.append(candidate)
            else:
                found = candidate
        self._idle[:0] = reversed(kept)
        if found is not None:
            found.idle_duration_s = now_s - found.idle_since_s
            return found
        if self._is_full() and self._idle:
            # An idle connection that may not be used takes the place of a new one.
            self.discard(self._idle.pop(0))
        if self._is_full():
            raise ExchangeError(
                "connect",
                f"{self.open_connections} connections are open, of {self.max_open} "
                "allowed, and none of them can be used",
            )
        return await self._open()

    async def open_idle(self) -> None:
        """Open a connection and keep it for a later request.

        Raises
        ------
        ExchangeError
            Of kind ``connect``, when connecting fails.
        """
        connection = await self._open()
        connection.idle_since_s = self._now_s()
        self._idle.append(connection)

    def has_idle(self) -> bool:
        """Return whether a connection is open that no request uses."""
        return any(connection.is_open() for connection in self._idle)

    def _is_full(self) -> bool:
        return self.max_open is not None and self.open_connections >= self.max_open

    async def _open(self) -> ClientConnection:
        self.open_connections += 1
        self.opened_total += 1
        loop = asyncio.get_running_loop()
        slow = loop.call_later(SLOW_CONNECT_S, self._on_connect, "failed")
        try:
            connection = await connect(
                self._address,
                self._connect_timeout_s,
                self._on_excess,
                self._head_limits,
                self._on_bytes,
            )
        except BaseException as error:
            self.open_connections -= 1
            if isinstance(error, ExchangeError):
                self._on_connect("refused" if error.is_refused else "failed")
            raise
        finally:
            slow.cancel()
        self._on_connect("connected")
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool; it is closed if it cannot be reused."""
        if connection.finish(self._now_s()):
            self._idle.append(connection)
        else:
            self.open_connections -= 1

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection, aborting any request in progress."""
        connection.close()
        self.open_connections -= 1

    def close_expired(self) -> None:
        """Close idle connections that have ended or exceed the idle limit."""
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
        return now_s - connection.idle_since_s > max(
            MIN_IDLE_LIMIT_S, limit_s - IDLE_MARGIN_S
        )


async def send_request(
    pool: ConnectionPool,
    request: Request,
    timeout_s: float,
    max_body_bytes: int,
    is_expected: IsExpected = accept_any_response,
) -> CompleteResponse:
    """Send a request of this software's own API and return the complete response.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the server; a connection whose exchange fails is closed.
    request : Request
        The request to send.
    timeout_s : float
        The limit for the response, counted from when a connection is available.
    max_body_bytes : int
        The maximum size of the response's body.
    is_expected : callable
        Whether a response with a given head belongs to this request.

    Raises
    ------
    ExchangeError
        When there is no complete response; of kind ``connect`` if nothing was sent.
    """
    connection = await pool.acquire()
    try:
        async with asyncio.timeout(timeout_s):
            connection.send(encode_request(request.head, request.body), is_expected)
            head = await connection.read_head()
            return CompleteResponse(head, await connection.read_body(max_body_bytes))
    except TimeoutError:
        raise ExchangeError("timeout", f"no response within {timeout_s} s") from None
    finally:
        pool.release(connection)
