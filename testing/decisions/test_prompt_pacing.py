"""Tests of prompt pacing, with a simulation of how a server prefills prompts.

The load: a model has just been loaded, and all requests that waited for it are
released at once, while the server runs streams of other models. Without pacing these
streams stall during prefill.
"""

import random
import unittest
from typing import NamedTuple

from _pistachiopond.decisions.prompt_pacing import (
    MIN_SAMPLES,
    PacingLimits,
    PrefillRate,
    PromptCandidate,
    PromptPacer,
)

# The simulated server generates one token of each stream in every step, and prefills
# one chunk of the queued prompts.
STEP_S = 0.005
PREFILL_TOKENS_PER_S = 38_000.0
CHUNK_TOKENS = 2_048
EVENT_TOKENS = 6
GAP_OBJECTIVE_S = 0.15
LATENCY_OBJECTIVE_S = 0.3
MAX_DELAY_S = 0.12
# The time between two reports of a VM.
PERIOD_S = 0.3


class Prompt(NamedTuple):
    """A prompt that reaches the server."""

    at_s: float
    tokens: int


class SimulatedStream(NamedTuple):
    """What the callers observed."""

    longest_pause_s: float
    last_prefill_s: float


def simulate(prompts: list[Prompt]) -> SimulatedStream:
    """Simulate a server with a running stream that prefills the prompts."""
    now_s, event_s, tokens, unprefilled = 0.0, 0.0, 0, 0.0
    waiting = sorted(prompts)
    longest_s = 0.0
    latest_s = 0.0
    while waiting or unprefilled or now_s < 1.0:
        while waiting and waiting[0].at_s <= now_s:
            unprefilled += waiting.pop(0).tokens
        chunk = min(unprefilled, CHUNK_TOKENS)
        unprefilled -= chunk
        now_s += STEP_S + chunk / PREFILL_TOKENS_PER_S
        latest_s = now_s if chunk else latest_s
        tokens += 1
        if tokens % EVENT_TOKENS == 0:
            longest_s = max(longest_s, now_s - event_s)
            event_s = now_s
    return SimulatedStream(longest_s, latest_s)


def schedule(
    pacer: PromptPacer, prompts: list[Prompt], max_delay_s: float
) -> list[Prompt]:
    """Return the prompts with the paced times at which the only server gets them."""
    sent = []
    for prompt in sorted(prompts):
        candidate = PromptCandidate("s1", prompt.tokens / PREFILL_TOKENS_PER_S, 64, 0.0)
        limits = PacingLimits(GAP_OBJECTIVE_S, max_delay_s)
        decision = pacer.schedule([candidate], limits, {}, PERIOD_S, prompt.at_s)
        sent.append(prompt._replace(at_s=prompt.at_s + decision.wait_s))
    return sent


class PromptPacerTests(unittest.TestCase):
    def test_prompts_released_together_do_not_stall_streams(self) -> None:
        rng = random.Random(5)
        for count in (10, 20, 30):
            burst = [Prompt(0.3, rng.randint(200, 900)) for _ in range(count)]
            sent = schedule(PromptPacer(), burst, max_delay_s=1.0)
            self.assertLessEqual(simulate(sent).longest_pause_s, GAP_OBJECTIVE_S)
            without_pacing = simulate(burst)
            if count >= 20:
                self.assertGreater(without_pacing.longest_pause_s, GAP_OBJECTIVE_S)
            # Pacing delays the last prompt only by the time left for decoding.
            delay_s = simulate(sent).last_prefill_s - without_pacing.last_prefill_s
            self.assertLess(delay_s, LATENCY_OBJECTIVE_S - MAX_DELAY_S)

    def test_a_steady_load_is_not_delayed(self) -> None:
        load = [Prompt(0.04 * number, 700) for number in range(50)]
        self.assertEqual(schedule(PromptPacer(), load, MAX_DELAY_S), load)

    def test_no_prompt_is_delayed_longer_than_allowed(self) -> None:
        load = [Prompt(0.005 * number, 700) for number in range(200)]
        sent = schedule(PromptPacer(), load, MAX_DELAY_S)
        pairs = zip(load, sent, strict=True)
        waits = [after.at_s - before.at_s for before, after in pairs]
        self.assertLessEqual(max(waits), MAX_DELAY_S + 1e-9)
        # After the overload, prompts are no longer delayed once the maximum delay
        # has passed.
        pacer = PromptPacer()
        schedule(pacer, load, MAX_DELAY_S)
        later = Prompt(1.0 + GAP_OBJECTIVE_S + MAX_DELAY_S, 700)
        self.assertEqual(schedule(pacer, [later], MAX_DELAY_S), [later])

    def test_a_prompt_goes_to_the_server_with_the_smaller_backlog(self) -> None:
        pacer = PromptPacer()
        candidates = [
            PromptCandidate("s1", 0.2, 64, 0.0),
            PromptCandidate("s2", 0.02, 64, 0.0),
        ]
        limits = PacingLimits(GAP_OBJECTIVE_S, MAX_DELAY_S)
        for expected in (0, 1):
            decision = pacer.schedule(candidates, limits, {}, PERIOD_S, 0.0)
            self.assertEqual(decision, (expected, 0.0))

    def test_vms_that_ask_at_once_do_not_all_get_the_least_loaded_server(self) -> None:
        # Load reports are up to one period old; all VMs see the same server as idle.
        pacer = PromptPacer()
        candidates = [PromptCandidate(f"s{n}", 0.002, 12, 0.0) for n in range(4)]
        load = {"s0": 0.0, "s1": 6.0, "s2": 6.0, "s3": 6.0}
        limits = PacingLimits(GAP_OBJECTIVE_S, MAX_DELAY_S)
        sent = dict.fromkeys(load, 0)
        for number in range(24):
            decision = pacer.schedule(
                candidates, limits, load, PERIOD_S, number * 0.002
            )
            sent[f"s{decision.candidate_index}"] += 1
        at_servers = [load[name] + count for name, count in sent.items()]
        self.assertLessEqual(max(at_servers), 12)
        # Later, the sent prompts are included in the reports and not counted again.
        decision = pacer.schedule(candidates, limits, load, PERIOD_S, 10.0)
        self.assertEqual(decision.candidate_index, 0)


class PrefillRateTests(unittest.TestCase):
    def test_the_rate_is_estimated_from_the_longer_prompts(self) -> None:
        rate = PrefillRate()
        rng = random.Random(3)
        self.assertEqual(rate.duration_s(1_000), 0.0)
        for _ in range(400):
            tokens = rng.randint(100, 2_000)
            queue_s = rng.choice((0.0, 0.0, 0.0, 0.02))
            rate.add_sample(tokens, 0.004 + queue_s + tokens / PREFILL_TOKENS_PER_S)
        true_s = 1_000 / PREFILL_TOKENS_PER_S
        self.assertAlmostEqual(rate.duration_s(1_000), true_s, delta=0.4 * true_s)

    def test_the_rate_is_unknown_until_there_are_enough_samples(self) -> None:
        rate = PrefillRate()
        for _ in range(MIN_SAMPLES - 1):
            rate.add_sample(1_000, 0.03)
        self.assertEqual(rate.duration_s(1_000), 0.0)
        rate.add_sample(1_000, 0.03)
        self.assertGreater(rate.duration_s(1_000), 0.0)


if __name__ == "__main__":
    unittest.main()
