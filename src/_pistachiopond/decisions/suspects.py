"""Which requests are suspected of crashing backend servers, and which are refused.

The book is a fold over the ``crashes`` stream, the same in every control daemon.
After one crash a request runs only alone; it is refused after a confirmed crash
while it ran alone, or after two confirmed crashes that it was running in.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.schema.suspects import CrashRecord, Suspect, SuspectView

SUSPECTED_S: Final = 120.0
PROBATION_S: Final = 900.0
REFUSAL_S: Final = 900.0
CRASHES_TO_REFUSE: Final = 2
MOST_SUSPECTS: Final = 10_000
PERMIT_S: Final = 120.0


class _Standing(NamedTuple):
    crash_ids: frozenset[str]
    probation_until_s: float
    refused_until_s: float

    def until_s(self) -> float:
        return max(self.probation_until_s, self.refused_until_s)


_NEW: Final = _Standing(frozenset(), float("-inf"), float("-inf"))


@final
class SuspectBook:
    """The standing of every suspect, by the records so far."""

    def __init__(self, crashes_to_refuse: int = CRASHES_TO_REFUSE) -> None:
        """Start empty.

        Parameters
        ----------
        crashes_to_refuse : int
            Confirmed crashes after which a request is refused that did not run alone.
        """
        self._crashes_to_refuse = crashes_to_refuse
        self._standings: dict[str, _Standing] = {}

    def apply(self, record: CrashRecord, at_s: float) -> None:
        """Take the next record into account.

        Parameters
        ----------
        record : CrashRecord
            Repeated ones change nothing but the time of expiry.
        at_s : float
            When it was appended, on the reader's clock.
        """
        if record.kind == "cleared":
            self._clear(record, at_s)
            return
        for fingerprint in record.fingerprints:
            known = self._standings.get(fingerprint, _NEW)
            if record.kind == "suspected":
                new = _suspect(known, at_s)
            else:
                alone = fingerprint in record.probation_fingerprints
                new = self._confirm(known, record.crash_id, alone, at_s)
            self._standings[fingerprint] = new
        self._bound()

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request must not run."""
        return self._standings.get(fingerprint, _NEW).refused_until_s > now_s

    def refused_for_s(self, fingerprint: str, now_s: float) -> float:
        """Return for how long the request is still refused."""
        until_s = self._standings.get(fingerprint, _NEW).refused_until_s
        return max(0.0, until_s - now_s)

    def view(self, now_s: float) -> SuspectView:
        """Return all suspects with the time until each is forgotten."""
        self._standings = {
            fingerprint: known
            for fingerprint, known in self._standings.items()
            if known.until_s() > now_s
        }
        return SuspectView(
            tuple(
                Suspect(
                    fingerprint,
                    "refused" if known.refused_until_s > now_s else "probation",
                    known.until_s() - now_s,
                )
                for fingerprint, known in sorted(self._standings.items())
            )
        )

    def _confirm(
        self, known: _Standing, crash_id: str, alone: bool, at_s: float
    ) -> _Standing:
        is_forgotten = known.until_s() <= at_s
        crash_ids = (frozenset() if is_forgotten else known.crash_ids) | {crash_id}
        refused_until_s = known.refused_until_s
        if alone or len(crash_ids) >= self._crashes_to_refuse:
            refused_until_s = max(refused_until_s, at_s + REFUSAL_S)
        return _Standing(crash_ids, at_s + PROBATION_S, refused_until_s)

    def _clear(self, record: CrashRecord, at_s: float) -> None:
        for fingerprint in record.fingerprints:
            if not self.is_refused(fingerprint, at_s):
                self._standings.pop(fingerprint, None)

    def _bound(self) -> None:
        while len(self._standings) > MOST_SUSPECTS:
            self._standings.pop(next(iter(self._standings)))


@final
class Permits:
    """Lets one entry daemon at a time run a suspect, each fingerprint apart."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def ask(self, fingerprint: str, now_s: float) -> float:
        """Return 0 where the run is permitted now, or when to ask again."""
        self._until_s = {
            name: until_s for name, until_s in self._until_s.items() if until_s > now_s
        }
        until_s = self._until_s.get(fingerprint)
        if until_s is not None:
            return until_s - now_s
        self._until_s[fingerprint] = now_s + PERMIT_S
        return 0.0

    def end(self, fingerprint: str) -> None:
        """Note that the permitted run ended without a crash."""
        self._until_s.pop(fingerprint, None)


def _suspect(known: _Standing, at_s: float) -> _Standing:
    until_s = max(known.probation_until_s, at_s + SUSPECTED_S)
    return known._replace(probation_until_s=until_s)
