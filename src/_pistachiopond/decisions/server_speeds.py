"""Learns how fast servers of one service are, compared with one another.

Load that this answers: servers that run at 0.6, 1.0 and 1.6 of one speed. Choice by
load over slots gives each the same load, so the slow ones have queues while the fast
ones have room.

Members measure the time per event of streams and the run time of plain requests. The
leader compares the servers' means for like requests, summed over members, since each of
60 to 88 members has few samples. Means are of logarithms: run times differ by factors,
and one very long run does not decide.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, final

from _pistachiopond.schema.deployment import Incarnation

# Samples lose weight with this time constant, so that a server whose speed changes is
# known within a minute.
MEMORY_S: Final = 30.0
# Servers with fewer samples count as mean.
MIN_SAMPLES: Final = 20.0
# Differences of the logarithm below this are no reason to prefer a server...
DEAD_BAND: Final = 0.15
# ...nor those that are within this many standard errors. With 3, one of 60 servers that
# are equal was told apart within 20 s.
STANDARD_ERRORS: Final = 4.0
# Bounds of a speed, relative to the service's mean.
MIN_SPEED: Final = 0.3
MAX_SPEED: Final = 3.0
# A speed is told again if it has changed by more than a tenth.
TOLD_CHANGE: Final = 0.1
UPDATE_PERIOD_S: Final = 1.0
# Bounds for what members report. A time is between a microsecond and an hour.
MAX_COUNT: Final = 10_000
MAX_LOG: Final = 14.0
MAX_KINDS: Final = 2_000
MAX_SERVERS_PER_KIND: Final = 1_000


class SpeedSample(NamedTuple):
    """A member's samples of one server for like requests, since its last report.

    Attributes
    ----------
    server_id, started_ms : str, int
        The start of the server.
    kind : str
        What the samples have in common: service, and model or route.
    count : int
        Their number.
    total, squares : float
        The sums of the logarithms of their times in seconds, and of the squares.
    """

    server_id: str
    started_ms: int
    kind: str
    count: int
    total: float
    squares: float


class _Sums(NamedTuple):
    count: float
    total: float
    squares: float

    def mean(self) -> float:
        return self.total / self.count


@final
class SpeedSamples:
    """One VM's samples since its last report."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, int, str], _Sums] = {}

    def add(self, incarnation: Incarnation, kind: str, seconds: float) -> None:
        """Add the time of one request, or of one event of it."""
        if not seconds > 0.0 or len(self._sums) >= MAX_KINDS:
            return
        log_s = math.log(seconds)
        known = self._sums.get((*incarnation, kind), _Sums(0.0, 0.0, 0.0))
        self._sums[*incarnation, kind] = _Sums(
            known.count + 1, known.total + log_s, known.squares + log_s * log_s
        )

    def take(self) -> list[SpeedSample]:
        """Return the samples, and forget them."""
        samples = [
            SpeedSample(*key, round(sums.count), sums.total, sums.squares)
            for key, sums in self._sums.items()
        ]
        self._sums = {}
        return samples


@final
class ServerSpeeds:
    """The leader's estimate of each server's speed, 1 for the mean of its service."""

    def __init__(self) -> None:
        self._kinds: dict[str, dict[Incarnation, _Sums]] = {}
        self._told: dict[Incarnation, float] = {}
        self._updated_s = float("-inf")

    def adopt(self, told: Mapping[Incarnation, float]) -> None:
        """Begin with what the previous leader told."""
        self._told = dict(told)

    def told(self) -> dict[Incarnation, float]:
        """Return the speeds as last told; servers that are not in it count as mean."""
        return self._told

    def record(self, samples: Iterable[SpeedSample]) -> None:
        """Add a member's samples."""
        for sample in samples:
            if not _is_sound(sample):
                continue
            if sample.kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
                continue
            servers = self._kinds.setdefault(sample.kind, {})
            incarnation = (sample.server_id, sample.started_ms)
            if incarnation in servers or len(servers) < MAX_SERVERS_PER_KIND:
                known = servers.get(incarnation, _Sums(0.0, 0.0, 0.0))
                servers[incarnation] = _Sums(
                    known.count + sample.count,
                    known.total + sample.total,
                    known.squares + sample.squares,
                )

    def update(
        self, started_ms: Mapping[str, int], now_s: float
    ) -> dict[Incarnation, float]:
        """Return the speeds that have changed by more than a tenth since last told.

        Parameters
        ----------
        started_ms : mapping of str to int
            The start time of each server; what is known of other starts is dropped.
        now_s : float
            The time in seconds.
        """
        elapsed_s = now_s - self._updated_s
        if elapsed_s < UPDATE_PERIOD_S:
            return {}
        self._updated_s = now_s
        live = set(started_ms.items())
        self._told = {key: speed for key, speed in self._told.items() if key in live}
        self._decay(math.exp(-elapsed_s / MEMORY_S), live)
        changed = {
            incarnation: round(speed, 2)
            for incarnation, speed in self._estimate().items()
            if abs(speed / self._told.get(incarnation, 1.0) - 1.0) > TOLD_CHANGE
        }
        self._told |= changed
        return changed

    def _decay(self, kept: float, live: set[Incarnation]) -> None:
        for kind, servers in list(self._kinds.items()):
            self._kinds[kind] = {
                incarnation: _Sums(*(kept * value for value in sums))
                for incarnation, sums in servers.items()
                if incarnation in live and kept * sums.count > 0.1
            }
            if not self._kinds[kind]:
                del self._kinds[kind]

    def _estimate(self) -> dict[Incarnation, float]:
        """Return the speed of each server that has enough samples."""
        faster: dict[Incarnation, float] = {}
        counts: dict[Incarnation, float] = {}
        variances: dict[Incarnation, float] = {}
        for servers in self._kinds.values():
            if len(servers) < 2:
                continue
            means = {key: sums.mean() for key, sums in servers.items()}
            of_kind = sum(means.values()) / len(means)
            for key, sums in servers.items():
                variance = max(0.0, sums.squares / sums.count - means[key] ** 2)
                faster[key] = faster.get(key, 0.0) + sums.count * (of_kind - means[key])
                counts[key] = counts.get(key, 0.0) + sums.count
                variances[key] = variances.get(key, 0.0) + sums.count * variance
        speeds = {}
        for key, count in counts.items():
            if count < MIN_SAMPLES:
                continue
            difference = faster[key] / count
            error = math.sqrt(variances[key]) / count
            is_noise = abs(difference) < max(DEAD_BAND, STANDARD_ERRORS * error)
            speed = 1.0 if is_noise else math.exp(difference)
            speeds[key] = min(MAX_SPEED, max(MIN_SPEED, speed))
        return speeds


def _is_sound(sample: SpeedSample) -> bool:
    if not 1 <= sample.count <= MAX_COUNT:
        return False
    bound = MAX_LOG * sample.count
    return abs(sample.total) <= bound and 0.0 <= sample.squares <= MAX_LOG * bound
