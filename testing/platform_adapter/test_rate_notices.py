"""Tests of the rates of requests that servers name in their answers."""

import unittest

from _pistachiopond.http1.messages import ResponseHead
from _pistachiopond.platform.servers import decode_notice

# Each row: the values of the header, the rate, whether the rate of before holds on, and
# whether there is a line in the log.
CASES = (
    ([b"3.2"], 3.2, False, False),
    ([b" 20 "], 20.0, False, False),
    ([b"0"], 0.0, False, False),
    ([b"1e9"], 1e9, False, False),
    ([b"4", b"2.5"], 2.5, False, False),
    ([], None, False, False),
    ([b""], None, True, True),
    ([b"-1"], None, True, True),
    ([b"nan"], None, True, True),
    ([b"inf"], None, True, True),
    ([b"few"], None, True, True),
    ([b"2", b"few"], None, True, True),
)


class RateNoticeTests(unittest.TestCase):
    def test_each_form_of_a_rate_has_a_meaning(self) -> None:
        for values, rate_per_s, keeps_rate, has_problem in CASES:
            with self.subTest(values=values):
                headers = [(b"Server-Limit", value) for value in values]
                notice = decode_notice(ResponseHead(200, headers))
                self.assertEqual(notice.rate_per_s, rate_per_s)
                self.assertEqual(notice.keeps_rate, keeps_rate)
                self.assertEqual(bool(notice.problem), has_problem)

    def test_an_answer_of_another_server_says_nothing_about_the_rate(self) -> None:
        notice = decode_notice(ResponseHead(421, [(b"Server-Limit", b"3.2")]))
        self.assertIsNone(notice.rate_per_s)
        self.assertTrue(notice.keeps_rate)
