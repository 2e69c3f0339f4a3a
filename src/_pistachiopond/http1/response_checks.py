"""Tells heads of responses from those that no sound server sends as an answer.

The parsers of HTTP accept more than the responses that RFC 9110 defines: any three
digits as a status, and versions that do not use this format. Such a response says
nothing about its request, so it is treated like bytes that are no response.
"""

import re
from typing import Final, final

from _pistachiopond.http1.messages import RawHeaders, ResponseHead

HTTP_VERSIONS: Final = ("1.0", "1.1")
# Servers send others only to clients that ask for them, which this system does not.
INTERIM_STATUSES: Final = (100, 102, 103)
MIN_FINAL_STATUS: Final = 200
MAX_FINAL_STATUS: Final = 599
# A response without a body has none of these (RFC 9110, section 8.6; 9112, 6.1).
FRAMING_HEADERS: Final = (b"content-length", b"transfer-encoding")
_STATUS_LINE: Final = re.compile(rb"HTTP/(\d\.\d) (\d{3})(?: [^\n]*)?\r?\n")
# Of the next response, wherever in a line it may begin.
_STATUS: Final = re.compile(rb"HTTP/\d\.\d \d{3}")
_HEAD_END: Final = b"\r\n\r\n"


def find_head_problem(version: str, head: ResponseHead) -> str | None:
    """Return why a response can't be an answer to a request; None if it can.

    Parameters
    ----------
    version : str
        The version in the status line, such as ``1.1``.
    head : ResponseHead
        The status and headers, also those of an interim response.
    """
    if version not in HTTP_VERSIONS:
        return f"a response of HTTP/{version}"
    if head.status in INTERIM_STATUSES:
        has_body = any(head.value(name) is not None for name in FRAMING_HEADERS)
        return "an interim response with a body" if has_body else None
    if not MIN_FINAL_STATUS <= head.status <= MAX_FINAL_STATUS:
        return f"a response with status {head.status:03d}"
    return None


def is_merged_head(reason: bytes, headers: RawHeaders) -> bool:
    """Return whether a head was cut off and goes on with that of another response.

    The other's status line is then within the reason phrase or the value of a header;
    elsewhere the parser refuses it. Which of the two heads a header is of can't be
    told.
    """
    values = (reason, *(value for _, value in headers))
    return any(b"HTTP/" in value and _STATUS.search(value) for value in values)


@final
class StatusLineScan:
    """Finds status lines with a problem in the bytes of a response.

    For clients whose library does not report the versions of responses nor interim
    ones. Lines of another form are left to that library.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._is_past_head = False

    def feed(self, data: bytes) -> str | None:
        """Take bytes of the response; return the problem of a status line in them."""
        if self._is_past_head:
            return None
        self._data += data
        while b"\n" in self._data:
            line = _STATUS_LINE.match(self._data)
            if line is None:
                break
            head = ResponseHead(int(line[2]), [])
            problem = find_head_problem(line[1].decode(), head)
            if problem is not None:
                return problem
            if head.status not in INTERIM_STATUSES:
                break
            _, is_whole, rest = self._data.partition(_HEAD_END)
            if not is_whole:
                return None
            self._data = rest
        else:
            return None
        self._is_past_head = True
        self._data.clear()
        return None
