"""Tests of when a member takes its leader for lost."""

import unittest

from _pistachiopond.decisions.leader_silence import (
    REPLY_TIMEOUT_S,
    STEP_S,
    LeaderSilence,
)


def lost_after_s(standstill_s: float = 0.0) -> float:
    """Return after how long the leader counts as lost."""
    silence = LeaderSilence(0.0)
    now_s = standstill_s
    while not silence.is_lost(now_s):
        now_s += STEP_S
    return now_s


class LeaderSilenceTests(unittest.TestCase):
    def test_a_leader_that_sends_nothing_is_lost_after_the_reply_timeout(self) -> None:
        after_s = lost_after_s()
        self.assertLessEqual(after_s, REPLY_TIMEOUT_S + 1.5 * STEP_S)

    def test_a_member_does_not_count_its_own_standstill(self) -> None:
        # Replies that had come meanwhile were not read before the leader was given up.
        after_s = lost_after_s(standstill_s=5.0)
        self.assertGreaterEqual(after_s, 5.0 + REPLY_TIMEOUT_S - 2 * STEP_S)


if __name__ == "__main__":
    unittest.main()
