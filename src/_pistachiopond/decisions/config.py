"""Folds the ``config`` stream: the manifest in force and the withdrawn keys.

The result depends only on the records and their order, so every daemon and
``pond publish`` compute the same one.
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
    """Outcome: the manifest is in force from this record on."""

    publication_id: str
    number: int


class Refused(NamedTuple):
    """Outcome: this record does not put its manifest in force, now or later.

    Attributes
    ----------
    publication_id : str
        Identifies the operator's publication; empty if the record is unreadable.
    reason : str
        ``duplicate`` means that the same publication was accepted before.
    details : tuple of str
        One line for each fault, with how to correct it.
    """

    publication_id: str
    reason: RefusalReason
    details: tuple[str, ...]


class Withdrawn(NamedTuple):
    """Outcome: these keys are refused from this record on."""

    digests: tuple[str, ...]


class Passed(NamedTuple):
    """Outcome: the record has no effect; it is a snapshot or unreadable."""

    detail: str
    snapshot_covers_offset: int = -1


Outcome = Accepted | Refused | Withdrawn | Passed


def fold_record(state: ConfigState, offset: int, payload: str) -> Step[ConfigState]:
    """Fold one record into the state.

    Parameters
    ----------
    state : ConfigState
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
    record = read_record(CONFIG_KINDS, payload)
    state = state._replace(covers_offset=offset)
    if record.is_err():
        return Step(state, Passed("; ".join(record.unwrap_err())))
    return _fold_parsed(state, record.unwrap())


def _fold_parsed(
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
    """Return why the manifest would be refused as the next record, or None.

    Parameters
    ----------
    state : ConfigState
        The state before the publication.
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
