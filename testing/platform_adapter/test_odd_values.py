"""Tests of decoders with odd values in each field of their messages.

Another writer's entry with ``Infinity`` for a number once ended the processes of all
VMs, and again after each start.
"""

import ast
import base64
import json
import sys
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

import _pistachiopond
from _pistachiopond.http1.messages import (
    CompleteResponse,
    Request,
    RequestHead,
    ResponseHead,
)
from _pistachiopond.platform.configuration import decode_deployment
from _pistachiopond.platform.evacuations import decode_evacuation
from _pistachiopond.platform.requests import decode_request
from _pistachiopond.platform.servers import (
    decode_notice,
    decode_order_reply,
    decode_report,
    decode_server,
)
from _pistachiopond.platform.store import (
    KeyedRecord,
    StoreFailure,
    decode_tail,
    make_store_client,
)
from _pistachiopond.schema.peer_messages import decode_line
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm import leader_election, refusal_store, version_store
from _pistachiopond.vm.relay_messages import RELAY_HEADER, decode_relay
from testing.odd_values import ODD_VALUES, odd_messages
from testing.platform_adapter.test_decoding import ENTRY
from testing.vm.deployment import configuration

POSITION: Final = StorePosition(0, 1)
REPORT: Final = {
    "stage": "prefill_decode",
    "models": [{"name": "m1", "version": 1, "adapters": ["a1", {"name": "a2"}]}],
    "coming": ["m1/a3@1"],
    "busy": False,
    "sequence": 2,
    "waiting": 1,
}
RELAYED: Final = {
    "route": "r",
    "service": "plain",
    "customer": "office",
    "rank": 1,
    "left_s": 1.5,
    "max_servers": 2,
    "fingerprint": "f",
    "first_attempt_id": "a1",
    "is_trial": False,
}
PAGE: Final = {
    "items": [
        {"key": "k", "value": base64.b64encode(b"v").decode(), "offset": 3},
        {"key": "l", "value": "", "offset": 4},
    ],
    "more": False,
    "end": 5,
}
APPENDED: Final = {"offset": 4, "end": 5}
CLAIM: Final = {"leader": "vm-1", "incarnation": "i", "address": "10.0.0.1:7600"}
VERSIONS: Final = {"fence": 3, "models": [["plain", "", [{"v1": 4, "v2": 8}]]]}
STREAMS: Final = [["a1", "v1", 0.0], ["a2", "v2", 1.5]]
REFUSED: Final = {"requests": [["f", 900.0, ["s1@1", "s2@2"]]]}
LINE: Final = {"report": {"member": "vm-1", "number": 1, "load": {"s1": 2}}}

Decode = Callable[[bytes], object]


class Decoder(NamedTuple):
    """A decoder and a valid message.

    Attributes
    ----------
    decode : callable
        Returns a Result, or None for what cannot be read.
    valid : dict or list
        A message that it accepts.
    """

    decode: Decode
    valid: Any


def relay(value: bytes) -> Result[Any, Any]:
    """Decode the header of a request that another VM passes on."""
    head = RequestHead(b"POST", b"/", [(RELAY_HEADER, value)])
    return decode_relay(Request(head, b""))


def run(step: Any) -> Any:
    """Return the result of a coroutine that waits for nothing."""
    try:
        step.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError("the coroutine waits")


def answered(body: bytes, era: bytes = b"1", status: int = 200) -> Any:
    """Return a client of a store that gives one answer to all calls."""
    head = ResponseHead(status, [(b"Store-Era", era)])

    async def call(
        request: Request, timeout_s: float
    ) -> Result[CompleteResponse, StoreFailure]:
        return Ok(CompleteResponse(head, body))

    return make_store_client(call)


def snapshot(body: bytes) -> Any:
    """Decode a page of the store's newest records."""
    return run(answered(body).read_newest("keyed.servers", 1.0))


def appended(body: bytes) -> Any:
    """Decode the store's answer to an append."""
    return run(answered(body).append("keyed.pond", "k", b"v", None, 1.0))


def versions(value: bytes) -> Any:
    """Decode a record of software versions."""
    return version_store._decode(KeyedRecord(POSITION, "versions", value), 3)


def streams(value: bytes) -> Any:
    """Decode a record of streams."""
    found = version_store._decode_streams((KeyedRecord(POSITION, "1-1", value),))
    return Ok(found) if found else Err("")


def claim(value: bytes) -> Any:
    """Decode a claim of the lead."""
    return leader_election._decode(KeyedRecord(POSITION, "leader", value))


DECODERS: Final = {
    "decode_server": Decoder(lambda text: decode_server("s1", text), ENTRY),
    "decode_report": Decoder(decode_report, REPORT),
    "decode_deployment": Decoder(decode_deployment, configuration(3)),
    "decode_evacuation": Decoder(
        lambda text: decode_evacuation("evacuate/north", text), {"reason": "test"}
    ),
    "decode_relay": Decoder(relay, RELAYED),
    "decode_line": Decoder(decode_line, LINE),
    "_decode_newest": Decoder(snapshot, PAGE),
    "_decode_append": Decoder(appended, APPENDED),
    "_decode_versions": Decoder(versions, VERSIONS),
    "_decode_batch": Decoder(streams, STREAMS),
    "_decode_claim": Decoder(claim, CLAIM),
    "_decode_stored": Decoder(refusal_store._decode_stored, REFUSED),
}
# Decoders whose input is not JSON text; the tests named have their odd values.
OTHER_DECODERS: Final = {
    "decode_tail": "StoreRecordTests",
    "decode_request": "HeaderTests",
    "decode_notice": "HeaderTests",
    "decode_order_reply": "HeaderTests",
    # Of a message that `decode_line` has decoded, within the containment of the line.
    "decode_records": "testing.vm.test_suspects",
    "decode_history": "testing.vm.test_stream_versions",
}
# Steps of the decoders above, and the values that these make.
INNER_DECODERS: Final = {
    "_decode",
    "decode",
    "_decode_adapter_in_transit",
    "_decode_appended",
    "_decode_cold_entry",
    "_decode_cold_header",
    "_decode_crash_limit",
    "_decode_entry",
    "_decode_header",
    "_decode_keyed",
    "_decode_models",
    "_decode_names",
    "_decode_object",
    "_decode_pause",
    "_decode_plain",
    "_decode_plain_report",
    "_decode_prompt",
    "_decode_rate",
    "_decode_resumed",
    "_decode_software_version",
    "_decode_streams",
    "_decode_tokens",
    # Of the settings file, which is read at the start.
    "_decode_bounds",
    "_decode_limit",
    # Of members' messages; testing/vm/test_leader_server.py sends it odd values.
    "_decode_usage",
}
SOURCE: Final = Path(_pistachiopond.__path__[0])
FOLDERS: Final = ("platform", "vm", "schema")
# Of the programs that `pond-vm` does not contain.
OTHER_PROGRAMS: Final = ("records.py", "manifest.py", "codec.py")


def is_refused(decoded: Any) -> bool:
    """Return whether a decoder has refused a message."""
    return decoded is None or (isinstance(decoded, Err))


def decoder_names() -> set[str]:
    """Return the names of the functions of `pond-vm` that decode something."""
    names = set()
    for folder in FOLDERS:
        for path in (SOURCE / folder).glob("*.py"):
            if path.name in OTHER_PROGRAMS:
                continue
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                name = getattr(node, "name", None)
                if isinstance(node, ast.AnnAssign):
                    name = getattr(node.target, "id", None)
                if isinstance(name, str) and name.lstrip("_").startswith("decode"):
                    names.add(name)
    return names


class OddValueTests(unittest.TestCase):
    def test_each_decoder_is_in_a_table(self) -> None:
        listed = {*DECODERS, *OTHER_DECODERS, *INNER_DECODERS}
        self.assertEqual(decoder_names() - listed, set())
        self.assertEqual(listed - decoder_names(), set())

    def test_valid_messages_are_accepted(self) -> None:
        for name, decoder in DECODERS.items():
            decoded = decoder.decode(json.dumps(decoder.valid).encode())
            self.assertFalse(is_refused(decoded), (name, decoded))

    def test_an_odd_value_in_any_field_raises_no_exception(self) -> None:
        for name, decoder in DECODERS.items():
            accepted = played = 0
            for message in odd_messages(decoder.valid):
                played += 1
                try:
                    accepted += not is_refused(decoder.decode(message.text))
                except Exception as error:
                    self.fail(f"{name}, {message.name}: {error!r}")
            # Messages that are accepted have got past the first check, and most others
            # fail in one field only.
            print(f"{name}: {played} odd messages, {accepted} accepted", end="; ")
            self.assertGreater(accepted, 0, name)
        print(file=sys.stdout)

    def test_numbers_out_of_range_name_no_server(self) -> None:
        for field, value in (
            ("born", "1e999"),
            ("born", "Infinity"),
            ("born", "-1"),
            ("born", "9" * 400),
            ("slots", "0"),
            ("slots", "-4"),
            ("sequence", "9" * 400),
            ("sequence", "NaN"),
        ):
            text = json.dumps(ENTRY | {field: "odd"}).replace('"odd"', value)
            decoded = decode_server("s1", text.encode())
            self.assertTrue(decoded.is_err(), (field, value))

    def test_an_id_that_cannot_be_sent_in_a_header_names_no_server(self) -> None:
        value = json.dumps(ENTRY).encode()
        for server_id in ("", "s1\r\nX-Other: b", "s\u00e4", "s\ud800"):
            self.assertTrue(decode_server(server_id, value).is_err(), repr(server_id))

    def test_a_record_that_cannot_be_read_does_not_hide_the_others(self) -> None:
        sound = {"key": "s", "value": "", "offset": 4}
        for name, value in ODD_VALUES.items():
            body = json.dumps(PAGE | {"items": [{"key": "odd"}, sound]}).encode()
            body = body.replace(b'"odd"', value)
            found = snapshot(body)
            if found.is_ok():
                self.assertEqual([r.key for r in found.ok().records][-1:], ["s"], name)


class HeaderTests(unittest.TestCase):
    VALUES: Final = tuple(value.strip(b'"') for value in ODD_VALUES.values())

    def test_odd_headers_of_servers_raise_no_exception(self) -> None:
        for name in (
            b"Server-Leaving",
            b"Retry-After",
            b"Server-Brittle",
            b"Server-Limit",
        ):
            for value in self.VALUES:
                for status in (200, 421, 503):
                    decode_notice(ResponseHead(status, [(name, value)]))
                    decode_order_reply(status)

    def test_a_crash_limit_of_400_digits_is_no_crash_limit(self) -> None:
        notice = decode_notice(ResponseHead(200, [(b"Server-Brittle", b"9" * 400)]))
        self.assertIsNone(notice.crash_limit)
        self.assertTrue(notice.keeps_crash_limit)
        self.assertIn("not a whole number", notice.problem)

    def test_odd_headers_of_callers_raise_no_exception(self) -> None:
        refused = 0
        for name in (
            b"X-Token-Counts",
            b"X-Prompt-Prefix",
            b"X-Deadline-Ms",
            b"X-Model",
            b"Last-Event-Id",
            b"Resumes",
        ):
            for value in self.VALUES:
                for text in (value, b"1," + value, b"a:" + value):
                    headers = [(b"X-Attempt-Id", b"r1"), (name, text)]
                    head = RequestHead(b"GET", b"/", headers)
                    refused += decode_request(head).is_err()
        self.assertGreater(refused, 0)

    def test_tokens_out_of_range_are_bad_requests(self) -> None:
        for name, value in (
            (b"X-Token-Counts", b"1," + b"9" * 400),
            (b"X-Token-Counts", b"-1,5"),
            (b"X-Prompt-Prefix", b"a:" + b"9" * 400),
        ):
            headers = [(b"X-Attempt-Id", b"r1"), (name, value)]
            decoded = decode_request(RequestHead(b"GET", b"/", headers))
            self.assertTrue(decoded.is_err(), (name, value[:20]))

    def test_an_odd_era_is_a_malformed_answer(self) -> None:
        for value in self.VALUES:
            client = answered(json.dumps(PAGE).encode(), era=value)
            found = run(client.read_newest("keyed.servers", 1.0))
            if found.is_err():
                self.assertEqual(found.err().kind, "malformed", value[:20])
        client = answered(json.dumps(PAGE).encode(), era=b"9" * 400)
        found = run(client.read_newest("keyed.servers", 1.0))
        self.assertEqual(found.err().kind, "malformed")

    def test_an_odd_tail_raises_no_exception(self) -> None:
        for value in self.VALUES:
            decode_tail(value, POSITION)


if __name__ == "__main__":
    unittest.main()
