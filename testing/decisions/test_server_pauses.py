"""Tests of the pauses that servers ask for."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.decisions.server_pauses import (
    MAX_PAUSE_S,
    RAMP_S,
    ServerPauses,
    plan_pause_wait,
)

SERVER = ("s1", 1_000)
SLOTS = 8


class ServerPauseTests(unittest.TestCase):
    def setUp(self) -> None:
        self.pauses = ServerPauses()

    def test_nothing_is_sent_until_the_end_of_the_pause(self) -> None:
        self.assertTrue(self.pauses.begin(SERVER, 2.5, 10.0))
        self.assertFalse(self.pauses.may_send(SERVER, 0, SLOTS, 12.4))
        self.assertTrue(self.pauses.may_send(SERVER, 0, SLOTS, 12.6))

    def test_a_shorter_pause_does_not_withdraw_a_longer_one(self) -> None:
        self.pauses.begin(SERVER, 5.0, 10.0)
        self.assertFalse(self.pauses.begin(SERVER, 0.1, 11.0))
        self.assertFalse(self.pauses.may_send(SERVER, 0, SLOTS, 14.0))

    def test_another_incarnation_has_no_pause(self) -> None:
        self.pauses.begin(SERVER, 5.0, 10.0)
        self.assertTrue(self.pauses.may_send(("s1", 2_000), 0, SLOTS, 11.0))

    def test_an_endless_pause_is_bounded(self) -> None:
        self.pauses.begin(SERVER, float("inf"), 0.0)
        self.assertTrue(self.pauses.may_send(SERVER, 0, SLOTS, MAX_PAUSE_S + 1.0))

    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 200), st.floats(0.05, 30.0))
    def test_waiting_requests_are_released_gradually(
        self, waiting: int, pause_s: float
    ) -> None:
        """All requests that wait look again at once, at each step of 10 ms."""
        pauses = ServerPauses()
        pauses.begin(SERVER, pause_s, 0.0)
        running = 0
        for step in range(int((pause_s + 0.5) * 100)):
            now_s = step / 100
            for _ in range(waiting):
                if pauses.may_send(SERVER, running, SLOTS, now_s):
                    running += 1
            if now_s < pause_s:
                self.assertEqual(running, 0)
            elif now_s < pause_s + RAMP_S / 4:
                self.assertLessEqual(running, 1 + SLOTS // 4 + 1)

    def test_ended_pauses_are_forgotten(self) -> None:
        self.pauses.begin(SERVER, 1.0, 0.0)
        self.pauses.drop_ended(0.5)
        self.assertEqual(self.pauses.paused(0.5), {"s1"})
        self.pauses.drop_ended(1.1 + RAMP_S)
        self.assertIsNone(self.pauses.resume_s(SERVER, 1.1))

    def test_a_request_waits_only_if_the_pause_ends_in_time(self) -> None:
        self.assertEqual(plan_pause_wait(12.0, 13.0, 10.0).until_s, 12.0)
        refused = plan_pause_wait(14.0, 13.0, 10.0)
        self.assertIsNone(refused.until_s)
        self.assertEqual(refused.retry_after_s, 4.0)


if __name__ == "__main__":
    unittest.main()
