"""Tests of when a member takes its leader for lost."""

import unittest
from collections.abc import Callable

from _pistachiopond.decisions.leader_silence import (
    MAX_REPLY_WAIT_S,
    REPLY_TIMEOUT_S,
    STEP_S,
    LeaderSilence,
)


def lost_after_s(has_line: Callable[[float], bool], standstill_s: float = 0.0) -> float:
    """Return after how long the leader counts as lost, given when it sends lines."""
    silence = LeaderSilence(0.0)
    now_s = standstill_s
    while not silence.is_lost(now_s):
        now_s += STEP_S
        if has_line(now_s):
            silence.line_received()
    return now_s


class LeaderSilenceTests(unittest.TestCase):
    def test_a_leader_that_sends_nothing_is_lost_after_the_reply_timeout(self) -> None:
        after_s = lost_after_s(lambda now_s: False)
        self.assertLessEqual(after_s, REPLY_TIMEOUT_S + 1.5 * STEP_S)

    def test_a_leader_that_sends_other_lines_may_reply_late(self) -> None:
        # A leader whose event loop stalls for 0.4 s at a time was replaced.
        after_s = lost_after_s(lambda now_s: round(now_s / STEP_S) % 4 == 0)
        self.assertGreaterEqual(after_s, MAX_REPLY_WAIT_S - STEP_S)
        self.assertLessEqual(after_s, MAX_REPLY_WAIT_S + 1.5 * STEP_S)

    def test_a_member_does_not_count_its_own_standstill(self) -> None:
        # Replies that had come meanwhile were not read before the leader was given up.
        after_s = lost_after_s(lambda now_s: False, standstill_s=5.0)
        self.assertGreaterEqual(after_s, 5.0 + REPLY_TIMEOUT_S - 2 * STEP_S)


if __name__ == "__main__":
    unittest.main()
