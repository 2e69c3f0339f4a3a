"""Bounds on what backend servers send outside the bodies of their responses.

The bytes are counted by the reads from the connection, since the HTTP library reports
neither interim responses nor the bytes around chunks. A read in which the head ends
counts for neither part, so a response ends at the latest one read beyond its bound.
"""

from typing import Final, final

from _pistachiopond.http1.message_bounds import (
    MAX_BODY_OVERHEAD_BYTES,
    MAX_HEAD_BYTES,
    OVERHEAD_PER_CHUNK_BYTES,
    Excess,
)

HEAD_EXCESS: Final = Excess(
    "head", f"a head and interim responses of more than {MAX_HEAD_BYTES} bytes"
)
OVERHEAD_EXCESS: Final = Excess(
    "body_overhead",
    f"chunk extensions or trailers of more than {MAX_BODY_OVERHEAD_BYTES} bytes",
)


@final
class ResponseBounds:
    """Counts the bytes of one connection's responses outside their bodies."""

    def __init__(self) -> None:
        self.is_in_head = True
        self._head_bytes = 0
        self._overhead_bytes = 0
        self._read_bytes = 0
        self._body_bytes = 0

    def request_sent(self) -> None:
        """Start to count anew for the next response."""
        self.is_in_head = True
        self._head_bytes = self._overhead_bytes = 0
        self._read_bytes = self._body_bytes = 0

    def head_parsed(self) -> None:
        """Record the end of a head that is not an interim response's."""
        self.is_in_head = False
        self._read_bytes = 0

    def body_parsed(self, size: int) -> None:
        """Record bytes of the body."""
        self._body_bytes += size

    def bytes_read(self, size: int) -> None:
        """Record a read from the connection."""
        self._read_bytes = size

    def excess(self) -> Excess | None:
        """Count the last read after it was parsed; return the bound exceeded."""
        if self.is_in_head:
            self._head_bytes += self._read_bytes
        else:
            # Each chunk has at least one byte.
            allowance_bytes = OVERHEAD_PER_CHUNK_BYTES * self._body_bytes
            framing_bytes = self._read_bytes - self._body_bytes
            self._overhead_bytes = max(
                0, self._overhead_bytes + framing_bytes - allowance_bytes
            )
        self._read_bytes = self._body_bytes = 0
        if self._head_bytes > MAX_HEAD_BYTES:
            return HEAD_EXCESS
        if self._overhead_bytes > MAX_BODY_OVERHEAD_BYTES:
            return OVERHEAD_EXCESS
        return None
