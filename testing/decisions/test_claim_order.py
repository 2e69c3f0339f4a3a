"""Tests of the order in which VMs claim a free lead."""

import unittest

from _pistachiopond.decisions.claim_order import claim_preference


class ClaimOrderTests(unittest.TestCase):
    def test_vms_with_room_claim_before_small_ones_whatever_is_drawn(self) -> None:
        # A VM with 0.4 of a core that led answered its members too late.
        for first, last in (
            ((1.0, 1000.0), (0.4, 1000.0)),
            ((2.0, 1000.0), (0.8, 1000.0)),
            ((1.0, 1000.0), (2.0, 10.0)),
            ((0.8, 60.0), (0.25, 60.0)),
        ):
            latest = claim_preference(*first, 1.0)
            self.assertLessEqual(latest, claim_preference(*last, 0.0), (first, last))

    def test_more_room_never_claims_later(self) -> None:
        cores = (0.0, 0.12, 0.387, 0.5, 0.8, 1.0, 2.15, 64.0)
        links = (0.0, 5.0, 50.0, 100.0, 1000.0)
        for values in (
            [claim_preference(each, 1000.0, 0.5) for each in cores],
            [claim_preference(1.0, each, 0.5) for each in links],
        ):
            self.assertEqual(values, sorted(values, reverse=True))

    def test_equal_vms_claim_apart_within_the_spread(self) -> None:
        for cores, link_mbps in ((0.12, 5.0), (0.387, 50.0), (2.15, 1000.0)):
            values = [claim_preference(cores, link_mbps, n / 10) for n in range(11)]
            self.assertGreaterEqual(values[0], 0.0)
            self.assertLessEqual(values[-1], 1.0)
            self.assertGreaterEqual(values[-1] - values[0], 0.25)


if __name__ == "__main__":
    unittest.main()
