"""Decides in log order which claim of a keyed call runs.

The ledger is a fold over one ``calls-{n}`` stream: every reader of the same
records has the same ledger, so it does not matter which daemon decides, or how
many do. The rules never look at a clock; a claim that takes the place of an
expired one names it.
"""

import hashlib
from collections import deque
from typing import Final, Literal, NamedTuple, final

from _pistachiopond.schema.calls import CallRecord

KEY_WINDOW_S: Final = 24 * 3600.0
KEPT_BODY_BYTES: Final = 4096

Standing = Literal["free", "mine", "in_progress", "finished", "mismatch", "released"]


class CallState(NamedTuple):
    """The claim that won a call, and how it ended if it has.

    Attributes
    ----------
    claim : CallRecord
        The winning claim.
    outcome : CallRecord or None
        None while it may be running.
    at_s : float
        When the newest of both was appended, on the reader's clock.
    """

    claim: CallRecord
    outcome: CallRecord | None
    at_s: float


def call_name(customer: str, route: str, key_digest: str) -> str:
    """Return the digest that names a call; customers never share one."""
    digest = hashlib.sha256()
    for part in (customer, route, key_digest):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big") + data)
    return digest.hexdigest()


def call_partition(call: str, partitions: int) -> int:
    """Return the number of the stream that decides on a call."""
    return int(call[:8], 16) % partitions


@final
class CallLedger:
    """The state of all calls of one stream."""

    def __init__(self) -> None:
        self._calls: dict[str, CallState] = {}
        self._released: dict[str, float] = {}
        self._seen: set[str] = set()
        self._order: deque[tuple[float, str, str]] = deque()

    def apply(self, record: CallRecord, at_s: float) -> None:
        """Take the next record of the stream into account.

        Parameters
        ----------
        record : CallRecord
            Repeated ones change nothing.
        at_s : float
            When it was appended, on the reader's clock; used only to forget.
        """
        if record.kind == "claim":
            self._claim(record, at_s)
        elif record.kind == "released":
            self._release(record, at_s)
        else:
            self._finish(record, at_s)
        self._order.append((at_s, record.call, record.claim_id))

    def standing(self, call: str, claim_id: str, request_digest: str) -> Standing:
        """Return how a claim stands by the records so far."""
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
        """Return whether the claim is in the stream, whether it won or not."""
        return claim_id in self._seen

    def state(self, call: str) -> CallState | None:
        """Return the winning claim and its outcome."""
        return self._calls.get(call)

    def expired_claim(self, call: str, now_s: float) -> str:
        """Return the claim that a new one may replace, or an empty text."""
        state = self._calls.get(call)
        if state is None or now_s - state.at_s < KEY_WINDOW_S:
            return ""
        return state.claim.claim_id

    def forget(self, now_s: float) -> None:
        """Drop the identities of claims that are twice as old as the window."""
        while self._order and now_s - self._order[0][0] > 2 * KEY_WINDOW_S:
            at_s, call, claim_id = self._order.popleft()
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
