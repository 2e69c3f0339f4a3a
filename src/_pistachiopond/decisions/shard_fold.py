"""Folds a shard's stream: who holds the shard, and which orders are not settled.

Every claim and renewal names the one that it follows, so the first in log order
wins and a late or repeated one changes nothing. Each also carries what its writer
had read, which serves later readers as a snapshot.
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

# What becomes of a record is told by whether it is None (no effect) or the record.
ShardStep = Step[ShardState]


def fold_record(state: ShardState, offset: int, payload: str) -> ShardStep:
    """Take one record into account; the outcome is the record if it took effect.

    Parameters
    ----------
    state : ShardState
        The state before it; must cover exactly the offsets below.
    offset : int
        The record's offset.
    payload : str
        Its text; one that can't be read changes nothing, in every reader alike.

    Raises
    ------
    ValueError
        When records before it have been left out.
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
            return _announce(state, record)
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


def _announce(state: ShardState, record: IntentRecord) -> ShardState | None:
    intent = record.intent
    if not _is_holder(state, intent.holder, intent.epoch) or state.is_released:
        return None
    known = ((item.holder, item.order.number) for item in state.intents)
    if (intent.holder, intent.order.number) in known:
        return None
    return state._replace(intents=(*state.intents, intent))


def _settle(state: ShardState, record: SettlementRecord) -> ShardState | None:
    by_itself = record.writer == record.about
    if not by_itself and not _is_holder(state, record.writer, record.epoch):
        return None
    over = frozenset(record.numbers)
    left = tuple(
        item
        for item in state.intents
        if item.holder != record.about or item.order.number not in over
    )
    if left == state.intents:
        return None
    return state._replace(intents=left)


def _snapshot_in(payload: str) -> ShardState | None:
    record = read_record(SHARD_KINDS, payload).ok()
    if isinstance(record, (ClaimRecord, RenewalRecord)):
        return record.seen
    return None


SHARD_FOLD: Final = StreamFold(ShardState(), fold_record, _snapshot_in)
