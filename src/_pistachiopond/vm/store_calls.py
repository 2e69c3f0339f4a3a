"""Sends requests to the platform's store over kept connections."""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from _pistachiopond.http1.client import ClientConnection, ExchangeError
from _pistachiopond.http1.messages import HttpAddress, Request, encode_request
from _pistachiopond.http1.pool import ConnectionPool
from _pistachiopond.platform.store import Call, HttpReply, StoreFailure

CONNECT_LIMIT_S: Final = 0.8
MAX_BODY_BYTES: Final = 64 * 1024 * 1024


def make_store_call(address: HttpAddress, now_s: Callable[[], float]) -> Call:
    """Return a function that sends one request to the store.

    Parameters
    ----------
    address : HttpAddress
        Where the store answers.
    now_s : callable
        The monotonic time in seconds.
    """
    pool = ConnectionPool(address, now_s, CONNECT_LIMIT_S)

    async def call(request: Request, limit_s: float) -> Result[HttpReply, StoreFailure]:
        try:
            connection = await pool.acquire()
        except ExchangeError as error:
            return Err(StoreFailure("unreachable", str(error)))
        try:
            async with asyncio.timeout(limit_s):
                reply = await _exchange(connection, request)
        except ExchangeError as error:
            pool.discard(connection)
            kind = "unreachable" if error.kind == "connect" else "lost"
            return Err(StoreFailure(kind, str(error)))
        except TimeoutError:
            pool.discard(connection)
            return Err(StoreFailure("lost", f"no answer within {limit_s} s"))
        except asyncio.CancelledError:
            pool.discard(connection)
            raise
        pool.release(connection)
        return Ok(reply)

    return call


async def _exchange(connection: ClientConnection, request: Request) -> HttpReply:
    connection.send(encode_request(request.head, request.body), request.head.method)
    head = await connection.read_head()
    chunks: list[bytes] = []
    size = 0
    while chunk := await connection.read_chunk():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise ExchangeError("garbled", "an answer without an end")
    return HttpReply(head, b"".join(chunks))
