"""Cache of a store topic, filled from the store or from the leader's relay.

The leader reads the store and relays changes to the other VMs, so that the number of
calls to the store does not grow with the number of VMs. A VM that gets no replies from
the leader reads the store itself.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.peer_messages import RelayedRecord, TopicProof
from _pistachiopond.vm.clock import boot_s

# A VM reads the store itself when the leader's own copy was last confirmed longer ago
# than this.
MAX_RELAY_AGE_S: Final = 2.4


class TopicCallbacks(NamedTuple):
    """Receivers of a topic's updates.

    Attributes
    ----------
    apply : callable
        Called with each new record; returns whether it changes anything.
    mark_current : callable
        Called with the time until which all records have been applied.
    """

    apply: Callable[[KeyedRecord], bool]
    mark_current: Callable[[float], None]


@final
class TopicCache:
    """The newest record of each key of one topic, and how current the copy is."""

    def __init__(self, callbacks: TopicCallbacks) -> None:
        self._callbacks = callbacks
        self._records: dict[str, KeyedRecord] = {}
        self.next_offset: int | None = None
        self.current_as_of_s = float("-inf")
        self.on_change: Callable[[list[KeyedRecord]], None] | None = None

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply a snapshot; keys missing from it count as deleted."""
        kept = {record.key for record in records}
        lost = [key for key in self._records if key not in kept]
        newest = max((record.offset for record in records), default=0)
        for key in lost:
            self.apply(KeyedRecord(max(newest, self._offset(key) + 1), key, b""))
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record, unless the cached record of its key is as new."""
        if record.offset <= self._offset(record.key):
            return
        self._records[record.key] = record
        # Most records are server heartbeats, which change nothing and are not relayed.
        if self._callbacks.apply(record) and self.on_change is not None:
            self.on_change([record])

    def mark_current(self, at_s: float) -> None:
        """Record that all records written until `at_s` have been applied."""
        self.current_as_of_s = max(self.current_as_of_s, at_s)
        self._callbacks.mark_current(at_s)

    def records(self) -> list[KeyedRecord]:
        """Return the newest record of each key."""
        return list(self._records.values())

    def proof(self) -> TopicProof:
        """Return the age of the copy, and the offset to continue reading from."""
        return {
            "age_s": round(boot_s() - self.current_as_of_s, 3),
            "next_offset": -1 if self.next_offset is None else self.next_offset,
        }

    def take_proof(self, proof: TopicProof, asked_s: float) -> None:
        """Apply the leader's statement of how current the relayed records are.

        Parameters
        ----------
        proof : TopicProof
            From the leader's reply to a report.
        asked_s : float
            When the report was sent.
        """
        if proof["next_offset"] < 0 or proof["age_s"] > MAX_RELAY_AGE_S:
            return
        self.next_offset = max(proof["next_offset"], self.next_offset or 0)
        self.mark_current(asked_s - proof["age_s"])

    def _offset(self, key: str) -> int:
        known = self._records.get(key)
        return -1 if known is None else known.offset


def to_relayed(topic: str, record: KeyedRecord) -> RelayedRecord:
    """Return a record in the form that is sent to other VMs."""
    return {
        "topic": topic,
        "offset": record.offset,
        "key": record.key,
        "value": record.value.decode("latin-1"),
    }


def from_relayed(plain: RelayedRecord) -> KeyedRecord:
    """Return the record in a message of another VM."""
    value = plain["value"].encode("latin-1")
    return KeyedRecord(int(plain["offset"]), plain["key"], value)
