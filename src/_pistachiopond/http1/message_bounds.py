"""Bounds on the parts of an HTTP/1.1 message outside its body.

The parser buffers a header until the next one begins, and reports nothing within a
start line, between blank lines or within a chunk extension. So the bytes given to it
are counted in pieces. A piece in which a part of the message ends does not count for
the next part, so a message within the bounds is accepted wherever it is cut, and a
part ends at the latest `MAX_PIECE_BYTES` beyond its bound.
"""

from collections.abc import Callable
from typing import Final, Literal, NamedTuple, final

# The parser is given at most this much at a time.
MAX_PIECE_BYTES: Final = 8 * 1024
# A start line, its headers and the blank lines before it.
MAX_HEAD_BYTES: Final = 32 * 1024
MAX_HEADER_COUNT: Final = 200
# Trailers and chunk lines beyond what the allowances below cover.
MAX_BODY_OVERHEAD_BYTES: Final = 16 * 1024
# Overhead that does not count, since small chunks are legitimate: for each chunk, and
# for each byte of the body.
OVERHEAD_PER_CHUNK_BYTES: Final = 16
OVERHEAD_PER_BODY_BYTE: Final = 2
# Of one exchange. A server may send the responses to earlier requests late, whole.
MAX_INTERIM_RESPONSES: Final = 16
MAX_SKIPPED_RESPONSES: Final = 16
MAX_SKIPPED_BYTES: Final = 512 * 1024
# What a chunk of a skipped response counts beside its bytes, since parsing small chunks
# takes longer than parsing as many bytes of a large one.
SKIPPED_CHUNK_BYTES: Final = 64

ExcessKind = Literal[
    "blank_lines",
    "head",
    "chunk_lines",
    "trailers",
    "interim_responses",
    "skipped_responses",
    "body",
    "slow_body",
    "body_overhead",
    "event",
    "no_tokens",
    "reply",
    "time",
]


class Excess(NamedTuple):
    """A bound that a message has exceeded.

    Attributes
    ----------
    kind : str
        The part of the message; a label of a metric.
    detail : str
        The bound, for logs.
    """

    kind: ExcessKind
    detail: str


ReportExcess = Callable[[Excess], None]


def ignore_excess(excess: Excess) -> None:
    """Ignore a bound that a message has exceeded; its exchange fails all the same."""


class HeadLimits(NamedTuple):
    """Limits of a start line, its headers and the blank lines before it.

    Attributes
    ----------
    size_bytes : int
        The maximum size.
    header_count : int
        The maximum number of headers.
    """

    size_bytes: int
    header_count: int


RESPONSE_HEAD: Final = HeadLimits(MAX_HEAD_BYTES, MAX_HEADER_COUNT)
# A VM that relays a response to another one encodes its head anew: with a space in each
# header, another reason phrase, and headers for the framing and the connection.
RELAYED_RESPONSE_HEAD: Final = HeadLimits(MAX_HEAD_BYTES + 1024, MAX_HEADER_COUNT + 2)


@final
class MessageBounds:
    """Counts the bytes of one connection's messages outside their bodies."""

    def __init__(self, head_limits: HeadLimits = RESPONSE_HEAD) -> None:
        self.head_limits = head_limits
        self._is_in_head = True
        self._has_begun = False
        self._is_in_chunk = False
        self._head_bytes = 0
        self._header_count = 0
        self._overhead_bytes = 0
        self._piece_body_bytes = 0
        self._piece_chunks = 0
        self._has_changed_part = False
        self._is_skipping = False
        self._interim_responses = 0
        self._skipped_responses = 0
        self._skipped_bytes = 0

    def exchange_begun(self) -> None:
        """Start to count anew for the next request on a connection."""
        self._restart()
        self._interim_responses = self._skipped_responses = 0
        self._skipped_bytes = 0

    def message_begun(self) -> None:
        """Record the first byte of a start line."""
        self._has_begun = True

    def header_parsed(self) -> None:
        """Record a header or a trailer."""
        if self._is_in_head:
            self._header_count += 1

    def head_parsed(self) -> None:
        """Record the end of a head."""
        self._is_in_head = self._is_in_chunk = False
        self._overhead_bytes = 0
        self._has_changed_part = True

    def body_parsed(self, size: int) -> None:
        """Record bytes of a body."""
        self._piece_body_bytes += size

    def chunk_line_parsed(self) -> None:
        """Record the line before a chunk."""
        self._is_in_chunk = True
        self._piece_chunks += 1

    def chunk_parsed(self) -> None:
        """Record the end of a chunk."""
        self._is_in_chunk = False

    def message_parsed(self) -> None:
        """Record the end of a message."""
        self._restart()
        self._has_changed_part = True

    def interim_parsed(self) -> None:
        """Record the head of an interim (1xx) response."""
        self._interim_responses += 1

    def skipped_head_parsed(self, body_bytes: int) -> None:
        """Record the head of a response to another request.

        Parameters
        ----------
        body_bytes : int
            The size of the body, as far as the head says so.
        """
        self._is_skipping = True
        self._skipped_responses += 1
        self._skipped_bytes += body_bytes

    def skipped_body_parsed(self, size: int) -> None:
        """Record bytes of the body of a response to another request."""
        self._skipped_bytes += size

    def piece_parsed(self, size: int) -> Excess | None:
        """Count a piece after it was parsed; return the bound that is exceeded."""
        framing_bytes = size - self._piece_body_bytes
        if self._has_changed_part:
            pass
        elif self._is_in_head:
            self._head_bytes += framing_bytes
        else:
            allowance_bytes = (
                OVERHEAD_PER_CHUNK_BYTES * self._piece_chunks
                + OVERHEAD_PER_BODY_BYTE * self._piece_body_bytes
            )
            self._overhead_bytes = max(
                0, self._overhead_bytes + framing_bytes - allowance_bytes
            )
            if self._is_skipping:
                self._skipped_bytes += (
                    framing_bytes + SKIPPED_CHUNK_BYTES * self._piece_chunks
                )
        self._piece_body_bytes = self._piece_chunks = 0
        self._has_changed_part = False
        return self._excess()

    def _restart(self) -> None:
        self._is_in_head = True
        self._has_begun = self._is_in_chunk = self._is_skipping = False
        self._head_bytes = self._header_count = self._overhead_bytes = 0

    def _excess(self) -> Excess | None:
        limits = self.head_limits
        if self._head_bytes > limits.size_bytes:
            kind: ExcessKind = "head" if self._has_begun else "blank_lines"
            return Excess(kind, f"a head of more than {limits.size_bytes} bytes")
        if self._header_count > limits.header_count:
            return Excess("head", f"more than {limits.header_count} headers")
        if self._overhead_bytes > MAX_BODY_OVERHEAD_BYTES:
            limit = f"of more than {MAX_BODY_OVERHEAD_BYTES} bytes"
            if self._is_in_chunk:
                return Excess("trailers", f"trailers {limit}")
            return Excess("chunk_lines", f"chunk extensions {limit}")
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            return Excess(
                "interim_responses",
                f"more than {MAX_INTERIM_RESPONSES} interim responses",
            )
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            return Excess(
                "skipped_responses",
                f"more than {MAX_SKIPPED_RESPONSES} responses to other requests",
            )
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            return Excess(
                "skipped_responses",
                f"responses to other requests of more than {MAX_SKIPPED_BYTES} bytes",
            )
        return None
