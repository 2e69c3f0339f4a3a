"""Tests of checking measures against the stated outcomes."""

import unittest

from _pistachiopond.replay.outcomes import missed_outcomes, unmeasured_outcomes


class MissedOutcomesTests(unittest.TestCase):
    def test_a_value_beyond_its_bound_is_a_miss(self) -> None:
        misses = missed_outcomes("calm", {"attainment": 0.94})
        self.assertEqual([miss.value for miss in misses], [0.94])
        self.assertEqual(missed_outcomes("calm", {"attainment": 0.95}), ())

    def test_bounds_of_other_scopes_do_not_apply(self) -> None:
        self.assertEqual(missed_outcomes("two_faults", {"attainment": 0.85}), ())

    def test_a_missing_measure_is_listed_as_unmeasured(self) -> None:
        names = {outcome.measure for outcome in unmeasured_outcomes("calm", {})}
        self.assertIn("enforcement_s", names)
