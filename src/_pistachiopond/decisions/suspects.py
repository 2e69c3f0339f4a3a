"""Tracks requests that are suspected of crashing backend servers.

The state is derived by replaying the ``crashes`` stream, so that it is the same in
every control daemon. A request that was running in a crash is put on probation: it
runs only where no other suspect runs. It is refused after a confirmed crash during
probation, or after two confirmed crashes of servers that were running it.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.schema.suspects import (
    CrashRecord,
    RequestRecord,
    Suspect,
    SuspectView,
)

# Probation after a crash that is only suspected, and after a confirmed one.
SUSPECTED_S: Final = 120.0
PROBATION_S: Final = 900.0
REFUSAL_S: Final = 900.0
CRASHES_TO_REFUSE: Final = 2
MAX_SUSPECTS: Final = 10_000
# Bounds on what is kept of suspects elsewhere.
MAX_RECORDS: Final = 256
MAX_RECORDED_CRASHES: Final = 8
PERMIT_LIFETIME_S: Final = 120.0


class _Standing(NamedTuple):
    crash_ids: frozenset[str]
    probation_until_s: float
    refused_until_s: float

    def until_s(self) -> float:
        return max(self.probation_until_s, self.refused_until_s)


_UNKNOWN: Final = _Standing(frozenset(), float("-inf"), float("-inf"))


@final
class SuspectTable:
    """The standing of every suspect after the records applied so far."""

    def __init__(self, crashes_to_refuse: int = CRASHES_TO_REFUSE) -> None:
        """Initialise the table without suspects.

        Parameters
        ----------
        crashes_to_refuse : int
            The number of confirmed crashes after which a request is refused that was
            not on probation.
        """
        self._crashes_to_refuse = crashes_to_refuse
        self._standings: dict[str, _Standing] = {}

    def apply(self, record: CrashRecord, at_s: float) -> None:
        """Apply the next record of the stream.

        Parameters
        ----------
        record : CrashRecord
            The record; repeated records only extend the time of expiry.
        at_s : float
            When it was appended, by the reader's clock.
        """
        if record.kind == "cleared":
            self._clear(record, at_s)
            return
        for fingerprint in record.fingerprints:
            current = self._standings.get(fingerprint, _UNKNOWN)
            if record.kind == "suspected":
                new = _suspected(current, at_s)
            else:
                ran_on_probation = fingerprint in record.probation_fingerprints
                new = self._confirmed(current, record.crash_id, ran_on_probation, at_s)
            self._standings[fingerprint] = new
        self._evict_oldest()

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request must not run."""
        return self._standings.get(fingerprint, _UNKNOWN).refused_until_s > now_s

    def refused_for_s(self, fingerprint: str, now_s: float) -> float:
        """Return how much longer the request is refused; 0 if it is not."""
        until_s = self._standings.get(fingerprint, _UNKNOWN).refused_until_s
        return max(0.0, until_s - now_s)

    def crash_ids(self, fingerprint: str) -> frozenset[str]:
        """Return the confirmed crashes that count against the request."""
        return self._standings.get(fingerprint, _UNKNOWN).crash_ids

    def view(self, now_s: float) -> SuspectView:
        """Return all suspects with the time until each of them expires."""
        self._standings = {
            fingerprint: current
            for fingerprint, current in self._standings.items()
            if current.until_s() > now_s
        }
        return SuspectView(
            tuple(
                _suspect(fingerprint, current, now_s)
                for fingerprint, current in sorted(self._standings.items())
            )
        )

    def records(self, now_s: float) -> list[RequestRecord]:
        """Return what has to be kept of each suspect with more than one crash."""
        known = [
            RequestRecord(
                fingerprint,
                max(0.0, current.refused_until_s - now_s),
                tuple(sorted(current.crash_ids)[:MAX_RECORDED_CRASHES]),
            )
            for fingerprint, current in self._standings.items()
            if current.until_s() > now_s
        ]
        refused = [record for record in known if record.refused_for_s > 0.0]
        others = [
            record
            for record in known
            if record.refused_for_s <= 0.0 and len(record.crash_ids) > 1
        ]
        return (others + refused)[-MAX_RECORDS:]

    def adopt(self, record: RequestRecord, now_s: float) -> bool:
        """Add what an earlier table knew; return whether this is new."""
        current = self._standings.get(record.fingerprint, _UNKNOWN)
        known_ids: frozenset[str] = frozenset()
        if current.until_s() > now_s:
            known_ids = current.crash_ids
        crash_ids = known_ids.union(record.crash_ids[:MAX_RECORDED_CRASHES])
        refused_for_s = min(record.refused_for_s, REFUSAL_S)
        if len(crash_ids) >= self._crashes_to_refuse and refused_for_s <= 0.0:
            refused_for_s = REFUSAL_S
        was_refused = current.refused_until_s > now_s
        begins_refusal = refused_for_s > 0.0 and not was_refused
        if crash_ids == known_ids and not begins_refusal:
            return False
        self._standings[record.fingerprint] = _Standing(
            crash_ids,
            max(current.probation_until_s, now_s + PROBATION_S),
            current.refused_until_s if was_refused else now_s + refused_for_s,
        )
        self._evict_oldest()
        return True

    def _confirmed(
        self, current: _Standing, crash_id: str, ran_on_probation: bool, at_s: float
    ) -> _Standing:
        has_expired = current.until_s() <= at_s
        crash_ids = (frozenset() if has_expired else current.crash_ids) | {crash_id}
        refused_until_s = current.refused_until_s
        if ran_on_probation or len(crash_ids) >= self._crashes_to_refuse:
            refused_until_s = max(refused_until_s, at_s + REFUSAL_S)
        return _Standing(crash_ids, at_s + PROBATION_S, refused_until_s)

    def _clear(self, record: CrashRecord, at_s: float) -> None:
        for fingerprint in record.fingerprints:
            if not self.is_refused(fingerprint, at_s):
                self._standings.pop(fingerprint, None)

    def _evict_oldest(self) -> None:
        while len(self._standings) > MAX_SUSPECTS:
            self._standings.pop(next(iter(self._standings)))


@final
class Permits:
    """Permits that let one entry daemon at a time run a given suspect."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def ask(self, fingerprint: str, now_s: float) -> float:
        """Return 0 if the run is permitted now, else the delay before asking again."""
        self._until_s = {
            name: until_s for name, until_s in self._until_s.items() if until_s > now_s
        }
        until_s = self._until_s.get(fingerprint)
        if until_s is not None:
            return until_s - now_s
        self._until_s[fingerprint] = now_s + PERMIT_LIFETIME_S
        return 0.0

    def end(self, fingerprint: str) -> None:
        """Release the permit of a run that ended without a crash."""
        self._until_s.pop(fingerprint, None)


def _suspect(fingerprint: str, current: _Standing, now_s: float) -> Suspect:
    if current.refused_until_s > now_s:
        return Suspect(fingerprint, "refused", current.refused_until_s - now_s)
    return Suspect(fingerprint, "probation", current.probation_until_s - now_s)


def _suspected(current: _Standing, at_s: float) -> _Standing:
    until_s = max(current.probation_until_s, at_s + SUSPECTED_S)
    return current._replace(probation_until_s=until_s)
