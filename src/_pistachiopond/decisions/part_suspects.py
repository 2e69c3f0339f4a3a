"""Finds the parts of prompts that crash the backend servers that answer them.

VMs report the parts of the requests whose server ended the connection, unless they know
a part to be sound. The leader counts a crash once that incarnation of the server is
gone. It explains the crashes by as few parts as possible and refuses these parts, at
all VMs and for a limited time. A part is never blamed for the crashes of another: those
that a refused part explains do not count any more.

Load: a few crashes a second, each with at most `MAX_REQUESTS_PER_CRASH` requests.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, Literal, NamedTuple, final

from _pistachiopond.decisions.crash_counts import CONFIRMATION_TIMEOUT_S
from _pistachiopond.schema.deployment import Incarnation

# A part is refused after this many crashes with as many different requests. Where
# servers crash without it too, more are needed: one for each group of such crashes.
CRASHES_TO_REFUSE: Final = 3
OTHER_CRASHES_PER_MORE: Final = 2
OTHER_CRASHES_S: Final = 20.0
MAX_CRASHES_TO_REFUSE: Final = 8
# Different requests that are remembered for each crash and part.
MAX_REQUESTS_PER_PART: Final = 3
# Servers that end within this time, as in a loss of power, count as one crash.
SIMULTANEOUS_S: Final = 0.1
# A crash ends all connections to the server within this time. Connections that were
# lost earlier are not counted for the crash.
CRASH_SPREAD_S: Final = 0.5
CRASH_MEMORY_S: Final = 120.0
# How long a part that ran well is taken for sound.
SOUND_MEMORY_S: Final = 600.0
# Refusals double from the first to the longest. Then one request at a time is tried;
# without a result, the refusal ends.
FIRST_REFUSAL_S: Final = 60.0
MAX_REFUSAL_S: Final = 900.0
TRIAL_S: Final = 20.0
TRIAL_PHASE_S: Final = 300.0
# A part that was refused before is refused again after its next crash.
CONVICTION_MEMORY_S: Final = 3_600.0
# VMs that know a watched part as sound have this many report periods to say so.
SETTLE_PERIODS: Final = 1.25
SETTLE_S: Final = 0.3

MAX_PARTS_PER_REQUEST: Final = 8
MAX_REQUESTS_PER_CRASH: Final = 64
MAX_PENDING: Final = 256
MAX_CRASHES: Final = 64
MAX_WATCHED: Final = 256
MAX_REFUSED: Final = 64
MAX_SOUND: Final = 10_000
# Parts named in the log line of a crash.
LOGGED: Final = 4


class LostRequest(NamedTuple):
    """A request whose server ended the connection before a complete response.

    Attributes
    ----------
    request : str
        Digest of the request, the same for all its retries.
    parts : tuple of str
        Digests of the parts of its prompt that may have crashed the server.
    lost_s : float
        When the connection was lost.
    """

    request: str
    parts: tuple[str, ...]
    lost_s: float


class PartChange(NamedTuple):
    """A refusal that has begun or ended, for the log.

    Attributes
    ----------
    part : str
        Digest of the part.
    kind : {"refused", "cleared", "expired"}
        Cleared by a sound answer, or expired without any trial.
    servers : tuple of str
        The servers whose crashes count against the part.
    requests : int
        The number of different requests that were running there.
    since_s : float
        When the first of them was lost.
    for_s : float
        How long the refusal lasts.
    """

    part: str
    kind: Literal["refused", "cleared", "expired"]
    servers: tuple[str, ...] = ()
    requests: int = 0
    since_s: float = 0.0
    for_s: float = 0.0


class CountedCrash(NamedTuple):
    """A crash that was counted, for the log.

    Attributes
    ----------
    server_id : str
        The backend server.
    started_ms : int
        The start time of the server, which identifies its incarnation.
    requests : int
        The number of requests with suspected parts that were running there.
    crashes_by_part : dict of str to int
        The suspected parts in most crashes, with the number of these.
    """

    server_id: str
    started_ms: int
    requests: int
    crashes_by_part: dict[str, int]


class PartRefusal(NamedTuple):
    """A part that must not reach servers.

    Attributes
    ----------
    until_s : float
        When trials begin.
    level : int
        How often the refusal has been renewed.
    tied : frozenset of str
        The parts that were in exactly the same crashes, this one included. A request
        with only some of them may be tried at once. Empty for a part by itself.
    trial_s : float
        When the last trial was permitted.
    """

    until_s: float
    level: int
    tied: frozenset[str] = frozenset()
    trial_s: float = float("-inf")


class _Crash:
    """Servers that crashed at the same time, and the parts that ran there.

    Crashes are compared by identity.
    """

    def __init__(self, lost_s: float) -> None:
        self.lost_s = lost_s
        self.incarnations: set[Incarnation] = set()
        self.request_count = 0
        self.requests_of: dict[str, set[str]] = {}

    def add(self, lost: LostRequest) -> None:
        """Add a request that was running there; a known one changes nothing."""
        if self.request_count >= MAX_REQUESTS_PER_CRASH:
            return
        is_new = False
        for part in lost.parts[:MAX_PARTS_PER_REQUEST]:
            requests = self.requests_of.setdefault(part, set())
            is_new = is_new or lost.request not in requests
            if len(requests) < MAX_REQUESTS_PER_PART:
                requests.add(lost.request)
        self.request_count += is_new


@final
class SoundParts:
    """Parts of requests that ran well, of which the least recently used are dropped."""

    def __init__(self, limit: int = MAX_SOUND) -> None:
        self._limit = limit
        self._seen_s: dict[str, float] = {}

    def add(self, part: str, now_s: float) -> None:
        """Record that a request with the part ran well."""
        self._seen_s.pop(part, None)
        self._seen_s[part] = now_s
        if len(self._seen_s) > self._limit:
            del self._seen_s[next(iter(self._seen_s))]

    def knows(self, part: str, now_s: float) -> bool:
        """Return whether the part has run well within `SOUND_MEMORY_S`."""
        seen_s = self._seen_s.get(part)
        return seen_s is not None and now_s - seen_s < SOUND_MEMORY_S

    def __len__(self) -> int:
        """Return the number of parts."""
        return len(self._seen_s)


@final
class PartSuspects:
    """The leader's evidence against parts of prompts, and its refusals."""

    def __init__(self) -> None:
        self._pending: dict[Incarnation, list[LostRequest]] = {}
        self._crashes: list[_Crash] = []
        self._watched_since_s: dict[str, float] = {}
        self._sound = SoundParts(MAX_SOUND)
        self._refusals: dict[str, PartRefusal] = {}
        self._convicted: dict[str, tuple[int, float]] = {}
        self._cleared: dict[str, float] = {}
        self._evidence: dict[str, PartChange] = {}
        self._counted: list[CountedCrash] = []

    def record_lost(
        self, incarnation: Incarnation, lost: LostRequest, now_s: float
    ) -> None:
        """Record a lost connection; the same one may be reported again."""
        parts = tuple(p for p in lost.parts if not self._sound.knows(p, now_s))
        if not parts:
            return
        lost = lost._replace(parts=parts)
        for crash in self._crashes:
            if incarnation in crash.incarnations:
                if abs(lost.lost_s - crash.lost_s) <= CRASH_SPREAD_S:
                    crash.add(lost)
                return
        pending = self._pending.get(incarnation)
        if pending is None:
            if len(self._pending) >= MAX_PENDING:
                return
            pending = self._pending[incarnation] = []
        if len(pending) < MAX_REQUESTS_PER_CRASH and all(
            (known.request, known.parts) != (lost.request, parts) for known in pending
        ):
            pending.append(lost)

    def record_sound(self, parts: Iterable[str], now_s: float) -> list[PartChange]:
        """Clear parts that ran well at some VM; return the refusals that end."""
        sound = frozenset(parts)
        if not sound:
            return []
        changes = []
        for part in sorted(sound):
            self._sound.add(part, now_s)
            self._convicted.pop(part, None)
            self._watched_since_s.pop(part, None)
            for crash in self._crashes:
                crash.requests_of.pop(part, None)
            if self._refusals.pop(part, None) is not None:
                self._cleared[part] = now_s
                evidence = self._evidence.pop(part, PartChange(part, "cleared"))
                changes.append(evidence._replace(kind="cleared", for_s=0.0))
        for pending in self._pending.values():
            pending[:] = [
                lost._replace(parts=tuple(p for p in lost.parts if p not in sound))
                for lost in pending
            ]
        return changes

    def adopt(self, part: str, for_s: float, level: int, now_s: float) -> None:
        """Take over a refusal of an earlier leader from a member that knows it."""
        is_known = part in self._refusals or self._sound.knows(part, now_s)
        has_expired = for_s < -TRIAL_PHASE_S
        if is_known or has_expired or len(self._refusals) >= MAX_REFUSED:
            return
        until_s = now_s + min(for_s, MAX_REFUSAL_S)
        self._refusals[part] = PartRefusal(until_s, level)
        self._convicted[part] = (level, now_s)
        self._evidence[part] = PartChange(part, "refused", (), 0, now_s, for_s)
        self._watched_since_s.setdefault(part, now_s)

    def may_try(self, parts: Sequence[str], now_s: float) -> bool:
        """Return whether one request with these parts may run, and permit it."""
        refused = [part for part in parts if part in self._refusals]
        for part in refused:
            refusal = self._refusals[part]
            is_due = now_s >= refusal.until_s
            tells_apart = bool(refusal.tied - set(parts))
            if now_s - refusal.trial_s < TRIAL_S or not (is_due or tells_apart):
                return False
        for part in refused:
            self._refusals[part] = self._refusals[part]._replace(trial_s=now_s)
        return True

    def update(
        self, incarnations: Mapping[str, int], report_period_s: float, now_s: float
    ) -> list[PartChange]:
        """Count the crashes that the fleet confirms, and decide on refusals.

        Parameters
        ----------
        incarnations : mapping of str to int
            The start time of each server in the fleet.
        report_period_s : float
            The time between two reports of a VM.
        now_s : float
            The time in seconds.

        Returns
        -------
        list of PartChange
            The refusals that begin or expire.
        """
        if not (self._pending or self._crashes or self._refusals):
            return []
        self._confirm(incarnations, now_s)
        self._crashes = [c for c in self._crashes if now_s - c.lost_s < CRASH_MEMORY_S]
        self._watch(now_s)
        changes = self._expire(now_s)
        changes += self._refuse_again(now_s)
        settled_s = now_s - SETTLE_S - SETTLE_PERIODS * report_period_s
        while found := self._find_parts():
            if any(self._watched_since_s.get(p, now_s) > settled_s for p in found):
                break
            if len(self._refusals) + len(found) > MAX_REFUSED:
                break
            tied = frozenset(found) if len(found) > 1 else frozenset()
            changes += [self._refuse(part, tied, now_s) for part in found]
        return changes

    def watched(self) -> list[str]:
        """Return the parts of which VMs should say whether they ran well."""
        return sorted(self._watched_since_s)

    def refusals(self) -> dict[str, PartRefusal]:
        """Return the refusals in force."""
        return dict(self._refusals)

    def take_counted(self) -> list[CountedCrash]:
        """Return the crashes that were counted since the last call."""
        counted, self._counted = self._counted, []
        return counted

    def cleared(self, now_s: float) -> list[str]:
        """Return the parts whose refusal has ended by a sound answer."""
        self._cleared = {
            part: at_s
            for part, at_s in list(self._cleared.items())[-MAX_REFUSED:]
            if now_s - at_s < SOUND_MEMORY_S and part not in self._refusals
        }
        return list(self._cleared)

    def evidence_size(self) -> int:
        """Return how many pairs of a crash and a part are remembered."""
        return sum(len(crash.requests_of) for crash in self._crashes) + sum(
            len(lost.parts) for pending in self._pending.values() for lost in pending
        )

    def _confirm(self, incarnations: Mapping[str, int], now_s: float) -> None:
        for incarnation, pending in list(self._pending.items()):
            server_id, started_ms = incarnation
            lost_s = max((lost.lost_s for lost in pending), default=now_s)
            if incarnations.get(server_id) != started_ms:
                del self._pending[incarnation]
                self._add_crash(incarnation, pending, lost_s)
            elif now_s - lost_s >= CONFIRMATION_TIMEOUT_S:
                del self._pending[incarnation]

    def _add_crash(
        self, incarnation: Incarnation, pending: list[LostRequest], last_s: float
    ) -> None:
        recent = [p for p in pending if last_s - p.lost_s <= CRASH_SPREAD_S]
        first_s = min((lost.lost_s for lost in recent), default=last_s)
        crash = next(
            (c for c in self._crashes if abs(c.lost_s - first_s) <= SIMULTANEOUS_S),
            None,
        )
        if crash is None:
            crash = _Crash(first_s)
            self._crashes.append(crash)
            self._crashes.sort(key=lambda c: c.lost_s)
            del self._crashes[:-MAX_CRASHES]
        if len(crash.incarnations) < MAX_PENDING:
            crash.incarnations.add(incarnation)
        for lost in recent:
            crash.add(lost)
        counts = Counter(
            {part: len(self._crashes_with(part)) for part in crash.requests_of}
        )
        self._counted.append(
            CountedCrash(*incarnation, len(recent), dict(counts.most_common(LOGGED)))
        )

    def _watch(self, now_s: float) -> None:
        """Watch the refused parts, and those in more than one crash and request."""
        requests_of: dict[str, set[str]] = {}
        crash_counts: dict[str, int] = {}
        evidence = [crash.requests_of for crash in self._crashes]
        for pending in self._pending.values():
            of_server: dict[str, set[str]] = {}
            for lost in pending:
                for part in lost.parts:
                    of_server.setdefault(part, set()).add(lost.request)
            evidence.append(of_server)
        for of_crash in evidence:
            for part, requests in of_crash.items():
                crash_counts[part] = crash_counts.get(part, 0) + 1
                requests_of.setdefault(part, set()).update(requests)
        suspected = [
            part
            for part, count in crash_counts.items()
            if count > 1 and len(requests_of[part]) > 1
        ]
        suspected.sort(key=lambda part: (-crash_counts[part], part))
        room = MAX_WATCHED - len(self._refusals)
        watched = [*self._refusals, *suspected[:room]]
        self._watched_since_s = {
            part: self._watched_since_s.get(part, now_s) for part in watched
        }

    def _expire(self, now_s: float) -> list[PartChange]:
        changes = []
        for part, refusal in list(self._refusals.items()):
            if now_s >= refusal.until_s + TRIAL_PHASE_S:
                del self._refusals[part]
                evidence = self._evidence.pop(part, PartChange(part, "expired"))
                changes.append(evidence._replace(kind="expired", for_s=0.0))
        self._convicted = {
            part: known
            for part, known in list(self._convicted.items())[-MAX_WATCHED:]
            if now_s - known[1] < CONVICTION_MEMORY_S
        }
        return changes

    def _refuse_again(self, now_s: float) -> list[PartChange]:
        """Renew refusals after a trial that crashed its server, or after their end."""
        changes = []
        for part, (_, refused_s) in list(self._convicted.items()):
            refusal = self._refusals.get(part)
            since_s = refused_s if refusal is None else refusal.trial_s
            if refusal is None and len(self._refusals) >= MAX_REFUSED:
                continue
            if refusal is not None and since_s < refused_s:
                continue
            crashes = [c for c in self._crashes_with(part) if c.lost_s > since_s]
            if refusal is None:
                crashes = [c for c in crashes if not self._is_explained(c)]
            if crashes:
                changes.append(self._refuse(part, frozenset(), now_s))
        return changes

    def _refuse(self, part: str, tied: frozenset[str], now_s: float) -> PartChange:
        level = self._convicted[part][0] + 1 if part in self._convicted else 0
        if part in self._refusals:
            level = self._refusals[part].level + 1
        for_s = min(FIRST_REFUSAL_S * 2.0**level, MAX_REFUSAL_S)
        crashes = self._crashes_with(part)
        requests = set().union(*(c.requests_of[part] for c in crashes))
        servers = sorted({name for c in crashes for name, _ in c.incarnations})
        self._refusals[part] = PartRefusal(now_s + for_s, level, tied)
        self._convicted.pop(part, None)
        self._convicted[part] = (level, now_s)
        self._watched_since_s.setdefault(part, now_s)
        change = PartChange(
            part,
            "refused",
            tuple(servers),
            len(requests),
            min((c.lost_s for c in crashes), default=now_s),
            for_s,
        )
        self._evidence[part] = change
        return change

    def _crashes_with(self, part: str) -> list[_Crash]:
        return [crash for crash in self._crashes if part in crash.requests_of]

    def _is_explained(self, crash: _Crash) -> bool:
        return any(part in crash.requests_of for part in self._refusals)

    def _find_parts(self) -> list[str]:
        """Return the part that explains most crashes, and those that it is tied with.

        Empty if no part has enough crashes that no refused part explains.
        """
        counts = {part: len(self._crashes_with(part)) for part in self._watched_since_s}
        # For each crash, in how many crashes the most frequent refused part was.
        explained_by = [
            max(
                (counts[part] for part in self._refusals if part in crash.requests_of),
                default=0,
            )
            for crash in self._crashes
        ]

        def unexplained_crashes(part: str) -> list[_Crash]:
            # A part in many crashes is not shielded by one in less than half as many.
            is_shielded = counts[part] < MAX_CRASHES_TO_REFUSE
            limit = 1 if is_shielded else (counts[part] + 1) // 2
            return [
                crash
                for crash, count in zip(self._crashes, explained_by, strict=True)
                if part in crash.requests_of and count < limit
            ]

        unexplained = {
            part: unexplained_crashes(part)
            for part, count in counts.items()
            if count >= CRASHES_TO_REFUSE and part not in self._refusals
        }
        of_others = [
            crash.lost_s
            for crash, count in zip(self._crashes, explained_by, strict=True)
            if not count
        ]

        def has_enough(part: str) -> bool:
            crashes = unexplained[part]
            if len(crashes) < CRASHES_TO_REFUSE:
                return False
            from_s = crashes[0].lost_s - OTHER_CRASHES_S
            others = sum(lost_s > from_s for lost_s in of_others) - len(crashes)
            needed = min(
                MAX_CRASHES_TO_REFUSE,
                CRASHES_TO_REFUSE + max(0, others) // OTHER_CRASHES_PER_MORE,
            )
            requests = set().union(*(crash.requests_of[part] for crash in crashes))
            return min(len(crashes), len(requests)) >= needed

        def weight(part: str) -> tuple[int, float, str]:
            # Between parts in as many crashes, one that few others can stand in for.
            crashes = unexplained[part]
            shares = sum(1.0 / len(crash.requests_of) for crash in crashes)
            return len(crashes), shares, part

        enough = [part for part in unexplained if has_enough(part)]
        if not enough:
            return []
        best = max(enough, key=weight)
        return sorted(p for p in enough if unexplained[p] == unexplained[best])
