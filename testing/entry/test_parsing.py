"""Property-based tests of parsing request headers, request bodies and SSE streams."""

import json
import unittest
from typing import Any, Final

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.entry.completions import (
    CompletionRequest,
    chain_prefixes,
    parse_completion,
)
from _pistachiopond.entry.headers import check_head
from _pistachiopond.entry.index import has_prefix
from _pistachiopond.entry.sse import SseEvent, SseParser
from _pistachiopond.schema.verdict import Verdict

KEY: Final = "sk-Kj38-secret"
FUZZ: Final = settings(derandomize=True, deadline=None, max_examples=200)

plain_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=12,
)
field_names = st.sampled_from(
    (
        "model messages prompt max_tokens max_completion_tokens n stream "
        "stream_options cache_salt other"
    ).split()
)
bodies = st.dictionaries(field_names, plain_json, max_size=8)
header_names = st.sampled_from(
    [b"authorization", b"x-api-key", b"api-key", b"x-note", b"cookie", b"connection"]
)


def parse(text: bytes, *, is_chat: bool = True, key: str | None = None) -> Any:
    """Parse a body as a request of one customer."""
    return parse_completion(text, is_chat=is_chat, customer="bergen", key=key)


def escape(text: str) -> bytes:
    """Return a text as JSON in which every character is a Unicode escape."""
    return ("".join(f"\\u{ord(letter):04x}" for letter in text)).encode()


class BodyTests(unittest.TestCase):
    @FUZZ
    @given(st.binary(max_size=200), st.booleans())
    def test_any_bytes_are_parsed_or_refused_as_not_run(
        self, text: bytes, is_chat: bool
    ) -> None:
        result = parse(text, is_chat=is_chat)
        if result.is_err():
            self.assertIs(result.err().verdict, Verdict.NOT_RUN)

    @FUZZ
    @given(bodies, st.booleans())
    def test_any_json_is_parsed_or_refused_as_not_run(
        self, plain: dict[str, Any], is_chat: bool
    ) -> None:
        result = parse(json.dumps(plain).encode(), is_chat=is_chat)
        if result.is_err():
            self.assertEqual(result.err().http_status, 400)
            return
        request: CompletionRequest = result.ok()
        self.assertGreaterEqual(request.max_tokens, 1)
        self.assertEqual(request.body["stream"], True)
        json.dumps(request.body)

    @FUZZ
    @given(plain_json, st.booleans())
    def test_key_anywhere_in_the_body_is_refused(
        self, other: Any, is_escaped: bool
    ) -> None:
        plain = {
            "model": "notes",
            "messages": [{"role": "user", "content": "x"}],
            "other": [other, {"deep": f"a{KEY}b"}],
        }
        text = json.dumps(plain).encode()
        if is_escaped:
            text = text.replace(KEY.encode(), escape(KEY))
        self.assertTrue(parse(text).is_ok())
        self.assertTrue(parse(text, key=KEY).is_err())

    def test_fingerprint_depends_on_model_input_only(self) -> None:
        messages = [{"role": "user", "content": "x"}]
        first = {"model": "notes", "messages": messages, "stream": True}
        again = {"max_tokens": 9, "messages": messages, "model": "notes"}
        other = {"model": "notes", "messages": [{"role": "user", "content": "y"}]}
        prints = [
            parse(json.dumps(item).encode()).ok().fingerprint
            for item in (first, again, other)
        ]
        self.assertEqual(prints[0], prints[1])
        self.assertNotEqual(prints[0], prints[2])

    def test_prefix_ids_agree_as_far_as_the_prompts_do(self) -> None:
        first = chain_prefixes("notes", "salt", "a" * 600 + "b" * 400)
        second = chain_prefixes("notes", "salt", "a" * 600 + "c" * 400)
        self.assertEqual(len(first), 3)
        self.assertEqual(first[:2], second[:2])
        self.assertNotEqual(first[2], second[2])
        self.assertEqual(
            set(first) & set(chain_prefixes("notes", "other", "a" * 600)), set()
        )


class HeaderTests(unittest.TestCase):
    @FUZZ
    @given(
        st.binary(max_size=40),
        st.binary(max_size=60),
        st.lists(st.tuples(header_names, st.binary(max_size=30)), max_size=6),
    )
    def test_any_request_head_is_accepted_or_refused_without_an_exception(
        self, path: bytes, query: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        ascii_path = bytes(byte & 0x7F for byte in path)
        check_head(b"/" + ascii_path, query, headers)

    @FUZZ
    @given(
        st.sampled_from([b"authorization", b"x-api-key", b"api-key"]),
        st.lists(st.tuples(header_names, st.binary(max_size=9)), max_size=4),
        st.text(alphabet="abc&=%", max_size=12),
    )
    def test_accepted_key_is_not_in_anything_that_is_forwarded(
        self, name: bytes, others: list[tuple[bytes, bytes]], extra: str
    ) -> None:
        value = f"Bearer {KEY}" if name == b"authorization" else KEY
        copies = [(other, text + KEY.encode()) for other, text in others]
        headers = [(name, value.encode()), *copies]
        query = f"{extra}&api_key={KEY}&x={KEY}y".encode()
        result = check_head(b"/v1/models", query, headers)
        if result.is_ok():
            head = result.ok()
            self.assertNotIn(KEY, head.query)
            self.assertNotIn(KEY.encode(), b"".join(v for _, v in head.headers))


class RouteTests(unittest.TestCase):
    def test_prefix_matches_complete_path_segments_only(self) -> None:
        self.assertTrue(has_prefix("/pub", "/pub"))
        self.assertTrue(has_prefix("/pub/x", "/pub"))
        self.assertTrue(has_prefix("/pub/x", "/pub/"))
        self.assertTrue(has_prefix("/anything", "/"))
        self.assertFalse(has_prefix("/public", "/pub"))


class SseParserTests(unittest.TestCase):
    @FUZZ
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 999),
                st.text(
                    st.characters(exclude_characters="\r\n", codec="utf-8"), min_size=1
                ),
            ),
            max_size=6,
        ),
        st.sampled_from(["\n", "\r\n", "\r"]),
        st.lists(st.integers(1, 9), min_size=1, max_size=5),
    )
    def test_events_do_not_depend_on_chunk_boundaries(
        self, given_events: list[tuple[int, str]], newline: str, sizes: list[int]
    ) -> None:
        text = "".join(
            f"id: {number}{newline}data: {data}{newline}{newline}"
            for number, data in given_events
        ).encode()
        parser = SseParser()
        found: list[SseEvent] = []
        position, turn = 0, 0
        while position < len(text):
            size = sizes[turn % len(sizes)]
            found += parser.feed(text[position : position + size])
            position, turn = position + size, turn + 1
        found += parser.feed(b"\n")
        wanted = [SseEvent(str(n), "", data) for n, data in given_events]
        self.assertEqual(found, wanted)
