"""Decides which claim of a call with an idempotency key may run.

The ledger is a deterministic state machine that replays one ``calls-{n}`` stream of
the replicated log: of several claims of a call, the first in the log wins. All readers
of the same records have the same state, so it does not matter which daemon decides,
or how many do. The state transitions depend on no clock; a claim that replaces an
expired one names that claim.
"""

import hashlib
from collections import deque
from typing import Final, Literal, NamedTuple, final

from _pistachiopond.schema.calls import CallRecord

KEY_WINDOW_S: Final = 24 * 3600.0
KEPT_BODY_BYTES: Final = 4096

ClaimStatus = Literal["free", "mine", "in_progress", "finished", "mismatch", "released"]


class CallState(NamedTuple):
    """The winning claim of a call, and its outcome once it has ended.

    Attributes
    ----------
    claim : CallRecord
        The winning claim.
    outcome : CallRecord or None
        The record of the finished call; None while it may be running.
    at_s : float
        When the newer of the two was appended, by the reader's clock.
    """

    claim: CallRecord
    outcome: CallRecord | None
    at_s: float


def call_name(customer: str, route: str, key_digest: str) -> str:
    """Return the digest that identifies a call.

    Each part is prefixed with its length, so that calls of different customers or
    routes never have the same digest input.
    """
    digest = hashlib.sha256()
    for part in (customer, route, key_digest):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big") + data)
    return digest.hexdigest()


def call_partition(call: str, partitions: int) -> int:
    """Return the index of the stream that the call's records belong to."""
    return int(call[:8], 16) % partitions


@final
class CallLedger:
    """The state of all calls in one stream."""

    def __init__(self) -> None:
        self._calls: dict[str, CallState] = {}
        self._released: dict[str, float] = {}
        self._seen: set[str] = set()
        self._by_age: deque[tuple[float, str, str]] = deque()

    def apply(self, record: CallRecord, at_s: float) -> None:
        """Apply the next record of the stream.

        Parameters
        ----------
        record : CallRecord
            The record; repeated records change nothing.
        at_s : float
            When it was appended, by the reader's clock; used only for expiry.
        """
        if record.kind == "claim":
            self._claim(record, at_s)
        elif record.kind == "released":
            self._release(record, at_s)
        else:
            self._finish(record, at_s)
        self._by_age.append((at_s, record.call, record.claim_id))

    def status(self, call: str, claim_id: str, request_digest: str) -> ClaimStatus:
        """Return the status of a claim after the records applied so far."""
        if claim_id in self._released:
            return "released"
        state = self._calls.get(call)
        if state is None:
            return "free"
        if state.claim.request_digest != request_digest:
            return "mismatch"
        if state.outcome is not None:
            return "finished"
        return "mine" if state.claim.claim_id == claim_id else "in_progress"

    def has_seen(self, claim_id: str) -> bool:
        """Return whether the claim was read from the stream, whether or not it won."""
        return claim_id in self._seen

    def state(self, call: str) -> CallState | None:
        """Return the winning claim and its outcome, or None."""
        return self._calls.get(call)

    def expired_claim(self, call: str, now_s: float) -> str:
        """Return the ID of the expired claim that a new one may replace, or ''."""
        state = self._calls.get(call)
        if state is None or now_s - state.at_s < KEY_WINDOW_S:
            return ""
        return state.claim.claim_id

    def forget(self, now_s: float) -> None:
        """Remove claims older than twice the idempotency window."""
        while self._by_age and now_s - self._by_age[0][0] > 2 * KEY_WINDOW_S:
            at_s, call, claim_id = self._by_age.popleft()
            self._seen.discard(claim_id)
            self._released.pop(claim_id, None)
            state = self._calls.get(call)
            if state is not None and state.at_s <= at_s:
                del self._calls[call]

    def _claim(self, record: CallRecord, at_s: float) -> None:
        if record.claim_id in self._seen or record.claim_id in self._released:
            return
        self._seen.add(record.claim_id)
        state = self._calls.get(record.call)
        if state is None or state.claim.claim_id == record.replaces:
            self._calls[record.call] = CallState(record, None, at_s)

    def _release(self, record: CallRecord, at_s: float) -> None:
        state = self._calls.get(record.call)
        if state is None or state.claim.claim_id != record.claim_id:
            self._released[record.claim_id] = at_s
        elif state.outcome is None:
            self._released[record.claim_id] = at_s
            del self._calls[record.call]

    def _finish(self, record: CallRecord, at_s: float) -> None:
        state = self._calls.get(record.call)
        if state is None or state.claim.claim_id != record.claim_id:
            return
        if state.outcome is None:
            self._calls[record.call] = CallState(state.claim, record, at_s)
