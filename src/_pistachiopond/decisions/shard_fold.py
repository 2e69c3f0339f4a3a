"""Folds a shard's stream into its state: the holder and the unsettled orders.

Every claim and renewal names the claim or renewal that it follows, so the first one in
log order takes effect and a late or repeated one does not. Each also carries the state
that its writer had read, which later readers use as a snapshot.
"""

from typing import Final

from _pistachiopond.decisions.stream_reader import Step, StreamFold, check_follows
from _pistachiopond.schema.records import (
    SHARD_KINDS,
    ClaimRecord,
    IntentRecord,
    ReleaseRecord,
    RenewalRecord,
    SettlementRecord,
    ShardRecord,
    ShardState,
    read_record,
)

# The step's outcome is the record if it took effect, else None.
ShardStep = Step[ShardState]


def fold_record(state: ShardState, offset: int, payload: str) -> ShardStep:
    """Fold one record into the state; the outcome is the record if it took effect.

    Parameters
    ----------
    state : ShardState
        The state before the record; must cover exactly the offsets below it.
    offset : int
        The record's offset.
    payload : str
        The record's text. Unreadable text has no effect, in every reader alike.

    Raises
    ------
    ValueError
        When records before this one were skipped or it was folded already.
    """
    check_follows(state, offset)
    state = state._replace(covers_offset=offset)
    record = read_record(SHARD_KINDS, payload).ok()
    if record is None:
        return Step(state, None)
    changed = _apply(state, offset, record)
    if changed is None:
        return Step(state, None)
    return Step(changed, record)


def _apply(state: ShardState, offset: int, record: ShardRecord) -> ShardState | None:
    match record:
        case ClaimRecord():
            return _claim(state, offset, record)
        case RenewalRecord():
            return _renew(state, offset, record)
        case ReleaseRecord(holder=holder, epoch=epoch):
            if not _is_holder(state, holder, epoch) or state.is_released:
                return None
            return state._replace(is_released=True)
        case IntentRecord():
            return _add_intent(state, record)
        case SettlementRecord():
            return _settle(state, record)


def _is_holder(state: ShardState, holder: str, epoch: int) -> bool:
    return state.epoch == epoch and state.holder == holder


def _claim(state: ShardState, offset: int, record: ClaimRecord) -> ShardState | None:
    if record.seen.authority_offset != state.authority_offset:
        return None
    return state._replace(
        epoch=offset,
        authority_offset=offset,
        holder=record.holder,
        address=record.address,
        lease_s=record.lease_s,
        is_released=False,
    )


def _renew(state: ShardState, offset: int, record: RenewalRecord) -> ShardState | None:
    if not _is_holder(state, record.holder, record.epoch) or state.is_released:
        return None
    if record.seen.authority_offset != state.authority_offset:
        return None
    return state._replace(authority_offset=offset)


def _add_intent(state: ShardState, record: IntentRecord) -> ShardState | None:
    intent = record.intent
    if not _is_holder(state, intent.holder, intent.epoch) or state.is_released:
        return None
    known = ((item.holder, item.order.number) for item in state.intents)
    if (intent.holder, intent.order.number) in known:
        return None
    return state._replace(intents=(*state.intents, intent))


def _settle(state: ShardState, record: SettlementRecord) -> ShardState | None:
    is_own = record.writer == record.about
    if not is_own and not _is_holder(state, record.writer, record.epoch):
        return None
    settled_numbers = frozenset(record.numbers)
    remaining = tuple(
        item
        for item in state.intents
        if item.holder != record.about or item.order.number not in settled_numbers
    )
    if remaining == state.intents:
        return None
    return state._replace(intents=remaining)


def _snapshot_in(payload: str) -> ShardState | None:
    record = read_record(SHARD_KINDS, payload).ok()
    if isinstance(record, (ClaimRecord, RenewalRecord)):
        return record.seen
    return None


SHARD_FOLD: Final = StreamFold(ShardState(), fold_record, _snapshot_in)
