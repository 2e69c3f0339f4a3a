"""Tests of the requests that VMs pass on to each other, and of their answers."""

import unittest

from _pistachiopond.http1.messages import Request, RequestHead, ResponseHead
from _pistachiopond.schema.relayed_request import RelayedRequest
from _pistachiopond.vm.relay_messages import (
    VERDICT_HEADER,
    classify_relayed,
    decode_relay,
    encode_relay,
    verdict_of,
)

RELAYED = RelayedRequest("route", "plain", "bj\u00f8rn", 2, 1.25, 2, "f00d")


def make_request(*more: tuple[bytes, bytes]) -> Request:
    headers = [
        (b"Host", b"calls.example"),
        (b"X-Attempt-Id", b"r1"),
        (b"X-Key", b"secret"),
        (b"Accept", b"*/*"),
        *more,
    ]
    return Request(RequestHead(b"POST", b"/a/x?y=1", headers), b"body")


class RelayMessageTests(unittest.TestCase):
    def test_a_request_arrives_as_it_was_without_its_key(self) -> None:
        encoded = encode_relay(make_request(), RELAYED, None)
        self.assertEqual(encoded.head.values(b"x-key"), [])
        request, relayed = decode_relay(encoded).ok()
        self.assertEqual(relayed, RELAYED)
        expected = [item for item in make_request().head.headers if item[0] != b"X-Key"]
        self.assertEqual(request.head.headers, expected)
        self.assertEqual((request.head.target, request.body), (b"/a/x?y=1", b"body"))

    def test_a_resumed_stream_names_the_last_event_that_the_caller_has(self) -> None:
        request = make_request((b"Last-Event-Id", b"3"))
        encoded = encode_relay(request, RELAYED, "7")
        self.assertEqual(encoded.head.values(b"last-event-id"), [b"7"])
        encoded = encode_relay(request, RELAYED, None)
        self.assertEqual(encoded.head.values(b"last-event-id"), [b"3"])

    def test_malformed_requests_are_not_accepted(self) -> None:
        for value in (b"{", b"[]", b"{}", b'{"route":"a","rank":"x"}'):
            request = make_request((b"Pond-Relay", value))
            self.assertTrue(decode_relay(request).is_err(), value)
        self.assertTrue(decode_relay(make_request()).is_err())

    def test_only_a_refusal_that_promises_it_counts_as_not_run(self) -> None:
        for status, kind in ((503, "not_run"), (400, "not_run"), (502, "unclear")):
            headers = [(VERDICT_HEADER, verdict_of(status))]
            self.assertEqual(classify_relayed(ResponseHead(status, headers)), kind)
        self.assertEqual(classify_relayed(ResponseHead(503, [])), "unclear")
        self.assertEqual(classify_relayed(ResponseHead(500, [])), "failure")
        self.assertEqual(classify_relayed(ResponseHead(200, [])), "success")


if __name__ == "__main__":
    unittest.main()
