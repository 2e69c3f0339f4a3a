"""Folds the ``config`` stream: which manifest is in force, and which keys are not.

The result depends on the order of the records alone, so every daemon and
``pond publish`` come to the same one.
"""

from typing import Final, Literal, NamedTuple

from _pistachiopond.decisions.manifest_check import find_faults, find_unplaceable
from _pistachiopond.decisions.stream_reader import Step, StreamFold, check_follows
from _pistachiopond.schema.records import (
    CONFIG_KINDS,
    ConfigState,
    ManifestRecord,
    SnapshotRecord,
    WithdrawalRecord,
    read_record,
)
from _pistachiopond.schema.revision import Revision

RefusalReason = Literal["conflict", "invalid", "unplaceable", "duplicate"]


class Accepted(NamedTuple):
    """The manifest is in force from this record on."""

    publication_id: str
    number: int


class Refused(NamedTuple):
    """The manifest is not in force, and never will be by this record.

    Attributes
    ----------
    publication_id : str
        The operator's attempt; empty where the record could not be read.
    reason : str
        ``duplicate`` means that the same publication was accepted before.
    details : tuple of str
        One line for each fault, which says what to do.
    """

    publication_id: str
    reason: RefusalReason
    details: tuple[str, ...]


class Withdrawn(NamedTuple):
    """These keys are refused from this record on."""

    digests: tuple[str, ...]


class Passed(NamedTuple):
    """The record changes nothing: a snapshot, or one that can't be read."""

    detail: str
    snapshot_covers_offset: int = -1


Outcome = Accepted | Refused | Withdrawn | Passed


def fold_record(state: ConfigState, offset: int, payload: str) -> Step[ConfigState]:
    """Take one record into account.

    Parameters
    ----------
    state : ConfigState
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
    record = read_record(CONFIG_KINDS, payload)
    state = state._replace(covers_offset=offset)
    if record.is_err():
        return Step(state, Passed("; ".join(record.unwrap_err())))
    return _fold_typed(state, record.unwrap())


def _fold_typed(
    state: ConfigState, record: ManifestRecord | WithdrawalRecord | SnapshotRecord
) -> Step[ConfigState]:
    if isinstance(record, ManifestRecord):
        return _fold_manifest(state, record)
    if isinstance(record, WithdrawalRecord):
        digests = state.withdrawn_digests | frozenset(record.digests)
        return Step(
            state._replace(withdrawn_digests=digests), Withdrawn(record.digests)
        )
    return Step(state, Passed("snapshot", record.state.covers_offset))


def _fold_manifest(state: ConfigState, record: ManifestRecord) -> Step[ConfigState]:
    refusal = judge_manifest(state, record)
    if refusal is not None:
        return Step(state, refusal)
    number = state.covers_offset + 1
    accepted = state._replace(
        number=number,
        publication_id=record.publication_id,
        manifest=record.manifest,
    )
    return Step(accepted, Accepted(record.publication_id, number))


def judge_manifest(state: ConfigState, record: ManifestRecord) -> Refused | None:
    """Return why the manifest would be refused next, or None.

    Parameters
    ----------
    state : ConfigState
        The state that it would follow.
    record : ManifestRecord
        The publication.
    """
    publication_id = record.publication_id
    if state.number > 0 and publication_id == state.publication_id:
        text = f"revision {state.number} came from this publication already"
        return Refused(publication_id, "duplicate", (text,))
    if record.manifest.replaces_revision != state.number:
        text = (
            f"it replaces revision {record.manifest.replaces_revision}, but revision "
            f"{state.number} is in force; merge with that one and publish again"
        )
        return Refused(publication_id, "conflict", (text,))
    faults = find_faults(record.manifest)
    if faults:
        return Refused(publication_id, "invalid", faults)
    unplaceable = find_unplaceable(record.manifest, state.manifest)
    if unplaceable:
        return Refused(publication_id, "unplaceable", unplaceable)
    return None


def revision_of(state: ConfigState) -> Revision | None:
    """Return the revision in force; None before the first manifest."""
    if state.manifest is None:
        return None
    return Revision(
        state.number, state.manifest, state.withdrawn_digests, state.covers_offset
    )


def _snapshot_in(payload: str) -> ConfigState | None:
    record = read_record(CONFIG_KINDS, payload).ok()
    return record.state if isinstance(record, SnapshotRecord) else None


CONFIG_FOLD: Final = StreamFold(ConfigState(), fold_record, _snapshot_in)
