"""Paces prompts, so that prefill does not stall the token streams of a server.

A server prefills prompts in large chunks between the decode steps of its streams.
When several prompts arrive within a short time, all streams on the server stall until
the prompts are prefilled. So the leader tracks each server's prefill backlog, the time
it needs for the prompts sent to it, and delays prompts so that the backlog stays
bounded. This matters for bursts of prompts at a few replicas of a model, such as
requests that waited for the model to load and are released together.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.server_choice import load_cost

# Share of a server's time for prefill. The rest is for decoding its streams, whose
# tokens take over three times as long during prefill.
PREFILL_TIME_SHARE: Final = 0.65
# Largest prefill backlog, as a share of the longest pause that a route allows. The rest
# is for decoding the tokens of one event at the speed that `PREFILL_TIME_SHARE` leaves.
MAX_BACKLOG_SHARE: Final = 0.2
# A server with one more second of prefill backlog than another is chosen only if the
# other's utilisation is higher by this much.
BACKLOG_COST_PER_S: Final = 8.0
# State of a server without recent prompts is dropped after this time, which is longer
# than the report period with the most VMs.
IDLE_SERVER_TTL_S: Final = 5.0
# The estimated quantile of the prefill rates: this share of the prompts is prefilled
# more slowly. Prompts that queue behind others seem slow, and prompts whose prefix is
# cached seem fast.
RATE_QUANTILE: Final = 0.5
# Step size of the rate estimate, relative to the estimate.
RATE_STEP: Final = 0.04
# Number of samples before the estimate is used.
MIN_SAMPLES: Final = 8
# Weight of the newest prompt in the moving average of prompt lengths.
MEAN_LENGTH_WEIGHT: Final = 0.05


@final
class PrefillRate:
    """Estimates the prefill rate of one server from the delays of first events."""

    def __init__(self) -> None:
        self._tokens_per_s = 0.0
        self._mean_tokens = 0.0
        self._samples = 0

    def add_sample(self, tokens: int, seconds: float) -> None:
        """Update the estimate with a prompt that was prefilled.

        Parameters
        ----------
        tokens : int
            The length of the prompt.
        seconds : float
            The time from sending the prompt to the first event.
        """
        self._mean_tokens += MEAN_LENGTH_WEIGHT * (tokens - self._mean_tokens)
        # The delay of short prompts is mostly due to other work than prefill.
        if tokens < self._mean_tokens or seconds <= 0.0:
            return
        rate = tokens / seconds
        self._samples += 1
        if self._samples == 1:
            self._tokens_per_s = rate
        elif rate > self._tokens_per_s:
            self._tokens_per_s *= 1.0 + RATE_STEP * RATE_QUANTILE
        else:
            self._tokens_per_s *= 1.0 - RATE_STEP * (1.0 - RATE_QUANTILE)

    def duration_s(self, tokens: int) -> float:
        """Return the expected prefill time of a prompt; 0 if it is unknown."""
        if self._samples < MIN_SAMPLES:
            return 0.0
        return tokens / self._tokens_per_s


class PromptCandidate(NamedTuple):
    """A server that the prompt can be sent to.

    Attributes
    ----------
    server_id : str
        The server's name.
    prefill_s : float
        The expected prefill time of the prompt; 0 if it is unknown.
    slots : int
        The number of requests that the server runs concurrently.
    bias : float
        Added to the server's utilisation for this request.
    """

    server_id: str
    prefill_s: float
    slots: int
    bias: float


class PacingLimits(NamedTuple):
    """The limits that a prompt's route sets.

    Attributes
    ----------
    gap_objective_s : float
        The longest pause between the events of a stream.
    max_delay_s : float
        The longest time that the prompt may be delayed.
    """

    gap_objective_s: float
    max_delay_s: float


class PacingDecision(NamedTuple):
    """The index of the chosen candidate, and the delay before sending the prompt."""

    candidate_index: int
    wait_s: float


@final
class PromptPacer:
    """Tracks each server's prefill backlog and the prompts recently sent to it."""

    def __init__(self) -> None:
        self._prefill_until_s: dict[str, float] = {}
        self._send_times_s: dict[str, deque[float]] = {}

    def schedule(
        self,
        candidates: Sequence[PromptCandidate],
        limits: PacingLimits,
        load: Mapping[str, float],
        period_s: float,
        now_s: float,
        speeds: Mapping[str, float] = MappingProxyType({}),
    ) -> PacingDecision:
        """Choose the server and the time to send a prompt, and reserve its prefill.

        Parameters
        ----------
        candidates : sequence of PromptCandidate
            Servers that the prompt can be sent to, the preferred first; at least one.
        limits : PacingLimits
            The limits of its route.
        load : mapping of str to float
            The number of requests at each server, as reported by the VMs.
        period_s : float
            The time between two reports of a VM.
        now_s : float
            The time in seconds.
        speeds : mapping of str to float
            Servers that are faster or slower than the mean of their service, which is
            1.
        """
        max_backlog_s = limits.gap_objective_s * MAX_BACKLOG_SHARE
        backlogs_s = [
            self._backlog_s(candidate.server_id, now_s) for candidate in candidates
        ]

        def cost(index: int) -> float:
            candidate = candidates[index]
            requests = self.expected_load(candidate.server_id, load, period_s, now_s)
            speed = speeds.get(candidate.server_id, 1.0)
            utilisation = (requests + 1.0) / max(1, candidate.slots)
            return (
                load_cost(utilisation, speed)
                + candidate.bias
                + BACKLOG_COST_PER_S * backlogs_s[index]
            )

        index = min(range(len(candidates)), key=cost)
        chosen = candidates[index]
        # A prompt is never delayed for longer than `max_delay_s`. What exceeds that is
        # not added to the backlog, so that later prompts do not wait for it.
        prefill_until_s = now_s + backlogs_s[index]
        self._prefill_until_s[chosen.server_id] = min(
            prefill_until_s + chosen.prefill_s / PREFILL_TIME_SHARE,
            now_s + max_backlog_s + limits.max_delay_s,
        )
        self._send_times_s.setdefault(chosen.server_id, deque()).append(now_s)
        wait_s = max(0.0, backlogs_s[index] - max_backlog_s)
        return PacingDecision(index, min(wait_s, limits.max_delay_s))

    def expected_load(
        self, server_id: str, load: Mapping[str, float], period_s: float, now_s: float
    ) -> float:
        """Return a server's requests, including prompts that no report includes yet.

        Parameters
        ----------
        server_id : str
            The server's name.
        load, period_s, now_s
            As in `schedule`.
        """
        unreported = self._unreported_prompts(server_id, period_s, now_s)
        return load.get(server_id, 0.0) + unreported

    def forget_old(self, now_s: float) -> None:
        """Drop the state of servers that have received no prompt recently."""
        for name, prefill_until_s in list(self._prefill_until_s.items()):
            send_times_s = self._send_times_s.get(name)
            if prefill_until_s <= now_s and (
                not send_times_s or now_s - send_times_s[-1] > IDLE_SERVER_TTL_S
            ):
                del self._prefill_until_s[name]
                self._send_times_s.pop(name, None)

    def _backlog_s(self, server_id: str, now_s: float) -> float:
        return max(0.0, self._prefill_until_s.get(server_id, now_s) - now_s)

    def _unreported_prompts(
        self, server_id: str, period_s: float, now_s: float
    ) -> float:
        """Return the estimated number of sent prompts that no report includes yet."""
        send_times_s = self._send_times_s.get(server_id)
        if not send_times_s:
            return 0.0
        while send_times_s and now_s - send_times_s[0] >= period_s:
            send_times_s.popleft()
        # VMs report at different moments of a period, so a prompt counts less the
        # older it is, since it is already included in more of the reports.
        return sum(1.0 - (now_s - at_s) / period_s for at_s in send_times_s)
