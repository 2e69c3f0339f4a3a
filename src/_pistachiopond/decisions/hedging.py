"""Decides whether a request that waits for its answer is sent to a second server.

Answers the load in which a few of a service's servers, or a few of their answers, are
much slower than the rest, while the service as a whole has room. See Dean and Barroso,
"The Tail at Scale" (2013), on hedged requests.
"""

import math
from collections import OrderedDict, deque
from typing import Final, Literal, NamedTuple, final

from _pistachiopond.decisions.attempt_policy import MIN_TIME_LEFT_S

# The share of like requests that have their response head by the time of a second
# attempt.
DELAY_QUANTILE: Final = 0.95
# Ten of the samples lie above the quantile in the smallest set, so that one slow answer
# does not move the delay much.
MIN_SAMPLES: Final = 200
MAX_SAMPLES: Final = 400
# Samples of a time with another load say little about the present one.
MAX_SAMPLE_AGE_S: Final = 120.0
# Models are named by callers, so the number of classes is bounded; the one that has
# been used least recently goes.
MAX_CLASSES: Final = 256
# The delay is calculated again after this many samples, since that sorts them.
SAMPLES_PER_UPDATE: Final = 20
# Callers do not notice a shorter wait, and a second attempt takes about as long to be
# sent and answered.
MIN_DELAY_S: Final = 0.02
# Second attempts that a service may save up while its answers are prompt, so that a
# burst of them stays small.
MAX_SAVED_HEDGES: Final = 4.0
# With more of the service's slots in use, the places are left to first attempts, whose
# number varies from one moment to the next.
MAX_UTILISATION: Final = 0.75
# A timer that runs later than this shows that this process stood still; answers that
# came meanwhile have not been read.
MAX_LATENESS_S: Final = 0.05

WithheldReason = Literal[
    "standstill",
    "attempts",
    "time",
    "suspected",
    "unreachable",
    "waiting",
    "full",
    "no_server",
    "share",
    "retry_budget",
]


class RequestClass(NamedTuple):
    """Requests that take about the same time to the response head."""

    service: str
    kind: str
    model: str
    length_class: int


def length_class(prompt_tokens: int | None) -> int:
    """Return the class of a prompt's length, one for each power of two."""
    return (prompt_tokens or 0).bit_length()


class HeadEstimate(NamedTuple):
    """What is known of the time to the response head of like requests.

    Attributes
    ----------
    delay_s : float
        The time after which a second attempt starts.
    typical_s : float
        The median.
    """

    delay_s: float
    typical_s: float


@final
class _Samples:
    """The latest times of one class."""

    def __init__(self) -> None:
        self.items: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self.estimate: HeadEstimate | None = None
        self.since_update = 0


@final
class HeadTimes:
    """The times from sending a request to its response head, by class."""

    def __init__(self) -> None:
        self._classes: OrderedDict[RequestClass, _Samples] = OrderedDict()

    def record(self, request_class: RequestClass, seconds: float, now_s: float) -> None:
        """Add a time; for an attempt that was ended before, the time until then."""
        samples = self._classes.get(request_class)
        if samples is None:
            samples = self._classes[request_class] = _Samples()
            if len(self._classes) > MAX_CLASSES:
                self._classes.popitem(last=False)
        self._classes.move_to_end(request_class)
        samples.items.append((now_s, seconds))
        samples.since_update += 1
        if samples.estimate is None or samples.since_update >= SAMPLES_PER_UPDATE:
            samples.since_update = 0
            samples.estimate = _estimate(samples, now_s)

    def estimate(
        self, request_class: RequestClass, now_s: float
    ) -> HeadEstimate | None:
        """Return the estimate; None with too few recent samples."""
        samples = self._classes.get(request_class)
        if samples is None or len(samples.items) < MIN_SAMPLES:
            return None
        if now_s - samples.items[-MIN_SAMPLES][0] > MAX_SAMPLE_AGE_S:
            return None
        return samples.estimate

    def expected_rest_s(self, request_class: RequestClass, waited_s: float) -> float:
        """Return how much longer requests took on average that waited for so long."""
        samples = self._classes.get(request_class)
        if samples is None:
            return 0.0
        longer = [time_s for _, time_s in samples.items if time_s > waited_s]
        return sum(longer) / len(longer) - waited_s if longer else 0.0


def _estimate(samples: _Samples, now_s: float) -> HeadEstimate | None:
    while samples.items and now_s - samples.items[0][0] > MAX_SAMPLE_AGE_S:
        samples.items.popleft()
    count = len(samples.items)
    if count < MIN_SAMPLES:
        return None
    times = sorted(time_s for _, time_s in samples.items)
    delay_s = times[math.ceil(DELAY_QUANTILE * count) - 1]
    return HeadEstimate(max(MIN_DELAY_S, delay_s), times[count // 2])


@final
class HedgeShares:
    """A token bucket for each service: requests add their share of a second attempt.

    It starts empty, so that a service never has more second attempts than its share of
    the requests before.
    """

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def record_request(self, service: str, share: float) -> None:
        """Add the share of a second attempt that a request earns."""
        tokens = self._tokens.get(service, 0.0) + share
        self._tokens[service] = min(MAX_SAVED_HEDGES, tokens)

    def has_hedge(self, service: str) -> bool:
        """Return whether the service may have a second attempt now."""
        # The sum of many equal shares may be off by rounding.
        return self._tokens.get(service, 0.0) >= 1.0 - 1e-9

    def spend(self, service: str) -> None:
        """Take one second attempt."""
        self._tokens[service] = max(0.0, self._tokens.get(service, 0.0) - 1.0)


class HedgeSituation(NamedTuple):
    """What decides on a second attempt, when the delay of the first has passed.

    Attributes
    ----------
    late_s : float
        How much later than asked for the timer ran.
    time_left_s : float
        The time until the request's deadline.
    typical_s : float
        The usual time to the response head of like requests.
    servers_run, max_servers : int
        To how many servers the request has been sent, and may be.
    is_suspected : bool
        Whether the request, or a part of it, may have crashed servers.
    is_unreachable : bool
        Whether this VM does not reach the service, or has just failed to connect.
    has_waiting : bool
        Whether requests of the service wait for a server or a place.
    utilisation : float
        Requests at the service's servers as a share of their slots.
    has_server : bool
        Whether another server in good health, with a free slot and without a limited
        rate, can take the request now.
    has_share : bool
        Whether the operators' share of second attempts allows one.
    has_retry_to_spare : bool
        Whether the retry budget allows one and leaves enough for failed requests.
    """

    late_s: float
    time_left_s: float
    typical_s: float
    servers_run: int
    max_servers: int
    is_suspected: bool
    is_unreachable: bool
    has_waiting: bool
    utilisation: float
    has_server: bool
    has_share: bool
    has_retry_to_spare: bool


def withheld_reason(now: HedgeSituation) -> WithheldReason | None:
    """Return why a request gets no second attempt now; None if it gets one."""
    checks: tuple[tuple[bool, WithheldReason], ...] = (
        (now.late_s > MAX_LATENESS_S, "standstill"),
        (now.servers_run >= now.max_servers, "attempts"),
        (now.time_left_s < max(MIN_TIME_LEFT_S, now.typical_s), "time"),
        (now.is_suspected, "suspected"),
        (now.is_unreachable, "unreachable"),
        (now.has_waiting, "waiting"),
        (now.utilisation > MAX_UTILISATION, "full"),
        (not now.has_server, "no_server"),
        (not now.has_share, "share"),
        (not now.has_retry_to_spare, "retry_budget"),
    )
    return next((reason for holds, reason in checks if holds), None)
