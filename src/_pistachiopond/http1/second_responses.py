"""Finds a second response within a body that ends with its connection.

Nothing but its own bytes separates such a response from the body before it. It is known
by a status line and headers up to one that names a request.

The body may be anything, so the search takes a time in proportion to its bytes: no part
of an expression gives back what it has matched, and what one status line could not
match is not tried again from a later one in the same line.
"""

import re
from collections.abc import Callable
from typing import Final

from _pistachiopond.http1.message_bounds import MAX_HEADER_COUNT

# From the status line to the header that names the request.
MAX_HEAD_START_BYTES: Final = 4 * 1024
# Of a status line that a chunk ends in, before it can be known.
MAX_CUT_BYTES: Final = len(b"HTTP/1.1 200") - 1
_LINE_END: Final = b"\r\n"
# What is left of a line end that the chunk cuts off.
_CUT_LINE_ENDS: Final = (b"", b"\r")
_STATUS: Final = re.compile(rb"HTTP/1\.[01] \d{3}")
_STATUS_LINE: Final = re.compile(_STATUS.pattern + rb"[^\r\n]*+")


def make_second_response_scan(id_header: bytes) -> Callable[[bytes], bool]:
    """Return a function that looks for a second response within one body.

    It is called with each chunk, and returns whether the head of one has come.

    Parameters
    ----------
    id_header : bytes
        The name of the header by which servers say which request they answer.
    """
    id_start = rb"(?i:%b):" % re.escape(id_header)
    headers = re.compile(rb"(?:(?!%b)[^\s:]++:[^\r\n]*+\r\n)*+" % id_start)
    names_request = re.compile(id_start)
    tail = b""

    def has_second_response(chunk: bytes) -> bool:
        nonlocal tail
        searched = tail + chunk
        # What may go on with the next chunk: the end, if it is a part of a status line,
        # and all from the last status line whose head has not ended.
        open_from = len(searched) - MAX_CUT_BYTES
        last_line_end = searched.rfind(_LINE_END)
        position = 0
        while (line := _STATUS_LINE.search(searched, position)) is not None:
            position = line.end()
            if not searched.startswith(_LINE_END, position):
                # A later status line in this part ends in the same place.
                if searched[position : position + len(_LINE_END)] in _CUT_LINE_ENDS:
                    open_from = _last_status(searched, line.start(), position)
                continue
            start = position + len(_LINE_END)
            found = headers.match(searched, start)
            assert found is not None
            # The headers of a later status line within these end in the same place.
            position = found.end()
            if names_request.match(searched, position) is not None:
                if _count_headers(searched, start, position) <= MAX_HEADER_COUNT:
                    return True
            elif last_line_end < position:
                open_from = _last_status(searched, line.start(), position)
        open_from = min(open_from, len(searched) - MAX_CUT_BYTES)
        tail = searched[max(0, open_from, len(searched) - MAX_HEAD_START_BYTES) :]
        return False

    return has_second_response


def _last_status(data: bytes, start: int, end: int) -> int:
    """Return where the last status line before `end` begins; one begins at `start`."""
    for status in _STATUS.finditer(data, start, end):
        start = status.start()
    return start


def _count_headers(data: bytes, start: int, end: int) -> int:
    """Return the number of headers behind the last status line before `end`.

    Parameters
    ----------
    data : bytes
        A part of a body.
    start, end : int
        Where the headers behind a status line begin and end. They may hold further
        status lines.
    """
    for status in _STATUS.finditer(data, start, end):
        start = data.index(_LINE_END, status.end()) + len(_LINE_END)
    return data.count(_LINE_END, start, end)
