"""What the leader has read of the store's topics, passed on to the other VMs.

One VM follows the store and the others hear of changes from it, so that calls to the
store do not grow with the VMs. A VM that does not hear from the leader reads again.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.peer_messages import RelayedRecord, TopicProof
from _pistachiopond.vm.clock import boot_s

# A VM reads by itself when the leader's own proof is older than this.
RELAY_AGE_S: Final = 2.4


class TopicView(NamedTuple):
    """What a relay needs of one follower.

    Attributes
    ----------
    apply : callable
        Receives a record and returns whether it changes anything.
    reached : callable
        Receives a time up to which all is applied.
    """

    apply: Callable[[KeyedRecord], bool]
    reached: Callable[[float], None]


@final
class TopicShelf:
    """The newest record of each key of one topic, and how far it is known."""

    def __init__(self, view: TopicView) -> None:
        self._view = view
        self._records: dict[str, KeyedRecord] = {}
        self.next_offset: int | None = None
        self.reached_s = float("-inf")
        self.on_change: Callable[[list[KeyedRecord]], None] | None = None

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take a snapshot; keys that it lacks are deleted."""
        kept = {record.key for record in records}
        lost = [key for key in self._records if key not in kept]
        newest = max((record.offset for record in records), default=0)
        for key in lost:
            self.apply(KeyedRecord(max(newest, self._offset(key) + 1), key, b""))
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> None:
        """Take one record, unless a newer one of its key is known."""
        if record.offset <= self._offset(record.key):
            return
        self._records[record.key] = record
        # Most records are heartbeats of servers, which other VMs need not hear of.
        if self._view.apply(record) and self.on_change is not None:
            self.on_change([record])

    def reached(self, at_s: float) -> None:
        """Note up to when all records are known."""
        self.reached_s = max(self.reached_s, at_s)
        self._view.reached(at_s)

    def records(self) -> list[KeyedRecord]:
        """Return the newest record of each key."""
        return list(self._records.values())

    def proof(self) -> TopicProof:
        """Return how old the knowledge is, and from where to read on."""
        return {
            "age_s": round(boot_s() - self.reached_s, 3),
            "next_offset": -1 if self.next_offset is None else self.next_offset,
        }

    def take_proof(self, proof: TopicProof, asked_s: float) -> None:
        """Take the leader's proof, given in answer to a report of that time."""
        if proof["next_offset"] < 0 or proof["age_s"] > RELAY_AGE_S:
            return
        self.next_offset = max(proof["next_offset"], self.next_offset or 0)
        self.reached(asked_s - proof["age_s"])

    def _offset(self, key: str) -> int:
        known = self._records.get(key)
        return -1 if known is None else known.offset


def to_relayed(topic: str, record: KeyedRecord) -> RelayedRecord:
    """Return a record as it is sent to other VMs."""
    return {
        "topic": topic,
        "offset": record.offset,
        "key": record.key,
        "value": record.value.decode("latin-1"),
    }


def from_relayed(plain: RelayedRecord) -> KeyedRecord:
    """Return a record that another VM has sent."""
    value = plain["value"].encode("latin-1")
    return KeyedRecord(int(plain["offset"]), plain["key"], value)
