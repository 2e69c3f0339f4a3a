"""Tests of cold servers: rule FAILBACK, and that their rate is used meanwhile."""

import unittest

from testing.vm.cold_servers import CASES, play_case


class ColdServerTests(unittest.TestCase):
    def test_cold_servers_get_their_rate_and_no_more_until_they_are_warm(self) -> None:
        for case in CASES:
            with self.subTest(case=case.name):
                figures = play_case(case, 11)
                self.assertEqual(figures.problems(case), [], figures)
