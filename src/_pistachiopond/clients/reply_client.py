"""HTTP client for replies that are read whole, which bounds their size and time.

The timeouts of httpx are for each read, so bytes that keep coming meet none of them.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Final, final

import httpx
from prometheus_client import Counter

from _pistachiopond.http1.message_bounds import Excess
from _pistachiopond.transport.channels import MAX_MESSAGE_BYTES
from _pistachiopond.transport.excess_records import make_excess_recorder

# Of an engine's report and of its answers to orders.
MAX_ENGINE_REPLY_BYTES: Final = 1024 * 1024
# Of the list of VMs.
MAX_LIST_BYTES: Final = MAX_MESSAGE_BYTES
# Of a page of the log, or its answer to an append.
MAX_LOG_REPLY_BYTES: Final = MAX_MESSAGE_BYTES
# From the request to the end of the reply; above the waits of all calls.
MAX_EXCHANGE_S: Final = 30.0
DEFAULT_LIMITS: Final = httpx.Limits(max_connections=100, max_keepalive_connections=20)

EXCESSIVE_REPLIES: Final = Counter(
    "pond_control_excessive_replies", "Replies that exceeded a bound", ["kind"]
)
_record_excess = make_excess_recorder(EXCESSIVE_REPLIES, time.monotonic)


@final
class _BoundedBody(httpx.AsyncByteStream):
    """The body of a reply, which ends with an error at its bounds."""

    def __init__(
        self,
        request: httpx.Request,
        body: httpx.AsyncByteStream,
        max_bytes: int,
        deadline_s: float,
    ) -> None:
        self._request = request
        self._body = body
        self._max_bytes = max_bytes
        self._deadline_s = deadline_s

    async def __aiter__(self) -> AsyncIterator[bytes]:
        chunks = aiter(self._body)
        size = 0
        while True:
            try:
                async with asyncio.timeout_at(self._deadline_s):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError as error:
                raise _late_reply(self._request) from error
            size += len(chunk)
            if size > self._max_bytes:
                raise _excessive_reply(self._request, self._max_bytes)
            yield chunk

    async def aclose(self) -> None:
        """Close the connection unless the body was read to its end."""
        await self._body.aclose()


@final
class _BoundedTransport(httpx.AsyncHTTPTransport):
    """Opens connections, and bounds the replies."""

    def __init__(
        self, max_reply_bytes: int, max_exchange_s: float, limits: httpx.Limits
    ) -> None:
        super().__init__(limits=limits, trust_env=False)
        self._max_reply_bytes = max_reply_bytes
        self._max_exchange_s = max_exchange_s

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the reply with its body unread."""
        deadline_s = asyncio.get_running_loop().time() + self._max_exchange_s
        try:
            async with asyncio.timeout_at(deadline_s):
                response = await super().handle_async_request(request)
        except TimeoutError as error:
            raise _late_reply(request) from error
        assert isinstance(response.stream, httpx.AsyncByteStream)
        response.stream = _BoundedBody(
            request, response.stream, self._max_reply_bytes, deadline_s
        )
        return response


def make_reply_client(
    max_reply_bytes: int,
    max_exchange_s: float = MAX_EXCHANGE_S,
    limits: httpx.Limits = DEFAULT_LIMITS,
) -> httpx.AsyncClient:
    """Return a client whose calls fail with `httpx.HTTPError` beyond the bounds.

    Parameters
    ----------
    max_reply_bytes : int
        The maximum size of a reply's body.
    max_exchange_s : float
        The maximum time from the request to the end of the reply.
    limits : httpx.Limits
        Of the connections.
    """
    transport = _BoundedTransport(max_reply_bytes, max_exchange_s, limits)
    return httpx.AsyncClient(transport=transport, trust_env=False)


def _excessive_reply(
    request: httpx.Request, max_bytes: int
) -> httpx.RemoteProtocolError:
    detail = f"a reply of more than {max_bytes} bytes"
    _record_excess(_server_of(request), Excess("reply", detail))
    return httpx.RemoteProtocolError(f"received {detail}", request=request)


def _late_reply(request: httpx.Request) -> httpx.ReadTimeout:
    detail = "a reply that did not end in time"
    _record_excess(_server_of(request), Excess("time", detail))
    return httpx.ReadTimeout(f"received {detail}", request=request)


def _server_of(request: httpx.Request) -> str:
    return request.url.netloc.decode()
