"""Tests of prompts that are spread over time, with a model of how servers read them.

The load: a model has just been loaded, and all requests that waited for it are
released while the server runs streams of other models.
"""

import random
import unittest
from typing import NamedTuple

from _pistachiopond.decisions.prompt_pacing import (
    FIRST_SAMPLES,
    PromptPace,
    PromptPlace,
    PromptTerms,
    ReadRate,
)

# A server of this model: one token of every stream in each step, and a piece of the
# prompts that wait.
STEP_S = 0.005
READ_TOKENS_PER_S = 38_000.0
PIECE_TOKENS = 2_048
EVENT_TOKENS = 6
GAP_AIM_S = 0.15
FIRST_AIM_S = 0.3
HOLD_S = 0.12
# Between two reports of a VM.
PERIOD_S = 0.3


class Prompt(NamedTuple):
    """A prompt that reaches the server."""

    at_s: float
    tokens: int


class Played(NamedTuple):
    """What callers saw."""

    longest_pause_s: float
    latest_read_s: float


def play(prompts: list[Prompt]) -> Played:
    """Let a server with a running stream read the prompts."""
    now_s, event_s, tokens, unread = 0.0, 0.0, 0, 0.0
    waiting = sorted(prompts)
    longest_s = 0.0
    latest_s = 0.0
    while waiting or unread or now_s < 1.0:
        while waiting and waiting[0].at_s <= now_s:
            unread += waiting.pop(0).tokens
        piece = min(unread, PIECE_TOKENS)
        unread -= piece
        now_s += STEP_S + piece / READ_TOKENS_PER_S
        latest_s = now_s if piece else latest_s
        tokens += 1
        if tokens % EVENT_TOKENS == 0:
            longest_s = max(longest_s, now_s - event_s)
            event_s = now_s
    return Played(longest_s, latest_s)


def paced(pace: PromptPace, prompts: list[Prompt], most_s: float) -> list[Prompt]:
    """Return when the prompts are sent to the one server that may get them."""
    sent = []
    for prompt in sorted(prompts):
        place = PromptPlace("s1", prompt.tokens / READ_TOKENS_PER_S, 64, 0.0)
        terms = PromptTerms(GAP_AIM_S, most_s)
        answer = pace.book([place], terms, {}, PERIOD_S, prompt.at_s)
        sent.append(prompt._replace(at_s=prompt.at_s + answer.wait_s))
    return sent


class PromptPaceTests(unittest.TestCase):
    def test_requests_released_together_do_not_make_streams_pause(self) -> None:
        rng = random.Random(5)
        for count in (10, 20, 30):
            burst = [Prompt(0.3, rng.randint(200, 900)) for _ in range(count)]
            sent = paced(PromptPace(), burst, most_s=1.0)
            self.assertLessEqual(play(sent).longest_pause_s, GAP_AIM_S)
            without_pace = play(burst)
            if count >= 20:
                self.assertGreater(without_pace.longest_pause_s, GAP_AIM_S)
            # The last is read later only by what the pace leaves for other tokens.
            delay_s = play(sent).latest_read_s - without_pace.latest_read_s
            self.assertLess(delay_s, FIRST_AIM_S - HOLD_S)

    def test_a_steady_load_within_the_pace_is_not_held_back(self) -> None:
        load = [Prompt(0.04 * number, 700) for number in range(50)]
        self.assertEqual(paced(PromptPace(), load, HOLD_S), load)

    def test_nobody_is_held_back_for_longer_than_allowed(self) -> None:
        load = [Prompt(0.005 * number, 700) for number in range(200)]
        sent = paced(PromptPace(), load, HOLD_S)
        pairs = zip(load, sent, strict=True)
        waits = [after.at_s - before.at_s for before, after in pairs]
        self.assertLessEqual(max(waits), HOLD_S + 1e-9)
        # After the overload the server is free again within what may be held back.
        pace = PromptPace()
        paced(pace, load, HOLD_S)
        later = Prompt(1.0 + GAP_AIM_S + HOLD_S, 700)
        self.assertEqual(paced(pace, [later], HOLD_S), [later])

    def test_a_prompt_goes_to_the_server_that_has_less_to_read(self) -> None:
        pace = PromptPace()
        places = [PromptPlace("s1", 0.2, 64, 0.0), PromptPlace("s2", 0.02, 64, 0.0)]
        terms = PromptTerms(GAP_AIM_S, HOLD_S)
        for expected in (0, 1):
            answer = pace.book(places, terms, {}, PERIOD_S, 0.0)
            self.assertEqual(answer, (expected, 0.0))

    def test_vms_that_ask_at_once_do_not_all_get_the_emptiest_server(self) -> None:
        # Reports of load are old by up to a period; all VMs see the same one as empty.
        pace = PromptPace()
        places = [PromptPlace(f"s{n}", 0.002, 12, 0.0) for n in range(4)]
        load = {"s0": 0.0, "s1": 6.0, "s2": 6.0, "s3": 6.0}
        terms = PromptTerms(GAP_AIM_S, HOLD_S)
        sent = dict.fromkeys(load, 0)
        for number in range(24):
            answer = pace.book(places, terms, load, PERIOD_S, number * 0.002)
            sent[f"s{answer.place}"] += 1
        at_servers = [load[name] + count for name, count in sent.items()]
        self.assertLessEqual(max(at_servers), 12)
        # Long after, what was sent is in the reports and counts no more.
        answer = pace.book(places, terms, load, PERIOD_S, 10.0)
        self.assertEqual(answer.place, 0)


class ReadRateTests(unittest.TestCase):
    def test_the_rate_is_learned_from_the_longer_prompts(self) -> None:
        rate = ReadRate()
        rng = random.Random(3)
        self.assertEqual(rate.duration_s(1_000), 0.0)
        for _ in range(400):
            tokens = rng.randint(100, 2_000)
            queue_s = rng.choice((0.0, 0.0, 0.0, 0.02))
            rate.took(tokens, 0.004 + queue_s + tokens / READ_TOKENS_PER_S)
        true_s = 1_000 / READ_TOKENS_PER_S
        self.assertAlmostEqual(rate.duration_s(1_000), true_s, delta=0.4 * true_s)

    def test_a_few_prompts_are_not_enough(self) -> None:
        rate = ReadRate()
        for _ in range(FIRST_SAMPLES - 1):
            rate.took(1_000, 0.03)
        self.assertEqual(rate.duration_s(1_000), 0.0)
        rate.took(1_000, 0.03)
        self.assertGreater(rate.duration_s(1_000), 0.0)


if __name__ == "__main__":
    unittest.main()
