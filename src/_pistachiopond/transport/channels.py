"""gRPC channels to pistachiopond's own processes, with mutual TLS and keep-alive.

HTTP/2 pings are sent even without open calls, so that a dead connection is closed and
reopened within ``KEEPALIVE_TIME_MS + KEEPALIVE_TIMEOUT_MS``.
"""

import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeVar, final

import grpc
import grpc.aio
from result import Err, Ok, Result

from _pistachiopond.schema.settings import TlsFiles
from _pistachiopond.transport.tls import TlsMaterial, TlsReader

T = TypeVar("T")

KEEPALIVE_TIME_MS: Final = 2_000
KEEPALIVE_TIMEOUT_MS: Final = 2_000
MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024
RECONNECT_MIN_MS: Final = 100
RECONNECT_MAX_MS: Final = 2_000
TLS_CHECK_PERIOD_S: Final = 1.0

CLIENT_OPTIONS: Final = (
    ("grpc.keepalive_time_ms", KEEPALIVE_TIME_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.min_reconnect_backoff_ms", RECONNECT_MIN_MS * 10),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)


class CallFailure(NamedTuple):
    """A gRPC call without a reply.

    Attributes
    ----------
    may_have_arrived : bool
        Whether the server may have received and executed the request.
    detail : str
        A description for metrics and log lines.
    """

    may_have_arrived: bool
    detail: str


_NOT_SENT_MARKERS: Final = {"failed to connect", "Connection refused"}


@final
class Channels:
    """The open gRPC channels of one process, by address."""

    def __init__(self, tls: TlsFiles | None) -> None:
        self._reader = TlsReader(tls) if tls is not None else None
        self._open: dict[str, grpc.aio.Channel] = {}
        self._next_tls_check_s = 0.0

    def get(self, address: str) -> grpc.aio.Channel:
        """Return the channel to `address`, opened with the current certificates."""
        self._drop_outdated_channels()
        channel = self._open.get(address)
        if channel is None:
            channel = open_channel(address, self._reader and self._reader.material)
            self._open[address] = channel
        return channel

    async def replace(self, address: str) -> None:
        """Close the channel to `address`, so that the next use opens a new one."""
        channel = self._open.pop(address, None)
        if channel is not None:
            await channel.close(None)

    async def close(self) -> None:
        """Close all channels."""
        channels = list(self._open.values())
        self._open.clear()
        for channel in channels:
            await channel.close(None)

    def _drop_outdated_channels(self) -> None:
        now_s = time.monotonic()
        if self._reader is None or now_s < self._next_tls_check_s:
            return
        self._next_tls_check_s = now_s + TLS_CHECK_PERIOD_S
        if self._reader.refresh():
            # Calls in flight keep their old channel open; it closes after the last one.
            self._open.clear()


def open_channel(address: str, material: TlsMaterial | None) -> grpc.aio.Channel:
    """Open one channel.

    Parameters
    ----------
    address : str
        ``IP:port``.
    material : TlsMaterial or None
        None for plain text, which is for tests on one machine.
    """
    if material is None:
        return grpc.aio.insecure_channel(address, options=CLIENT_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        root_certificates=material.authority,
        private_key=material.key,
        certificate_chain=material.certificate,
    )
    return grpc.aio.secure_channel(address, credentials, options=CLIENT_OPTIONS)


async def call(
    method: Callable[..., Any], request: Any, timeout_s: float
) -> Result[Any, CallFailure]:
    """Make a unary call with a deadline.

    Parameters
    ----------
    method : callable
        A method of a generated stub.
    request : message
        The request.
    timeout_s : float
        The deadline, in seconds from now.

    Returns
    -------
    Result
        The reply, or the reason for its absence.
    """
    try:
        return Ok(await method(request, timeout=timeout_s))
    except grpc.aio.AioRpcError as error:
        return Err(classify_error(error))


def classify_error(error: grpc.aio.AioRpcError) -> CallFailure:
    """Return whether the request behind a gRPC error may have been executed."""
    detail = error.details() or ""
    not_sent = error.code() is grpc.StatusCode.UNAVAILABLE and any(
        marker in detail for marker in _NOT_SENT_MARKERS
    )
    not_served = error.code() in (
        grpc.StatusCode.UNIMPLEMENTED,
        grpc.StatusCode.UNAUTHENTICATED,
    )
    return CallFailure(
        may_have_arrived=not (not_sent or not_served),
        detail=f"{error.code().name}: {detail}",
    )
