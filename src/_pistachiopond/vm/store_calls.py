"""Sends requests to the platform's store over persistent connections."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final, final

from result import Err, Ok, Result

from _pistachiopond.http1.client import ExchangeError
from _pistachiopond.http1.messages import CompleteResponse, HttpAddress, Request
from _pistachiopond.http1.pool import ConnectionPool, send_request
from _pistachiopond.platform.store import Call, StoreFailure
from _pistachiopond.vm.excessive_messages import RecordExcess, ignore_excess_at

CONNECT_TIMEOUT_S: Final = 0.8
# The store answers with pages of about 1 MB, or with one record.
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
# Statuses from here on, and 429, mean that the store turns this VM away.
FIRST_FAILURE_STATUS: Final = 429


@final
class StoreContact:
    """Tells the readers of a store that turns this VM away when it answers again.

    Each reader retries rarely. The first call that is answered ends the pauses of all.
    """

    def __init__(self) -> None:
        self._answered = asyncio.Event()

    def record_answer(self) -> None:
        """Record that the store has answered a call."""
        self._answered.set()
        self._answered = asyncio.Event()

    async def pause(self, least_s: float, most_s: float) -> None:
        """Wait `most_s`, or from `least_s` on until the store has answered a call."""
        answered = self._answered
        await asyncio.sleep(least_s)
        try:
            async with asyncio.timeout(max(0.0, most_s - least_s)):
                await answered.wait()
        except TimeoutError:
            return


def make_store_call(
    address: HttpAddress,
    now_s: Callable[[], float],
    on_excess: RecordExcess = ignore_excess_at,
    contact: StoreContact | None = None,
) -> Call:
    """Return a function that sends one request to the store.

    Parameters
    ----------
    address : HttpAddress
        The address of the store.
    now_s : callable
        Returns the monotonic time in seconds.
    on_excess : callable
        Called with the address when a response exceeds a bound.
    contact : StoreContact or None
        Learns of each answer that does not turn this VM away.
    """
    pool = ConnectionPool(
        address, now_s, CONNECT_TIMEOUT_S, on_excess=partial(on_excess, address)
    )

    async def call(
        request: Request, limit_s: float
    ) -> Result[CompleteResponse, StoreFailure]:
        try:
            response = await send_request(pool, request, limit_s, MAX_ANSWER_BYTES)
        except ExchangeError as error:
            kind = "unreachable" if error.kind == "connect" else "lost"
            return Err(StoreFailure(kind, str(error)))
        if contact is not None and response.head.status < FIRST_FAILURE_STATUS:
            contact.record_answer()
        return Ok(response)

    return call
