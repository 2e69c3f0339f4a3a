"""Sends requests to the platform's store over persistent connections."""

from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from _pistachiopond.http1.client import ExchangeError
from _pistachiopond.http1.messages import CompleteResponse, HttpAddress, Request
from _pistachiopond.http1.pool import ConnectionPool, send_request
from _pistachiopond.platform.store import Call, StoreFailure

CONNECT_TIMEOUT_S: Final = 0.8


def make_store_call(address: HttpAddress, now_s: Callable[[], float]) -> Call:
    """Return a function that sends one request to the store.

    Parameters
    ----------
    address : HttpAddress
        The address of the store.
    now_s : callable
        Returns the monotonic time in seconds.
    """
    pool = ConnectionPool(address, now_s, CONNECT_TIMEOUT_S)

    async def call(
        request: Request, limit_s: float
    ) -> Result[CompleteResponse, StoreFailure]:
        try:
            return Ok(await send_request(pool, request, limit_s))
        except ExchangeError as error:
            kind = "unreachable" if error.kind == "connect" else "lost"
            return Err(StoreFailure(kind, str(error)))

    return call
