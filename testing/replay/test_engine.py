"""Tests of the fake engine."""

import unittest

from _pistachiopond.replay.engine import FakeEngine, Job
from _pistachiopond.replay.parameters import EngineParameters

PARAMETERS = EngineParameters()


def make_job(name: str, output: int = 10, prefix: tuple[str, ...] = ()) -> Job:
    return Job(name, 1, 1_200, output, prefix)


class FakeEngineTests(unittest.TestCase):
    def test_a_job_takes_its_prefill_and_generation_time(self) -> None:
        engine = FakeEngine(PARAMETERS)
        engine.submit(make_job("a"))
        times: dict[str, float] = {}
        for step in range(1, 1_000):
            now_s = step / 1_000
            for event in engine.advance(now_s):
                times[event.kind] = now_s
        prefill_s = 1_200 / PARAMETERS.prefill_tokens_per_s
        gap_s = PARAMETERS.gap_base_s + PARAMETERS.gap_per_sequence_s
        self.assertAlmostEqual(times["first_token"], prefill_s, delta=0.002)
        self.assertAlmostEqual(times["finished"], prefill_s + 10 * gap_s, delta=0.002)

    def test_a_larger_batch_generates_slower_per_sequence(self) -> None:
        ends = []
        for count in (1, 30):
            engine = FakeEngine(PARAMETERS)
            for number in range(count):
                engine.submit(make_job(str(number), output=1_000))
            engine.advance(10.0)
            ends.append(engine.queued_tokens() / count)
        self.assertGreater(ends[1], ends[0])

    def test_only_the_uncached_part_of_a_prompt_is_computed(self) -> None:
        engine = FakeEngine(PARAMETERS)
        prefix = tuple(f"p{number}" for number in range(10))
        engine.submit(make_job("a", prefix=prefix))
        engine.advance(5.0)
        before = engine.prefilled_tokens
        engine.submit(make_job("b", prefix=prefix))
        engine.advance(10.0)
        self.assertAlmostEqual(engine.prefilled_tokens - before, 1_200 - 640, delta=1)

    def test_a_cancelled_job_sends_no_events_and_is_removed(self) -> None:
        engine = FakeEngine(PARAMETERS)
        engine.submit(make_job("a", output=500))
        engine.advance(1.0)
        engine.cancel("a")
        self.assertEqual(engine.advance(60.0), [])
        self.assertEqual(engine.job_count(), 0)
