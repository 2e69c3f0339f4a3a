"""Cache of a store topic, filled from the store or from the leader's relay.

The leader reads the store and relays changes to the other VMs, so that the number of
calls to the store does not grow with the number of VMs. A VM that gets no replies from
the leader reads the store itself.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.observe.containment import contained
from _pistachiopond.observe.logs import log_change
from _pistachiopond.platform.store import KeyedRecord, Snapshot
from _pistachiopond.schema.peer_messages import RelayedRecord, TopicProof
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm.clock import boot_s

# A VM reads the store itself when the leader's own copy was last confirmed longer ago
# than this.
MAX_RELAY_AGE_S: Final = 2.4
# What the operators and the servers wrote shortly before the store was away, or came
# back from an older copy, is written again within about two seconds of its return.
REWRITE_S: Final = 2.2


class TopicCallbacks(NamedTuple):
    """Receivers of a topic's updates.

    Attributes
    ----------
    apply : callable
        Called with each new record; returns whether it changes anything.
    apply_copied : callable
        Like `apply`, for the records found when the store has come back from an older
        copy. They may be older than those applied before.
    mark_current : callable
        Called with the time until which all records have been applied.
    store_restored : callable
        Called when the store has come back from an older copy, before any of its
        records is applied.
    """

    apply: Callable[[KeyedRecord], bool]
    apply_copied: Callable[[KeyedRecord], bool]
    mark_current: Callable[[float], None]
    store_restored: Callable[[], None]


@final
class TopicCache:
    """The newest record of each key of one topic, and how current the copy is."""

    def __init__(
        self,
        callbacks: TopicCallbacks,
        *,
        is_versioned: bool,
        is_unversioned_key: Callable[[str], bool] = lambda key: False,
    ) -> None:
        """Start empty.

        Parameters
        ----------
        callbacks : TopicCallbacks
            Receivers of the topic's updates.
        is_versioned : bool
            Whether the content of records says which one is newer. The cache then
            keeps a record that the store has lost until a newer one is written, and
            relays it. Otherwise positions decide.
        is_unversioned_key : callable
            Returns whether a key of a versioned topic is an exception: positions decide
            which of its records is newer, and its record can be deleted. If the store
            has lost the record, the cache keeps it until it must have been written
            again.
        """
        self._callbacks = callbacks
        self._is_versioned = is_versioned
        self._is_unversioned_key = is_unversioned_key
        self._records: dict[str, KeyedRecord] = {}
        self._era: int | None = None
        # The era of the first record and then of the last snapshot or proof. A snapshot
        # of a later era is an older copy.
        self._read_era: int | None = None
        # Until then, what this process read at its start may be an older copy.
        self._confirmed_from_s = float("-inf")
        # What the store has lost and will get back has been written again by then.
        self._rewritten_from_s = float("-inf")
        self.next_position: StorePosition | None = None
        self.current_as_of_s = float("-inf")
        self.on_change: Callable[[list[KeyedRecord]], None] | None = None

    def replace(self, snapshot: Snapshot) -> bool:
        """Apply a snapshot; keys missing from it count as deleted.

        A snapshot of an earlier era than that of other records is ignored; returns
        whether it was applied.
        """
        era, end_offset = snapshot.end
        if self._era is not None and era < self._era:
            return False
        self._enter_era(era)
        is_copy = self._read_era is not None and self._read_era < era
        self._read_era = era
        apply = self._callbacks.apply_copied if is_copy else self._callbacks.apply
        kept = {record.key for record in snapshot.records}
        newest = max((record.position.offset for record in snapshot.records), default=0)
        for key, known in list(self._records.items()):
            if key in kept:
                continue
            if self._is_unversioned_key(key):
                if known.position.era == era:
                    position = StorePosition(era, end_offset - 1)
                    self._apply(KeyedRecord(position, key, b""), apply)
                continue
            # Before the end, so that a record written later replaces the deletion.
            offset = min(newest, end_offset - 1)
            if known.position.era == era:
                offset = max(newest, known.position.offset + 1)
            self._apply(KeyedRecord(StorePosition(era, offset), key, b""), apply)
        for record in snapshot.records:
            if not self._is_copied_deletion(record):
                self._apply(record, apply)
        self.next_position = snapshot.end
        return True

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record, unless the cached record of its key is as new."""
        self._enter_era(record.position.era)
        self._apply(record, self._callbacks.apply)

    def _is_copied_deletion(self, record: KeyedRecord) -> bool:
        """Return whether a snapshot deletes a record known from an earlier era.

        The record may have been written after the copy was made.
        """
        known = self._records.get(record.key)
        return (
            not record.value
            and known is not None
            and known.position.era < record.position.era
            and self._is_unversioned_key(record.key)
        )

    def _is_superseded(self, record: KeyedRecord, known: KeyedRecord | None) -> bool:
        """Return whether this copy has a newer record of the key, or its deletion."""
        if known is not None:
            return record.position <= known.position
        read_until = self.next_position
        return (
            read_until is not None
            and read_until.era == record.position.era
            and record.position < read_until
        )

    def _apply(self, record: KeyedRecord, apply: Callable[[KeyedRecord], bool]) -> None:
        known = self._records.get(record.key)
        is_unversioned = self._is_versioned and self._is_unversioned_key(record.key)
        if is_unversioned and self._is_superseded(record, known):
            return
        if self._is_versioned:
            if known is not None and known.value == record.value:
                is_newer = record.position > known.position
                self._records[record.key] = record if is_newer else known
                is_later_era = record.position.era > known.position.era
                if is_unversioned and is_later_era and self.on_change is not None:
                    # The other VMs have to know that the store still has it.
                    self.on_change([record])
                return
            is_changed = _apply_contained(apply, record)
            is_deletion = is_unversioned and not record.value
            if is_changed or known is None or is_deletion:
                self._records[record.key] = record
        else:
            if known is not None and record.position <= known.position:
                return
            self._records[record.key] = record
            is_changed = _apply_contained(apply, record)
        # Most records are server heartbeats, which change nothing and are not relayed.
        if is_changed and self.on_change is not None:
            self.on_change([record])

    def _enter_era(self, era: int) -> None:
        """Note the era of a record or proof; report if the store was restored."""
        known = self._era
        if known is not None and era <= known:
            return
        self._era = era
        if known is None:
            self._read_era = era
            if era > 0:
                # The store has come back at some time, perhaps just before.
                self._confirmed_from_s = boot_s() + REWRITE_S
                self._rewritten_from_s = self._confirmed_from_s
            return
        self._rewritten_from_s = boot_s() + REWRITE_S
        log_change("store came back from an older copy", era=era, earlier_era=known)
        if self.next_position is not None and self.next_position.era < era:
            self.next_position = None
        self._callbacks.store_restored()

    def mark_current(self, at_s: float) -> None:
        """Record that all records written until `at_s` have been applied.

        A process that starts when the store may just have come back from an older copy
        has nothing to compare the copy with. So it takes no copy for current until what
        was lost has been written again, or a leader that knows confirms it.
        """
        self.current_as_of_s = max(self.current_as_of_s, at_s)
        if at_s >= self._rewritten_from_s:
            self._delete_lost()
        if at_s >= self._confirmed_from_s:
            self._callbacks.mark_current(at_s)

    def _delete_lost(self) -> None:
        """Delete unversioned records that the store has lost for good."""
        if self._era is None:
            return
        for key, known in list(self._records.items()):
            is_lost = bool(known.value) and known.position.era < self._era
            if is_lost and self._is_unversioned_key(key):
                # Before the first offset, so that any record of this era replaces it.
                position = StorePosition(self._era, -1)
                self._apply(KeyedRecord(position, key, b""), self._callbacks.apply)

    def is_confirmed(self) -> bool:
        """Return whether the copy is known not to be an older one."""
        return self.current_as_of_s >= self._confirmed_from_s

    def records(self) -> list[KeyedRecord]:
        """Return the newest record of each key."""
        return list(self._records.values())

    def proof(self) -> TopicProof:
        """Return the age of the copy, and the position to continue reading from.

        A copy that is not confirmed proves nothing, so it has no position.
        """
        position = self.next_position if self.is_confirmed() else None
        return {
            "age_s": round(boot_s() - self.current_as_of_s, 3),
            "next_offset": -1 if position is None else position.offset,
            "era": 0 if position is None else position.era,
            "relays_deletions": True,
        }

    def take_proof(self, proof: TopicProof, asked_s: float) -> bool:
        """Apply the leader's statement of how current the relayed records are.

        Returns whether the statement shows that the records are current enough.

        Parameters
        ----------
        proof : TopicProof
            From the leader's reply to a report.
        asked_s : float
            When the report was sent.
        """
        if proof["next_offset"] < 0 or proof["age_s"] > MAX_RELAY_AGE_S:
            return False
        if self._is_versioned and not proof.get("relays_deletions", False):
            # Leaders of older builds relay versioned records only.
            return False
        if self.next_position is None and not self._records:
            # The leader has relayed nothing yet, so its copy is not here.
            return False
        # VMs of builds that do not know eras send none.
        position = StorePosition(proof.get("era", 0), proof["next_offset"])
        if self._era is not None and position.era < self._era:
            return False
        self._enter_era(position.era)
        self._read_era = position.era
        self._confirmed_from_s = float("-inf")
        known = self.next_position
        self.next_position = position if known is None else max(position, known)
        self.mark_current(asked_s - proof["age_s"])
        return True


def _apply_contained(apply: Callable[[KeyedRecord], bool], record: KeyedRecord) -> bool:
    """Apply a record; one that cannot be applied counts as a change.

    It is relayed, since VMs of other builds may be able to apply it.
    """
    with contained("record", key=record.key, offset=record.position.offset):
        return apply(record)
    return True


def to_relayed(topic: str, record: KeyedRecord) -> RelayedRecord:
    """Return a record in the form that is sent to other VMs."""
    return {
        "topic": topic,
        "offset": record.position.offset,
        "era": record.position.era,
        "key": record.key,
        "value": record.value.decode("latin-1"),
    }


def from_relayed(plain: RelayedRecord) -> KeyedRecord:
    """Return the record in a message of another VM."""
    value = plain["value"].encode("latin-1")
    position = StorePosition(plain.get("era", 0), int(plain["offset"]))
    return KeyedRecord(position, plain["key"], value)
