"""Tests of servers that name the rate of requests that they take from all VMs."""

import unittest

from testing.vm.rate_limited_servers import CASES, play_case

SEEDS = (11, 12)


class NamedRateTests(unittest.TestCase):
    def test_servers_get_no_more_than_the_rate_that_they_name(self) -> None:
        for case in CASES:
            for seed in SEEDS:
                with self.subTest(case=case.name, seed=seed):
                    figures = play_case(case, seed)
                    self.assertEqual(figures.excesses(), [], figures)
