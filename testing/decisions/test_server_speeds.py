"""Tests of learned speeds of servers, with servers at 0.6, 1.0 and 1.6 of one speed."""

import math
import random
import unittest
from collections import Counter

from _pistachiopond.decisions.prompt_pacing import (
    PacingLimits,
    PromptCandidate,
    PromptPacer,
)
from _pistachiopond.decisions.server_choice import Candidate, rank_candidates
from _pistachiopond.decisions.server_speeds import (
    MIN_SAMPLES,
    ServerSpeeds,
    SpeedSample,
    SpeedSamples,
)
from testing.decisions.queue_callers import PATIENT, QueueRun

TRUE_SPEEDS = [0.6, 0.6, 1.0, 1.0, 1.6, 1.6]
STARTED = {f"s{n}": 1 for n in range(len(TRUE_SPEEDS))}
MEMBERS = 60
SAMPLES_PER_MEMBER = 2


def learn(
    speeds: ServerSpeeds, true: list[float], seed: int, *, seconds: int = 20
) -> None:
    """Report a few samples of each member a second."""
    rng = random.Random(seed)
    for second in range(seconds):
        for _ in range(MEMBERS):
            samples = SpeedSamples()
            for _ in range(SAMPLES_PER_MEMBER):
                number = rng.randrange(len(true))
                run_s = rng.lognormvariate(-2.0, 0.5) / true[number]
                samples.add((f"s{number}", 1), "engines/m1", run_s)
            speeds.record(samples.take())
        speeds.update(STARTED, float(second))


class ServerSpeedTests(unittest.TestCase):
    def test_thin_samples_of_many_members_tell_the_speeds(self) -> None:
        for seed in range(3):
            speeds = ServerSpeeds()
            learn(speeds, TRUE_SPEEDS, seed)
            mean = math.exp(sum(map(math.log, TRUE_SPEEDS)) / len(TRUE_SPEEDS))
            for number, true in enumerate(TRUE_SPEEDS):
                told = speeds.told().get((f"s{number}", 1), 1.0)
                self.assertAlmostEqual(math.log(told), math.log(true / mean), delta=0.2)

    def test_servers_that_are_equal_within_noise_are_not_told_apart(self) -> None:
        for seed in range(10):
            speeds = ServerSpeeds()
            learn(speeds, [1.0, 1.05, 0.97, 1.0, 1.03, 0.95], seed)
            self.assertEqual(speeds.told(), {})

    def test_only_changes_of_more_than_a_tenth_are_told(self) -> None:
        speeds = ServerSpeeds()
        learn(speeds, TRUE_SPEEDS, 1)
        learn_again = [speeds.update(STARTED, 20.0 + n) for n in range(5)]
        self.assertEqual(learn_again, [{}] * 5)

    def test_a_server_that_restarts_counts_as_mean(self) -> None:
        speeds = ServerSpeeds()
        learn(speeds, TRUE_SPEEDS, 1)
        self.assertIn(("s0", 1), speeds.told())
        speeds.update(STARTED | {"s0": 2}, 30.0)
        self.assertNotIn(("s0", 1), speeds.told())
        self.assertNotIn(("s0", 2), speeds.told())

    def test_a_new_leader_goes_on_with_what_was_told(self) -> None:
        speeds = ServerSpeeds()
        speeds.adopt({("s0", 1): 0.6, ("gone", 1): 2.0})
        speeds.update(STARTED, 0.0)
        self.assertEqual(speeds.told(), {("s0", 1): 0.6})

    def test_samples_that_make_no_sense_are_not_used(self) -> None:
        speeds = ServerSpeeds()
        learn(speeds, [1.0] * 6, 1)
        for count, total, squares in (
            (0, 0.0, 0.0),
            (10**9, 1e9, 1e9),
            (500, math.nan, 1.0),
            (500, 1e9, 1.0),
            (500, 1.0, math.inf),
        ):
            sample = SpeedSample("s0", 1, "engines/m1", count, total, squares)
            speeds.record([sample])
        speeds.update(STARTED, 30.0)
        self.assertEqual(speeds.told(), {})

    def test_too_few_samples_tell_nothing(self) -> None:
        speeds = ServerSpeeds()
        samples = SpeedSamples()
        for number in range(round(MIN_SAMPLES) - 1):
            samples.add(("s0", 1), "k", 9.0 + number * 0.01)
            samples.add(("s1", 1), "k", 1.0)
        speeds.record(samples.take())
        self.assertEqual(speeds.update(STARTED, 0.0), {})


class ChoiceTests(unittest.TestCase):
    def test_a_fast_server_is_preferred_at_a_higher_load(self) -> None:
        slow = Candidate("slow", 4.0, 10, True, False, 0.6)
        fast = Candidate("fast", 6.0, 10, True, False, 1.6)
        first = rank_candidates([slow, fast], None, random.Random(1))[0]
        self.assertEqual(first.server_id, "fast")
        even = [item._replace(speed=1.0) for item in (slow, fast)]
        first = rank_candidates(even, None, random.Random(1))[0]
        self.assertEqual(first.server_id, "slow")

    def test_prompts_are_paced_by_speed(self) -> None:
        candidates = [PromptCandidate(name, 0.0, 10, 0.0) for name in ("a", "b")]
        load = {"a": 4.0, "b": 6.0}
        limits = PacingLimits(0.2, 0.1)
        for speeds, chosen in (({}, 0), ({"a": 0.6, "b": 1.6}, 1)):
            decision = PromptPacer().schedule(
                candidates, limits, load, 0.2, 0.0, speeds
            )
            self.assertEqual(decision.candidate_index, chosen)

    def test_answers_end_sooner_while_there_is_room(self) -> None:
        """Guards against slow servers that get as much as fast ones with room."""
        means_s, in_time = {}, {}
        for is_known in (False, True):
            durations_s: list[float] = []
            ends: Counter[str] = Counter()
            for seed in range(1, 5):
                route = PATIENT._replace(rate_per_s=6.0)
                run = QueueRun(seed, TRUE_SPEEDS, refuses=False, routes=(route,))
                if is_known:
                    run.speeds = {f"s{n}": speed for n, speed in enumerate(TRUE_SPEEDS)}
                run.run()
                durations_s += run.durations_s
                for (_, end), count in run.ends.items():
                    ends[end] += count
            means_s[is_known] = sum(durations_s) / len(durations_s)
            in_time[is_known] = ends["in_time"] / sum(ends.values())
        self.assertLess(means_s[True], 0.9 * means_s[False])
        self.assertGreater(in_time[True], in_time[False] - 0.01)


if __name__ == "__main__":
    unittest.main()
