"""Decides which software version of a service may run a resumable stream.

Servers of several software versions may serve side by side, and what two versions
write does not fit together. A stream that breaks may be taken up again at any VM, so
the version of a new stream is mostly a pure function of its first attempt's id and of
the versions in service: no message and no state are needed to know it elsewhere. Only
streams for which the function fails, since they began at another version or since the
versions in service changed, are recorded, at other VMs and in the store. All VMs may
end at any moment, and those that start afterwards compute the version of each stream
that the store has no record of. So the caller gets no event of a stream that others
can't compute before the store has its record, and while the store takes none, streams
begin only at the version that others compute.

The load is every resumable stream of a VM, some hundred a second at most, and the
changes of the servers that hold a model. One evaluation costs a hash for each version.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Literal, NamedTuple, final

from _pistachiopond.decisions.rendezvous import score

# For how long a stream's version is remembered after the last sign of the stream.
# Streams end within their routes' time limits, which are shorter.
STREAM_MEMORY_S: Final = 60.0
# Callers take a stream up again within this time of its break, or give it up. A VM
# that has known the servers for less lacks sets of versions that may matter.
RESUMPTION_GAP_S: Final = 10.0
# A leader is replaced within this time. A VM without a leader for longer is cut off,
# and lacks the records of others.
LEADER_CHANGE_S: Final = 4.0
# After this time without a leader's reply, no stream begins that needs a record: at 195
# VMs, two replies are 0.8 s apart.
RECORD_REACH_S: Final = 1.5
# Bounds on memory, for each VM. At 200 streams a second, 60 s are 12,000.
MAX_STARTED: Final = 20_000
MAX_RECORDS: Final = 20_000
# A leader's successor has told all VMs again of records younger than this.
RELAY_AGAIN_S: Final = 6.0
# Ages of records are rounded and leave out the time on the way, so records of one
# stream whose ages differ by less than this are ordered by their arrival.
RECORD_ORDER_S: Final = 1.0
# Bound on the earlier sets of versions of one model.
MAX_EARLIER_SETS: Final = 32
# Bound on the sets of all models in a history, of some 40 bytes each.
MAX_HISTORY_SETS: Final = 10_000
# In a history, stands for all models of a service.
ALL_MODELS: Final = "\0"
_SCORE_RANGE: Final = 2.0**64

OriginBasis = Literal["remembered", "recorded", "only_version", "computed", "ambiguous"]
# What a VM knows of the versions in service before any VM that runs: it has not read
# the store's record of them, found none that it can rely on, or has it.
Past = Literal["unread", "absent", "known"]


class ServedModel(NamedTuple):
    """A model of a service; `model` is empty for services without models."""

    service: str
    model: str


class StreamRecord(NamedTuple):
    """The version that began a stream, as sent between VMs.

    Attributes
    ----------
    stream_id : str
        The caller's attempt that brought the first event.
    version : str
        The software version.
    age_s : float
        The time since the last sign of the stream.
    """

    stream_id: str
    version: str
    age_s: float


class Origin(NamedTuple):
    """The version that began a stream, and how that is known.

    Attributes
    ----------
    version : str or None
        None if it is unknown.
    basis : str
        ``remembered`` (the stream ran at this VM), ``recorded`` (another VM told),
        ``only_version`` (the service has had no other one for `STREAM_MEMORY_S`),
        ``computed`` (all sets of versions in force meanwhile yield it), ``ambiguous``
        (they yield different versions, or none).
    """

    version: str | None
    basis: OriginBasis


class Contact(NamedTuple):
    """How current a VM's knowledge of servers and of other VMs' streams is.

    Attributes
    ----------
    contact_age_s : float
        The time since a leader's reply proved contact with all VMs.
    entries_age_s : float
        How old the servers' entries are.
    known_s : float
        For how long this VM has known the servers.
    oldest_known_s : float
        For how long the VM that has known them longest has done so, as far as this one
        was told.
    past : str
        What this VM knows of the time before.
    stores_records : bool
        Whether nothing kept the leader, or the one that handed the lead over, from
        writing records to the store, by its last reply.
    unstored_s : float
        The time since a VM that leads last said so. The sets of versions in the store
        are as of then.
    """

    contact_age_s: float
    entries_age_s: float
    known_s: float
    oldest_known_s: float
    past: Past = "absent"
    stores_records: bool = True
    unstored_s: float = 0.0

    def reaches_others(self) -> bool:
        """Return whether a record sent now reaches the other VMs."""
        return self.contact_age_s < RECORD_REACH_S

    def may_record(self) -> bool:
        """Return whether a record sent now reaches the other VMs and the store.

        While the lead changes, the next leader is expected to write it.
        """
        is_stored_soon = self.stores_records and self.unstored_s < RECORD_REACH_S
        return is_stored_soon and self.reaches_others()

    def is_behind(self) -> bool:
        """Return whether other VMs may know more of streams and versions."""
        is_young = self.known_s < RESUMPTION_GAP_S <= self.oldest_known_s
        return is_young or self.contact_age_s >= LEADER_CHANGE_S

    def may_pass_on_history(self, member_known_s: float) -> bool:
        """Return whether this VM knows what a younger one lacks.

        That is all from long enough ago until the younger one knew the servers itself,
        `member_known_s` ago at least.
        """
        is_old = self.known_s >= RESUMPTION_GAP_S
        knows_all = is_old or (self.are_all_young() and self.past == "known")
        return (
            knows_all and self.entries_age_s <= member_known_s and not self.is_behind()
        )

    def are_all_young(self) -> bool:
        """Return whether no VM has run for long enough to know all that matters.

        That is so after all VMs were lost at once. Then only the store's record tells
        which versions were in service before.
        """
        return max(self.known_s, self.oldest_known_s) < RESUMPTION_GAP_S

    def is_cut_off(self) -> bool:
        """Return whether servers of another version may serve unknown to this VM.

        Where the store serves nobody, no entry changes, and the leader still replies
        to all VMs. A VM whose contact ends while its entries are old already does not
        learn of the next leader, so no time is left for a change of leaders.
        """
        has_old_entries = self.entries_age_s >= LEADER_CHANGE_S
        return has_old_entries and not self.reaches_others()


ResumptionStep = Literal["goes_on", "version_unproved", "version_unknown"]


def judge_resumption(origin: Origin, contact: Contact) -> ResumptionStep:
    """Return whether a stream may go on, or why not.

    ``version_unproved`` means that another VM may know the version.
    """
    if origin.basis in ("computed", "ambiguous") and contact.is_behind():
        return "version_unproved"
    if origin.basis == "only_version" and contact.is_cut_off():
        return "version_unproved"
    if origin.basis in ("only_version", "computed") and contact.are_all_young():
        if contact.past == "unread":
            return "version_unproved"
        if contact.past == "absent":
            return "version_unknown"
    return "goes_on" if origin.version is not None else "version_unknown"


def preferred_version(stream_id: str, weights: Mapping[str, int]) -> str | None:
    """Return the version for a new stream, or None if none is in service.

    This is weighted rendezvous hashing: versions get streams in proportion to their
    weights, and a change of one weight moves only streams from or to that version.
    """

    def rank(version: str) -> tuple[float, str]:
        drawn = (score(stream_id, version) + 0.5) / _SCORE_RANGE
        return (-weights[version] / math.log(min(drawn, 1.0 - 2.0**-53)), version)

    return max(weights, key=rank, default=None)


class PastSet(NamedTuple):
    """Versions with their weights, and how long ago they were last in force.

    Attributes
    ----------
    weights : mapping of str to int
        The weight of each version.
    ended_age_s : float
        0 if they are in force.
    """

    weights: Mapping[str, int]
    ended_age_s: float


class VersionHistory(NamedTuple):
    """What a VM knows of the versions in service, for one that has just started.

    Attributes
    ----------
    known_s : float
        For how long the VM has known the servers.
    services : mapping of str to mapping
        For each service, how long ago each version was first and last in service.
    models : mapping of ServedModel to list of PastSet
        The sets of versions of each model of the services that have had several
        versions lately; for the others, the one version of all models.
    """

    known_s: float
    services: Mapping[str, Mapping[str, tuple[float, float]]]
    models: Mapping[ServedModel, list[PastSet]]


class StoredVersions(NamedTuple):
    """What the store keeps for the case that all VMs are lost at once.

    It has no times, since VMs share no clock: all of it counts for `STREAM_MEMORY_S`
    from when it is read.

    Attributes
    ----------
    models : mapping of ServedModel to list
        The weights of each set of versions within `STREAM_MEMORY_S`, as in
        `VersionHistory`.
    """

    models: Mapping[ServedModel, list[Mapping[str, int]]]


class _ToldSet(NamedTuple):
    """Versions with their weights that another VM knew to be in force."""

    weights: Mapping[str, int]
    until_s: float


class _VersionSet(NamedTuple):
    """Versions with their weights, and since when they are in force."""

    weights: Mapping[str, int]
    since_s: float


class _Served(NamedTuple):
    """When a version was first and last in service."""

    first_s: float
    last_s: float


class _Started(NamedTuple):
    served_model: ServedModel
    # None if no event came from the version that was tried last.
    version: str | None
    seen_s: float
    is_recorded: bool
    is_complete: bool


class _Recorded(NamedTuple):
    version: str
    seen_s: float


@final
class VersionSets:
    """The software versions in service, now and within `STREAM_MEMORY_S`."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, _Served]] = {}
        self._sets: dict[ServedModel, list[_VersionSet]] = {}
        # From a VM that has known the servers for longer.
        self._told: dict[ServedModel, list[_ToldSet]] = {}
        # From the store, of VMs that have gone.
        self._stored: Mapping[ServedModel, list[Mapping[str, int]]] = {}
        self._stored_s = float("-inf")
        self._several: frozenset[str] = frozenset()
        self._known_since_s = float("inf")

    def update(
        self,
        versions: Mapping[str, Iterable[str]],
        weights: Callable[[frozenset[str]], Mapping[ServedModel, Mapping[str, int]]],
        now_s: float,
        unstored_s: float = 0.0,
    ) -> frozenset[ServedModel]:
        """Set what is in service; return the models whose weights have changed.

        Parameters
        ----------
        versions : mapping of str to iterable of str
            The versions of each service.
        weights : callable
            Returns the weight of each version for each model of these services. It
            is asked only for services that have had several versions lately.
        now_s : float
            The present time.
        unstored_s : float
            The time since the store last took records. Sets of versions are kept for
            so much longer, since a VM that reads the store computes with them.
        """
        self._known_since_s = min(self._known_since_s, now_s)
        several = self._update_services(versions, now_s)
        for served_model, sets in list(self._sets.items()):
            if served_model.service not in several:
                del self._sets[served_model]
                continue
            kept_since_s = now_s - STREAM_MEMORY_S - unstored_s
            while len(sets) > 1 and sets[1].since_s < kept_since_s:
                del sets[0]
        self._forget_told(now_s)
        new_services, self._several = several - self._several, several
        if not several:
            return frozenset()
        return self._update_models(weights(several), new_services, now_s)

    def _update_services(
        self, versions_by_service: Mapping[str, Iterable[str]], now_s: float
    ) -> frozenset[str]:
        """Set the versions of each service; return services with several lately."""
        for service, versions in versions_by_service.items():
            served = self._services.setdefault(service, {})
            for version in versions:
                first_s = served[version].first_s if version in served else now_s
                served[version] = _Served(first_s, now_s)
        for service, served in list(self._services.items()):
            for version, times in list(served.items()):
                if now_s - times.last_s > STREAM_MEMORY_S:
                    del served[version]
            if not served:
                del self._services[service]
        if now_s - self._stored_s > STREAM_MEMORY_S:
            self._stored = {}
        return frozenset(
            service
            for service, served in self._services.items()
            if len(served.keys() | self._stored_versions(service)) > 1
        )

    def _update_models(
        self,
        weights: Mapping[ServedModel, Mapping[str, int]],
        new_services: frozenset[str],
        now_s: float,
    ) -> frozenset[ServedModel]:
        changed = set()
        for served_model in weights.keys() | self._sets.keys():
            new = weights.get(served_model, {})
            sets = self._sets.get(served_model)
            if sets is None:
                is_new = served_model.service in new_services
                sets = self._earlier_sets(served_model.service) if is_new else []
                self._sets[served_model] = sets
            if sets and sets[-1].weights == new:
                continue
            changed.add(served_model)
            sets.append(_VersionSet(dict(new), now_s if sets else float("-inf")))
            while len(sets) > MAX_EARLIER_SETS + 1:
                del sets[0]
        return frozenset(changed)

    def only_version(self, service: str) -> str | None:
        """Return the version of a service that has had no other one lately."""
        served = self._services.get(service, {})
        versions = served.keys() | self._stored_versions(service)
        return next(iter(versions)) if len(versions) == 1 else None

    def is_known(self) -> bool:
        """Return whether the servers are known."""
        return self._known_since_s < float("inf")

    def known_s(self, now_s: float) -> float:
        """Return for how long the servers have been known."""
        return max(0.0, now_s - self._known_since_s)

    def preferred(self, stream_id: str, served_model: ServedModel) -> str | None:
        """Return the version for a new stream, or None if no server is known."""
        sets = self._sets.get(served_model)
        return preferred_version(stream_id, sets[-1].weights) if sets else None

    def possible(
        self, stream_id: str, served_model: ServedModel, since_s: float
    ) -> frozenset[str]:
        """Return the versions by the function, over all sets in force since then."""
        versions = set()
        for item in reversed(self._sets.get(served_model, ())):
            versions.add(preferred_version(stream_id, item.weights))
            if item.since_s <= since_s:
                break
        for key in (served_model, served_model._replace(model=ALL_MODELS)):
            for told in self._told.get(key, ()):
                if told.until_s > since_s:
                    versions.add(preferred_version(stream_id, told.weights))
            if self._stored_s > since_s:
                for weights in self._stored.get(key, ()):
                    versions.add(preferred_version(stream_id, weights))
        return frozenset(version for version in versions if version is not None)

    def history(self, now_s: float) -> VersionHistory | None:
        """Return what a VM lacks that has just started.

        None if that is too much for one message.
        """
        models: dict[ServedModel, list[PastSet]] = {}
        for service in self._services.keys() - self._several:
            only = PastSet(dict.fromkeys(self._services[service], 1), 0.0)
            models[ServedModel(service, ALL_MODELS)] = [only]
        for served_model in self._sets.keys() | self._told.keys():
            if served_model.service not in self._several:
                continue
            past = [
                PastSet(told.weights, now_s - told.until_s)
                for told in self._told.get(served_model, ())
            ]
            until_s = now_s
            for item in reversed(self._sets.get(served_model, ())):
                past.append(PastSet(item.weights, now_s - until_s))
                until_s = item.since_s
            models[served_model] = past
        stored_age_s = now_s - self._stored_s
        for served_model, sets in self._stored.items():
            past = models.setdefault(served_model, [])
            past += [PastSet(weights, stored_age_s) for weights in sets]
        if sum(map(len, models.values())) > MAX_HISTORY_SETS:
            return None
        services = {
            service: {
                version: (now_s - times.first_s, now_s - times.last_s)
                for version, times in served.items()
            }
            for service, served in self._services.items()
        }
        for served_model in self._stored:
            ages = services.setdefault(served_model.service, {})
            for version in self._stored_versions(served_model.service):
                ages.setdefault(version, (stored_age_s, stored_age_s))
        return VersionHistory(self.known_s(now_s), services, models)

    def take_history(self, history: VersionHistory, now_s: float) -> None:
        """Know what another VM knew when it sent its history.

        That VM must have sent it after this one knew the servers, so that no change is
        missed in between. The time on the way makes each set count for longer, and
        `known_s` shorter.
        """
        self._known_since_s = min(self._known_since_s, now_s - history.known_s)
        for service, versions in history.services.items():
            served = self._services.setdefault(service, {})
            for version, (first_age_s, last_age_s) in versions.items():
                told = _Served(now_s - first_age_s, now_s - last_age_s)
                own = served.get(version, told)
                served[version] = _Served(
                    min(own.first_s, told.first_s), max(own.last_s, told.last_s)
                )
            if len(served) > 1:
                # The history has what was in service before it had several versions.
                self._several |= {service}
        for served_model, past in history.models.items():
            self._told[served_model] = [
                _ToldSet(item.weights, now_s - item.ended_age_s) for item in past
            ]
        self._forget_told(now_s)

    def take_stored(self, stored: StoredVersions, now_s: float) -> None:
        """Know what VMs that have gone knew; it counts as if it ended now."""
        self._stored, self._stored_s = stored.models, now_s

    def has_stored(self) -> bool:
        """Return whether anything is known from VMs that have gone."""
        return bool(self._stored)

    def drop_stored(self) -> None:
        """Forget what VMs that have gone knew, since others tell this VM more."""
        self._stored = {}

    def _stored_versions(self, service: str) -> frozenset[str]:
        return frozenset(
            version
            for served_model, sets in self._stored.items()
            if served_model.service == service
            for weights in sets
            for version in weights
        )

    def _forget_told(self, now_s: float) -> None:
        for served_model, told in list(self._told.items()):
            kept = [item for item in told if item.until_s > now_s - STREAM_MEMORY_S]
            if kept:
                self._told[served_model] = kept
            else:
                del self._told[served_model]

    def _earlier_sets(self, service: str) -> list[_VersionSet]:
        """Return the one version that a service had before it had several."""
        served = self._services[service]
        first_s = min(times.first_s for times in served.values())
        before = [name for name, times in served.items() if times.first_s == first_s]
        if len(before) > 1:
            return []
        return [_VersionSet({before[0]: 1}, float("-inf"))]


@final
class StreamVersions:
    """The versions of the streams that this VM began or was told of.

    Time complexity is that of a hash for each version, except for
    `streams_to_record`, which looks at all streams that this VM remembers.
    """

    def __init__(self) -> None:
        self.sets = VersionSets()
        self._started: OrderedDict[str, _Started] = OrderedDict()
        self._records: OrderedDict[str, _Recorded] = OrderedDict()

    def must_record(
        self,
        stream_id: str,
        served_model: ServedModel,
        version: str,
        now_s: float,
        unstored_s: float = 0.0,
    ) -> bool:
        """Return whether other VMs must be told if the stream begins at `version`.

        That is so where they may compute another version, and where an earlier record
        of the same stream names one. VMs that start after the loss of all others
        compute with the sets that the store last took, `unstored_s` ago.
        """
        known = self._started.get(stream_id)
        if known is not None and known.is_recorded:
            return True
        recorded = self._records.get(stream_id)
        if recorded is not None and recorded.version != version:
            return True
        if self.sets.only_version(served_model.service) is not None:
            return False
        if self.sets.known_s(now_s) < RESUMPTION_GAP_S:
            return True
        since_s = now_s - STREAM_MEMORY_S - unstored_s
        return self.sets.possible(stream_id, served_model, since_s) != {version}

    def may_start(
        self,
        stream_id: str,
        served_model: ServedModel,
        version: str,
        contact: Contact,
        now_s: float,
    ) -> bool:
        """Return whether VMs will know the version of a stream that begins.

        Others and those that start after the loss of all of them: they must compute it,
        or the leader must take its record and write it to the store.

        While a service has had one version, streams begin whatever the contact: a cut
        alone must not end the service of all VMs that it hits.
        """
        if self.sets.only_version(served_model.service) is not None:
            return True
        if contact.is_cut_off():
            return False
        return contact.may_record() or not self.must_record(
            stream_id, served_model, version, now_s, contact.unstored_s
        )

    def record_start(
        self,
        stream_id: str,
        served_model: ServedModel,
        version: str,
        now_s: float,
        unstored_s: float = 0.0,
    ) -> StreamRecord | None:
        """Remember a stream that begins or goes on; return what others must be told.

        Parameters are as in `must_record`.
        """
        is_recorded = self.must_record(
            stream_id, served_model, version, now_s, unstored_s
        )
        self._started.pop(stream_id, None)
        self._started[stream_id] = _Started(
            served_model, version, now_s, is_recorded, is_complete=False
        )
        while len(self._started) > MAX_STARTED:
            self._started.popitem(last=False)
        return StreamRecord(stream_id, version, 0.0) if is_recorded else None

    def stored(self, now_s: float) -> StoredVersions | None:
        """Return what the store should keep; None if it is too much."""
        history = self.sets.history(now_s)
        if history is None:
            return None
        models: dict[ServedModel, list[Mapping[str, int]]] = {}
        for served_model, past in history.models.items():
            distinct = models.setdefault(served_model, [])
            distinct += [
                item.weights
                for index, item in enumerate(past)
                if item.weights not in [other.weights for other in past[:index]]
            ]
        return StoredVersions(models)

    def record_no_event(self, stream_id: str) -> None:
        """Record that the version tried last has sent no event of a new stream.

        Any other version may begin it, here or at the VM that it is passed on to.
        """
        started = self._started.get(stream_id)
        if started is not None:
            self._started[stream_id] = started._replace(version=None)

    def record_end(self, stream_id: str) -> None:
        """Record that the caller has been sent the whole stream."""
        started = self._started.get(stream_id)
        if started is not None:
            self._started[stream_id] = started._replace(is_complete=True)

    def streams_to_record(
        self, changed: frozenset[ServedModel], now_s: float
    ) -> list[StreamRecord]:
        """Return streams that others can't compute since the versions changed."""
        records = []
        since_s = now_s - STREAM_MEMORY_S
        for stream_id, started in self._started.items():
            if started.is_recorded or started.is_complete:
                continue
            served_model, version = started.served_model, started.version
            if version is None or served_model not in changed:
                continue
            if self.sets.possible(stream_id, served_model, since_s) != {version}:
                self._started[stream_id] = started._replace(is_recorded=True)
                age_s = now_s - started.seen_s
                records.append(StreamRecord(stream_id, version, age_s))
        return records

    def add_records(
        self, records: Iterable[StreamRecord], now_s: float
    ) -> list[StreamRecord]:
        """Keep other VMs' records; return those that a leader relays.

        A record that is known already is relayed only while it is new: a leader that
        has gone may have told this VM, but not all others.
        """
        relayed = []
        for record in records:
            seen_s = now_s - record.age_s
            known = self._records.get(record.stream_id)
            is_newer = known is None or seen_s > known.seen_s - RECORD_ORDER_S
            is_known = known is not None and known.version == record.version
            if is_newer:
                seen_s = seen_s if known is None else max(seen_s, known.seen_s)
                self._records[record.stream_id] = _Recorded(record.version, seen_s)
                self._records.move_to_end(record.stream_id)
            if record.age_s < RELAY_AGAIN_S or (is_newer and not is_known):
                relayed.append(record)
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
        return relayed

    def own_records(self, now_s: float) -> list[StreamRecord]:
        """Return the records of this VM's own streams, for a new leader."""
        return [
            StreamRecord(stream_id, started.version, now_s - started.seen_s)
            for stream_id, started in self._started.items()
            if started.is_recorded and started.version is not None
        ]

    def recent_records(self, max_age_s: float, now_s: float) -> list[StreamRecord]:
        """Return the records up to an age, for a VM that may have missed them."""
        return [
            StreamRecord(stream_id, recorded.version, now_s - recorded.seen_s)
            for stream_id, recorded in self._records.items()
            if now_s - recorded.seen_s <= max_age_s
        ]

    def resolve(
        self, stream_id: str, served_model: ServedModel, now_s: float
    ) -> Origin:
        """Return the version that began a stream, as far as this VM knows."""
        started = self._started.get(stream_id)
        if (
            started is not None
            and started.version is not None
            and now_s - started.seen_s <= STREAM_MEMORY_S
        ):
            return Origin(started.version, "remembered")
        recorded = self._records.get(stream_id)
        if recorded is not None and now_s - recorded.seen_s <= STREAM_MEMORY_S:
            return Origin(recorded.version, "recorded")
        only = self.sets.only_version(served_model.service)
        if only is not None:
            return Origin(only, "only_version")
        possible = self.sets.possible(stream_id, served_model, now_s - STREAM_MEMORY_S)
        if len(possible) == 1:
            return Origin(next(iter(possible)), "computed")
        return Origin(None, "ambiguous")

    def forget_old(self, now_s: float) -> None:
        """Drop streams that no caller takes up again."""
        for entries in (self._started, self._records):
            while entries:
                stream_id, entry = next(iter(entries.items()))
                if now_s - entry.seen_s <= STREAM_MEMORY_S:
                    break
                del entries[stream_id]

    def count(self) -> tuple[int, int]:
        """Return how many streams are remembered and how many records are kept."""
        return len(self._started), len(self._records)
