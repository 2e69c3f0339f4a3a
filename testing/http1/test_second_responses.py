"""Tests of the search for a second response within a body.

A body that repeated a status line without a line end once stopped the event loop for
seconds, since the search took the square of a chunk.
"""

import itertools
import re
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.http1.message_bounds import MAX_HEADER_COUNT
from _pistachiopond.http1.second_responses import make_second_response_scan
from testing.growth import check_growth, cpu_s

ID = b"x-attempt-id"
STATUS = b"HTTP/1.1 500 "
# What the search finds, as one expression. It takes the square of its input.
REFERENCE = re.compile(
    rb"HTTP/1\.[01] \d{3}[^\r\n]*\r\n(?:[^\s:]+:[^\r\n]*\r\n){0,%d}?(?i:%b):"
    % (MAX_HEADER_COUNT, ID)
)
TOKENS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK",
        b"HTTP/1.0 500 ",
        b"HTTP/1.1 20",
        b"\r\n",
        b"\r",
        b"\n",
        b"a: b",
        b"a",
        b":",
        b" ",
        b"X-Attempt-Id: r1",
        b"x-attempt-id:",
        b"X-Attempt-Id",
    ]
)
# Lines that may follow each other in a head come often enough to be found.
LINES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"a: b\r\n",
        b"a: HTTP/1.1 200 OK\r\n",
        b"X-Attempt-Id: r1\r\n",
    ]
)
BODIES = st.lists(LINES | TOKENS, max_size=12).map(b"".join)


def has_second_response(chunks: list[bytes]) -> bool:
    """Return what a new scan finds in a body of these chunks."""
    scan = make_second_response_scan(ID)
    return any([scan(chunk) for chunk in chunks])


class SecondResponseTests(unittest.TestCase):
    found = 0

    @settings(derandomize=True, deadline=None, max_examples=1_000)
    @given(BODIES, st.lists(st.integers(0, 150), max_size=3))
    def check(self, body: bytes, cuts: list[int]) -> None:
        expected = REFERENCE.search(body) is not None
        SecondResponseTests.found += expected
        self.assertEqual(has_second_response([body]), expected, body)
        bounds = sorted({0, *cuts, len(body)})
        pieces = [body[a:b] for a, b in itertools.pairwise(bounds)]
        self.assertEqual(has_second_response(pieces), expected, body)
        single = [body[i : i + 1] for i in range(len(body))]
        self.assertEqual(has_second_response(single), expected, body)

    def test_the_same_is_found_as_by_one_expression(self) -> None:
        self.check()
        print(f"{self.found} of 1000 bodies have a second response", end="; ")
        self.assertGreater(self.found, 100)

    def test_a_head_with_too_many_headers_is_none(self) -> None:
        status, end = b"HTTP/1.1 200 OK\r\n", b"X-Attempt-Id: r1\r\n"
        for count, inner in (
            (MAX_HEADER_COUNT, b""),
            (MAX_HEADER_COUNT + 1, b""),
            (3 * MAX_HEADER_COUNT, b"a: HTTP/1.1 200 OK\r\n"),
        ):
            for after in (0, MAX_HEADER_COUNT, MAX_HEADER_COUNT + 1):
                body = status + count * b"a:\r\n" + inner + after * b"a:\r\n" + end
                expected = REFERENCE.search(body) is not None
                self.assertEqual(has_second_response([body]), expected, (count, after))

    def test_the_time_grows_as_the_bytes_do(self) -> None:
        for repeated in (
            STATUS,
            b'"HTTP/1.1 200 OK",',
            b"a: HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r",
            b"HTTP/1.1 200 OK\n",
            b"HTTP/1.1 200 OK\r\na: b\r\n",
            b"HTTP/1.1 200 OK\r\na: b\r\nb",
            b"a: b\r\n",
            b"a:",
            b"\r\n",
            b"HTTP/1.",
            b"x",
        ):
            for prefix in (b"", b"HTTP/1.1 200 OK\r\n"):
                with self.subTest(repeated=repeated, prefix=prefix):
                    check_growth(
                        lambda data, prefix=prefix: has_second_response([prefix, data]),
                        lambda size, repeated=repeated: (
                            repeated * (size // len(repeated))
                        ),
                        64 * 1024,
                    )

    def test_a_chunk_is_searched_in_a_few_milliseconds(self) -> None:
        # As many bytes as a connection buffers before it stops reading.
        chunk = STATUS * (256 * 1024 // len(STATUS))
        self.assertLess(cpu_s(lambda: has_second_response([chunk])), 0.05)


if __name__ == "__main__":
    unittest.main()
