"""Tracks at which software version streams began, here and at the other VMs."""

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple, final
from weakref import WeakValueDictionary

from _pistachiopond.decisions.evacuation import mark_evacuated
from _pistachiopond.decisions.stream_versions import (
    RESUMPTION_GAP_S,
    STREAM_MEMORY_S,
    Contact,
    Origin,
    Past,
    PastSet,
    ServedModel,
    StoredVersions,
    StreamRecord,
    StreamVersions,
    VersionHistory,
)
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.peer_messages import StreamOrigin, VersionHistoryMessage
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet

# Records are sent in batches, so that messages do not grow with streams.
BATCH_PERIOD_S: Final = 0.1
MAX_RECORDS_PER_LINE: Final = 1_000
# Pause between two histories for members that have just started, which may be 0.25 MB
# each. A member asks again with its next report.
HISTORY_PAUSE_S: Final = 0.1
# Bound, over all VMs, on streams that pass over a busy preferred version: each costs a
# record at every VM. At 195 VMs, 200 records a second are 1.2 MB/s for the leader.
MAX_PASSED_OVER_PER_S: Final = 200.0
PASSED_OVER_BURST_S: Final = 5.0


class RecordStoring(NamedTuple):
    """What is known of the way of records to the store.

    Attributes
    ----------
    stores_records : bool
        Whether nothing kept the leader from writing them, by its last reply.
    unstored_s : float
        The time since a VM that leads last said so.
    is_confirmed : bool
        Whether the leader says of each record when the store has it; builds that don't
        are taken to have written what they relay.
    """

    stores_records: bool
    unstored_s: float
    is_confirmed: bool


@final
class RecordBatch:
    """Sends records at once, or with others `BATCH_PERIOD_S` after the last line."""

    def __init__(self, send: Callable[[list[StreamOrigin]], bool]) -> None:
        """Start without records.

        Parameters
        ----------
        send : callable
            Sends one line of records; returns False if it can't be sent now.
        """
        self._send = send
        self._records: dict[str, StreamRecord] = {}
        self._added_s: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._flushed_s = float("-inf")

    def add(self, records: Iterable[StreamRecord]) -> None:
        """Send these records with the next batch."""
        now_s = boot_s()
        for record in records:
            self._records[record.stream_id] = record
            self._added_s[record.stream_id] = now_s
        if self._records and self._timer is None:
            loop = asyncio.get_running_loop()
            delay_s = max(0.0, self._flushed_s + BATCH_PERIOD_S - now_s)
            self._timer = loop.call_later(delay_s, self._flush)

    def discard(self, stream_id: str) -> bool:
        """Drop the record of a stream; return False if it has been sent."""
        is_unsent = stream_id in self._records
        if is_unsent:
            self._remove(stream_id)
        return is_unsent

    def _flush(self) -> None:
        self._timer = None
        self._flushed_s = now_s = boot_s()
        for stream_id in [
            name
            for name, added_s in self._added_s.items()
            if now_s - added_s > STREAM_MEMORY_S
        ]:
            self._remove(stream_id)
        while self._records:
            names = list(self._records)[:MAX_RECORDS_PER_LINE]
            line = [
                encode_record(self._records[name], now_s - self._added_s[name])
                for name in names
            ]
            if not self._send(line):
                self.add([])
                return
            for name in names:
                self._remove(name)

    def _remove(self, stream_id: str) -> None:
        del self._records[stream_id], self._added_s[stream_id]


@final
class StreamOrigins:
    """A VM's knowledge of streams' versions, fed by its fleet and the leader."""

    def __init__(
        self,
        fleet: Fleet,
        send: Callable[[list[StreamOrigin]], bool],
        contact_age_s: Callable[[], float],
        member_count: Callable[[], int],
        storing: Callable[[], RecordStoring] = lambda: RecordStoring(True, 0.0, False),
    ) -> None:
        """Start without any streams.

        Parameters
        ----------
        fleet : Fleet
            The backend servers.
        send : callable
            Sends records to the leader; returns False if none is connected.
        contact_age_s : callable
            Returns the time since a leader's reply proved contact with all VMs.
        member_count : callable
            Returns the number of VMs.
        storing : callable
            Returns what is known of the way of records to the store.
        """
        self._fleet = fleet
        self._storing = storing
        self._member_count = member_count
        self._pass_over_tokens = 1.0
        self._tokens_as_of_s = boot_s()
        self._contact_age_s = contact_age_s
        self._batch = RecordBatch(send)
        self._awaited: WeakValueDictionary[tuple[str, str], asyncio.Event] = (
            WeakValueDictionary()
        )
        self._versions = StreamVersions()
        self._oldest_since_s = float("inf")
        self._history_sent_s = float("-inf")
        self._seen_changes = -1
        self._refreshed_s = float("-inf")
        self._past: Past = "unread"
        self._seen_versions: Mapping[str, frozenset[str]] = {}
        # Changes of what the store should keep.
        self.stored_changes = 0

    def refresh(self) -> None:
        """Apply changes of the servers; cheap if there are none."""
        fleet, now_s = self._fleet, boot_s()
        if not fleet.is_loaded:
            return
        is_changed = fleet.version_change_count != self._seen_changes
        if not is_changed and now_s - self._refreshed_s < 1.0:
            return
        self._seen_changes, self._refreshed_s = fleet.version_change_count, now_s
        changed = self._versions.sets.update(
            fleet.software_versions(),
            self._weights,
            now_s,
            self._storing().unstored_s,
        )
        self._versions.forget_old(now_s)
        versions = fleet.software_versions()
        if changed or versions != self._seen_versions:
            self._seen_versions = versions
            self.stored_changes += 1
        if changed:
            self._batch.add(self._versions.streams_to_record(changed, now_s))

    def _weights(
        self, services: frozenset[str]
    ) -> Mapping[ServedModel, Mapping[str, int]]:
        return weigh_versions(self._fleet, services)

    def preferred(self, stream_id: str, served_model: ServedModel) -> str | None:
        """Return the version at which a new stream should begin; None for any."""
        self.refresh()
        return self._versions.sets.preferred(stream_id, served_model)

    def may_pass_over_preferred(self) -> bool:
        """Return whether a stream may begin elsewhere since its version is busy."""
        if not self.contact().may_record():
            return False
        now_s = boot_s()
        rate_per_s = MAX_PASSED_OVER_PER_S / self._member_count()
        self._pass_over_tokens = min(
            max(1.0, rate_per_s * PASSED_OVER_BURST_S),
            self._pass_over_tokens + rate_per_s * (now_s - self._tokens_as_of_s),
        )
        self._tokens_as_of_s = now_s
        if self._pass_over_tokens < 1.0:
            return False
        self._pass_over_tokens -= 1.0
        return True

    def may_start(
        self, stream_id: str, served_model: ServedModel, version: str
    ) -> bool:
        """Return whether VMs will know the version if a stream begins there."""
        return self._versions.may_start(
            stream_id, served_model, version, self.contact(), boot_s()
        )

    def started(
        self, stream_id: str, served_model: ServedModel, version: str
    ) -> asyncio.Event | None:
        """Remember a stream that begins or goes on, and tell others if needed.

        Returns
        -------
        asyncio.Event or None
            Set when other VMs and the store have the record; None if they need none.
        """
        record = self._versions.record_start(
            stream_id, served_model, version, boot_s(), self._storing().unstored_s
        )
        if record is None:
            return None
        self._batch.add([record])
        recorded = self._awaited.get((stream_id, version))
        if recorded is None:
            recorded = self._awaited[stream_id, version] = asyncio.Event()
        return recorded

    def failed_without_event(self, stream_id: str) -> bool:
        """Forget the version at which a new stream was tried last.

        Returns whether its record was still unsent, and will not be sent.
        """
        self._versions.record_no_event(stream_id)
        return self._batch.discard(stream_id)

    def completed(self, stream_id: str) -> None:
        """Record that the caller has been sent the whole stream."""
        self._versions.record_end(stream_id)

    def resolve(self, stream_id: str, served_model: ServedModel) -> Origin:
        """Return the version that began a stream."""
        self.refresh()
        return self._versions.resolve(stream_id, served_model, boot_s())

    def only_version(self, service: str) -> str | None:
        """Return the version of a service that has had no other one lately."""
        self.refresh()
        return self._versions.sets.only_version(service)

    def contact(self) -> Contact:
        """Return how current this VM's knowledge is."""
        storing = self._storing()
        return Contact(
            self._contact_age_s(),
            self._fleet.entries_age_s(),
            self._versions.sets.known_s(boot_s()),
            self.oldest_known_s(),
            self._past,
            storing.stores_records,
            storing.unstored_s,
        )

    def oldest_known_s(self) -> float:
        """Return for how long any VM has known the servers, as far as is known."""
        now_s = boot_s()
        return max(self._versions.sets.known_s(now_s), now_s - self._oldest_since_s)

    def set_oldest_known_s(self, known_s: float) -> None:
        """Apply for how long any VM has known the servers, as the leader says."""
        self._oldest_since_s = min(self._oldest_since_s, boot_s() - known_s)
        if known_s >= RESUMPTION_GAP_S and self._versions.sets.has_stored():
            self._versions.sets.drop_stored()
            self._seen_changes = -1
            self.stored_changes += 1

    def needs_stored(self) -> bool:
        """Return whether this VM lacks what the store keeps for the loss of all VMs."""
        return self._past == "unread" and self.contact().are_all_young()

    def take_stored(
        self, stored: StoredVersions | None, records: Iterable[StreamOrigin]
    ) -> None:
        """Take what the store kept when this VM started.

        It counts until the leader's reply tells that a VM of before still runs.

        Parameters
        ----------
        stored : StoredVersions or None
            The sets of versions; None if they are no proof.
        records : iterable of StreamOrigin
            The streams that the sets do not yield, in the order of their writing.
        """
        if self._past != "unread":
            return
        self._past = "absent" if stored is None else "known"
        if stored is None:
            return
        now_s = boot_s()
        self._versions.sets.take_stored(stored, now_s)
        # VMs share no clock, so all count from now on.
        kept = [
            StreamRecord(stream_id, version, 0.0) for stream_id, version, _ in records
        ]
        self._versions.add_records(kept, now_s)
        self._seen_changes = -1
        self.stored_changes += 1
        log_change(
            "versions of before all VMs' start known from the store",
            models=len(stored.models),
            streams=len(kept),
        )

    def stored(self) -> StoredVersions | None:
        """Return what the store should keep.

        None if it is too much, or if this VM may lack some.
        """
        self.refresh()
        contact = self.contact()
        if contact.known_s < RESUMPTION_GAP_S and contact.past != "known":
            return None
        return self._versions.stored(boot_s())

    def lacks_history(self) -> bool:
        """Return whether another VM may know versions from before this VM's start."""
        sets = self._versions.sets
        if not sets.is_known() or sets.known_s(boot_s()) >= RESUMPTION_GAP_S:
            return False
        return self._past != "known" or not self.contact().are_all_young()

    # Messages from and to other VMs.

    def leader_changed(self) -> None:
        """Send all records of this VM's streams to the new leader."""
        self._batch.add(self._versions.own_records(boot_s()))

    def apply(self, plain: Iterable[StreamOrigin]) -> list[StreamRecord]:
        """Keep other VMs' records; return those that a leader relays."""
        records = [StreamRecord(*item) for item in plain]
        return self._versions.add_records(records, boot_s())

    def apply_relayed(self, plain: Iterable[StreamOrigin]) -> None:
        """Keep records that the leader has relayed, this VM's own among them."""
        records = self.apply(plain)
        if not self._storing().is_confirmed:
            self._set_recorded((item.stream_id, item.version) for item in records)

    def apply_stored(self, streams: Iterable[tuple[str, str]]) -> None:
        """Release the streams whose records the store has, by id and version."""
        self._set_recorded(streams)

    def _set_recorded(self, streams: Iterable[tuple[str, str]]) -> None:
        for stream_id, version in streams:
            recorded = self._awaited.get((stream_id, version))
            if recorded is not None:
                recorded.set()

    def recent_records(self, max_age_s: float) -> list[StreamOrigin]:
        """Return the records of the last seconds, for a VM that connects."""
        records = self._versions.recent_records(max_age_s, boot_s())
        return [encode_record(record, 0.0) for record in records]

    def history(self, member_known_s: float) -> VersionHistoryMessage | None:
        """Return which versions were in service; None if this VM may lack some.

        Parameters
        ----------
        member_known_s : float
            For how long the receiver has known the servers itself.
        """
        self.refresh()
        now_s = boot_s()
        is_too_soon = now_s - self._history_sent_s < HISTORY_PAUSE_S
        if is_too_soon or not self.contact().may_pass_on_history(member_known_s):
            return None
        self._history_sent_s = now_s
        history = self._versions.sets.history(now_s)
        if history is None:
            return None
        return encode_history(history)

    def take_history(self, plain: VersionHistoryMessage) -> None:
        """Know what the leader knew when it replied to a report of this VM."""
        self._versions.sets.take_history(decode_history(plain), boot_s())
        self._past = "known"
        self._seen_changes = -1
        self.stored_changes += 1
        log_change(
            "versions of before this VM's start known",
            known_s=plain["known_s"],
            models=len(plain["models"]),
        )

    def counts(self) -> tuple[int, int]:
        """Return how many streams are remembered and how many records are kept."""
        return self._versions.count()


def encode_record(record: StreamRecord, waited_s: float) -> StreamOrigin:
    """Return a record in the form in which VMs send it."""
    return (record.stream_id, record.version, round(record.age_s + waited_s, 1))


def encode_history(history: VersionHistory) -> VersionHistoryMessage:
    """Return a history in the form in which VMs send it.

    Ages are rounded down, so that a version counts for longer rather than less long.
    """
    return {
        "known_s": _round_down(history.known_s),
        "services": {
            service: {
                version: (_round_down(first_age_s), _round_down(last_age_s))
                for version, (first_age_s, last_age_s) in versions.items()
            }
            for service, versions in history.services.items()
        },
        "models": [
            (
                *served_model,
                [(dict(item.weights), _round_down(item.ended_age_s)) for item in past],
            )
            for served_model, past in history.models.items()
        ],
    }


def decode_history(plain: VersionHistoryMessage) -> VersionHistory:
    """Return the history in a message."""
    return VersionHistory(
        plain["known_s"],
        {
            service: {version: (ages[0], ages[1]) for version, ages in versions.items()}
            for service, versions in plain["services"].items()
        },
        {
            ServedModel(service, model): [PastSet(*item) for item in past]
            for service, model, past in plain["models"]
        },
    )


def _round_down(age_s: float) -> float:
    return math.floor(age_s * 10.0) / 10.0


def weigh_versions(
    fleet: Fleet, services: frozenset[str]
) -> dict[ServedModel, dict[str, int]]:
    """Return the slots of each version's servers for each model of these services.

    Servers that are shutting down or in an evacuated data centre count only where no
    other server has the model.
    """
    staying: dict[ServedModel, dict[str, int]] = {}
    leaving: dict[ServedModel, dict[str, int]] = {}
    for service in services:
        for server in mark_evacuated(fleet.servers_of(service), fleet.evacuated):
            weights_by_model = leaving if server.is_leaving else staying
            for model in ("", *fleet.models_of(server)):
                weights = weights_by_model.setdefault(ServedModel(service, model), {})
                version = server.software_version
                weights[version] = weights.get(version, 0) + max(1, server.slots)
    return leaving | staying
