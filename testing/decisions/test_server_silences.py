"""Tests of telling a server that is silent for a moment from one that has stopped."""

import heapq
import unittest
from collections.abc import Callable
from typing import Final, NamedTuple

from _pistachiopond.decisions.ejection import Ejector
from _pistachiopond.decisions.failure_kinds import FailureKind
from _pistachiopond.decisions.server_silences import (
    LATE_PROBE_S,
    MAX_SOUND_SILENCE_S,
    PROBE_PERIOD_S,
    RAMP_S,
    ServerSilences,
)

SERVER: Final = ("a", 1)
SLOTS: Final = 4
HEAD_TIMEOUT_S: Final = 0.4
WORK_S: Final = 0.1
# A machine counts as in touch again this long after a disturbance.
STABILITY_WINDOW_S: Final = 3.0
END_S: Final = 60.0

# The kinds of events, in the order in which those of one moment are played.
_ANSWERED, _GIVEN_UP, _REQUEST = range(3)

# Returns when a request sent at a time is answered.
AnswerTime = Callable[[float], float]


class Played(NamedTuple):
    """What one VM did about a server.

    Attributes
    ----------
    sent_s : list of float
        When it sent requests.
    given_up_s : list of float
        When it gave requests up.
    ejected_s : list of float
        When it ejected the server.
    """

    sent_s: list[float]
    given_up_s: list[float]
    ejected_s: list[float]


def play(answer_time: AnswerTime, end_s: float, period_s: float = 0.02) -> Played:
    """Play safe requests at regular times, for which other servers are available."""
    silences = ServerSilences()
    ejector = Ejector()
    ejector.set_servers({"plain": frozenset({"a", "b", "c"})})
    played = Played([], [], [])
    running = 0
    events = [
        (number * period_s, _REQUEST, 0.0) for number in range(int(end_s / period_s))
    ]
    while events:
        now_s, kind, sent_s = heapq.heappop(events)
        if kind == _REQUEST:
            if ejector.is_ejected("a", now_s) or not silences.may_send(
                SERVER, running, SLOTS, now_s, can_give_up=True
            ):
                continue
            running += 1
            played.sent_s.append(now_s)
            silences.request_sent(SERVER, now_s, is_only=running == 1)
            answered_s = answer_time(now_s)
            given_up_s = now_s + HEAD_TIMEOUT_S
            is_answered = answered_s <= given_up_s
            end = (answered_s, _ANSWERED) if is_answered else (given_up_s, _GIVEN_UP)
            heapq.heappush(events, (*end, now_s))
            continue
        running -= 1
        if kind == _ANSWERED:
            silences.bytes_received(SERVER, now_s)
            ejector.succeeded("a")
            continue
        played.given_up_s.append(now_s)
        failure = silences.request_given_up(SERVER, now_s - sent_s, now_s)
        if failure is not None and ejector.failed("a", failure, now_s):
            played.ejected_s.append(now_s)
    return played


def silent(begin_s: float, end_s: float) -> AnswerTime:
    """Return the answers of a server that sends nothing between two times."""

    def answer_time(sent_s: float) -> float:
        answered_s = sent_s + WORK_S
        return end_s if begin_s <= answered_s < end_s else answered_s

    return answer_time


def silent_every_other_second(sent_s: float) -> float:
    """Answer at once in one second, and nothing in the next."""
    answered_s = sent_s + WORK_S
    return answered_s if int(answered_s) % 2 == 0 else float(int(answered_s) + 1)


class PlayedServerTests(unittest.TestCase):
    def test_a_server_that_stops_is_ejected(self) -> None:
        played = play(silent(1.0, END_S), 30.0)
        self.assertLess(played.ejected_s[0], 1.0 + STABILITY_WINDOW_S)

    def test_a_server_that_stops_gets_few_requests(self) -> None:
        played = play(silent(1.0, END_S), 30.0)
        first_s = played.given_up_s[0]
        probes_s = [sent_s for sent_s in played.sent_s if sent_s > first_s]
        # Two before the ejection and one after each, of 5, 10 and 20 s.
        self.assertLessEqual(len(probes_s), 4)

    def test_a_server_that_stops_is_ejected_at_few_requests(self) -> None:
        played = play(silent(0.0, END_S), 30.0, period_s=2.0)
        self.assertLess(played.ejected_s[0], 3 * 2.0)

    def test_a_server_that_is_silent_for_a_second_is_not_ejected(self) -> None:
        for rate_per_s in (2, 10, 50, 200):
            with self.subTest(rate_per_s=rate_per_s):
                played = play(silent(1.0, 2.0), 10.0, 1.0 / rate_per_s)
                self.assertEqual(played.ejected_s, [])
                self.assertGreater(played.sent_s[-1], 9.0)

    def test_nothing_is_sent_to_a_silent_server_after_one_request_gave_up(self) -> None:
        played = play(silent(1.0, 2.0), 10.0)
        first_s = played.given_up_s[0]
        self.assertLess(first_s, 1.0 + HEAD_TIMEOUT_S)
        self.assertFalse([s for s in played.sent_s if first_s < s < 2.0])

    def test_a_server_that_is_silent_again_and_again_is_not_ejected(self) -> None:
        played = play(silent_every_other_second, END_S)
        self.assertEqual(played.ejected_s, [])
        self.assertGreater(len(played.given_up_s), 30)

    def test_a_server_that_answers_each_request_too_late_is_ejected(self) -> None:
        played = play(lambda sent_s: sent_s + 0.5, 30.0)
        self.assertLess(played.ejected_s[0], STABILITY_WINDOW_S)

    def test_a_server_that_is_slow_for_a_moment_is_not_ejected(self) -> None:
        played = play(lambda sent_s: sent_s + (0.5 if 1 < sent_s < 2 else 0.1), 30.0)
        self.assertEqual(played.ejected_s, [])


class ServerSilencesTests(unittest.TestCase):
    def setUp(self) -> None:
        self.silences = ServerSilences()

    def may_send(
        self, now_s: float, *, running: int = 0, can_give_up: bool = True
    ) -> bool:
        return self.silences.may_send(
            SERVER, running, SLOTS, now_s, can_give_up=can_give_up
        )

    def send_and_give_up(self, sent_s: float) -> FailureKind | None:
        """Send a request and give it up, without anything in between."""
        self.silences.request_sent(SERVER, sent_s, is_only=True)
        given_up_s = sent_s + HEAD_TIMEOUT_S
        return self.silences.request_given_up(SERVER, HEAD_TIMEOUT_S, given_up_s)

    def test_a_request_counts_if_others_were_answered_meanwhile(self) -> None:
        self.silences.request_sent(SERVER, 1.0, is_only=True)
        self.silences.request_sent(SERVER, 1.1, is_only=False)
        self.silences.bytes_received(SERVER, 1.3)
        failure = self.silences.request_given_up(SERVER, 0.4, 1.4)
        self.assertEqual(failure, "timeout")
        self.assertTrue(self.may_send(1.4))

    def test_a_request_sent_just_before_a_silence_does_not_count(self) -> None:
        self.silences.request_sent(SERVER, 1.0, is_only=True)
        self.silences.request_sent(SERVER, 1.0, is_only=False)
        self.silences.bytes_received(SERVER, 1.1)
        self.assertIsNone(self.silences.request_given_up(SERVER, 0.4, 1.4))
        self.assertFalse(self.may_send(1.4))

    def test_the_time_in_which_a_long_request_sent_nothing_is_no_silence(
        self,
    ) -> None:
        self.silences.request_sent(SERVER, 1.0, is_only=True)
        self.silences.request_sent(SERVER, 6.0, is_only=False)
        self.assertIsNone(self.silences.request_given_up(SERVER, 0.4, 6.4))
        self.silences.request_sent(SERVER, 7.1, is_only=False)
        self.assertEqual(self.silences.request_given_up(SERVER, 0.4, 7.6), "silent")

    def test_the_time_without_requests_is_no_silence(self) -> None:
        self.silences.request_sent(SERVER, 1.0, is_only=True)
        self.assertIsNone(self.send_and_give_up(50.0))

    def test_a_request_that_must_wait_is_no_probe_of_a_silent_server(self) -> None:
        self.send_and_give_up(1.0)
        probe_s = 1.0 + MAX_SOUND_SILENCE_S
        self.assertFalse(self.may_send(probe_s - 0.01))
        self.assertTrue(self.may_send(probe_s))
        self.assertFalse(self.may_send(probe_s, can_give_up=False))
        self.assertTrue(self.may_send(1.0 + LATE_PROBE_S, can_give_up=False))

    def test_probes_of_a_silent_server_come_one_after_the_other(self) -> None:
        self.send_and_give_up(1.0)
        self.silences.request_sent(SERVER, 3.0, is_only=True)
        self.assertFalse(self.may_send(3.0 + PROBE_PERIOD_S - 0.01))
        self.assertTrue(self.may_send(3.0 + PROBE_PERIOD_S))

    def test_requests_after_a_silence_rise_gradually(self) -> None:
        self.send_and_give_up(1.0)
        self.silences.bytes_received(SERVER, 2.0)
        self.assertTrue(self.may_send(2.0))
        self.assertFalse(self.may_send(2.0, running=1))
        self.assertTrue(self.may_send(2.0 + RAMP_S / 2, running=2))
        self.assertFalse(self.may_send(2.0 + RAMP_S / 2, running=3))
        self.assertTrue(self.may_send(2.0 + RAMP_S, running=9))

    def test_a_server_that_is_gone_is_forgotten(self) -> None:
        self.send_and_give_up(1.0)
        self.silences.keep_only(())
        self.assertTrue(self.may_send(1.5))


if __name__ == "__main__":
    unittest.main()
