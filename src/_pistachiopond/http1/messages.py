"""HTTP/1.1 message types and encoding, shared by client and server connections."""

import ipaddress
from http import HTTPStatus
from typing import Final, NamedTuple

RawHeaders = list[tuple[bytes, bytes]]

# Responses with these statuses end with their head (RFC 9112, section 6.3).
BODYLESS_STATUSES: Final = (204, 304)
CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


class HttpAddress(NamedTuple):
    """An IP address and a TCP port."""

    ip: str
    port: int


class RequestHead(NamedTuple):
    """The start line and headers of a request.

    Attributes
    ----------
    method, target : bytes
        As received; the target includes the query string.
    headers : list of (bytes, bytes)
        In the order received, with names as received.
    """

    method: bytes
    target: bytes
    headers: RawHeaders

    def values(self, lower_name: bytes) -> list[bytes]:
        """Return all values of a header; its name must be given in lower case."""
        return [value for name, value in self.headers if name.lower() == lower_name]


class Request(NamedTuple):
    """A complete request."""

    head: RequestHead
    body: bytes


class ResponseHead(NamedTuple):
    """The status line and headers of a response.

    Attributes
    ----------
    status : int
        The status code.
    headers : list of (bytes, bytes)
        In the order received, with names as received.
    """

    status: int
    headers: RawHeaders

    def value(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a header; its name must be given in lower case."""
        for name, value in self.headers:
            if name.lower() == lower_name:
                return value
        return None

    def values(self, lower_name: bytes) -> list[bytes]:
        """Return all values of a header; its name must be given in lower case."""
        return [value for name, value in self.headers if name.lower() == lower_name]


class CompleteResponse(NamedTuple):
    """A response that has been received completely."""

    head: ResponseHead
    body: bytes


def parse_address(text: str) -> HttpAddress:
    """Parse an address of the form ``IP:port``.

    Raises
    ------
    ValueError
        When the text is not an IPv4 address and a TCP port.
    """
    ip, _, port = text.rpartition(":")
    ipaddress.IPv4Address(ip)
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"the TCP port in {text!r} is not from 1 to 65535")
    return HttpAddress(ip, number)


def remove_hop_by_hop_headers(
    headers: RawHeaders, end_to_end: frozenset[bytes] = frozenset()
) -> RawHeaders:
    """Return the headers that are not limited to one connection.

    Removes the hop-by-hop headers, including those that ``Connection`` nominates (RFC
    9110, section 7.6.1), and ``Expect``, which the server connection answers itself.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        All headers of a message.
    end_to_end : frozenset of bytes
        Names in lower case that ``Connection`` can't nominate.
    """
    nominated: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            nominated.update(part.strip().lower() for part in value.split(b","))
    dropped = CONNECTION_HEADERS | (nominated - end_to_end)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def encode_request(head: RequestHead, body: bytes) -> bytes:
    """Return the encoded request; the head must have no body framing headers."""
    lines = [b"%b %b HTTP/1.1" % (head.method, head.target)]
    lines += [b"%b: %b" % header for header in head.headers]
    if body or head.method not in (b"GET", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response_head(status: int, headers: RawHeaders) -> bytes:
    """Return the encoded status line and headers of a response."""
    lines = [b"HTTP/1.1 %d %b" % (status, _reason(status))]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def framing_of(head: ResponseHead) -> str:
    """Return how a response's body ends: ``chunked``, ``length`` or ``connection``."""
    if b"chunked" in (head.value(b"transfer-encoding") or b"").lower():
        return "chunked"
    return "connection" if head.value(b"content-length") is None else "length"


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
