"""Keeps one resumable stream at the software version that began it."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from prometheus_client import Counter

from _pistachiopond.decisions.stream_versions import (
    Origin,
    ServedModel,
    judge_resumption,
)
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet, ModelRef, RankedServer
from _pistachiopond.vm.refusals import Refusal
from _pistachiopond.vm.stream_origins import StreamOrigins

# Retry-After of a VM that lacks other VMs' records; another VM has them.
OTHER_VM_RETRY_AFTER_S: Final = 0.1

# The first event of a stream waits at most this long for the record of its version: for
# a write to the store that is tried once more. Callers leave a silent stream after 2 s.
MAX_RECORD_WAIT_S: Final = 1.5

# Bound to this, a stream goes on at no server.
_NO_VERSION: Final = "\0"

Rank = Callable[[str | None], list[RankedServer]]


@final
class VersionBinding:
    """The software version that one resumable stream is bound to, if any.

    Attributes
    ----------
    version : str or None
        The only version at which the stream may run; None while the caller has
        received no event, so that the stream may begin anew at any version.
    """

    def __init__(
        self,
        admitted: Admitted,
        fleet: Fleet,
        origins: StreamOrigins,
        resumptions: Counter,
    ) -> None:
        """Prepare for a request.

        Parameters
        ----------
        admitted : Admitted
            The request for a resumable stream.
        fleet : Fleet
            The backend servers.
        origins : StreamOrigins
            What is known of the versions of streams.
        resumptions : Counter
            Counts resumptions by outcome.
        """
        caller = admitted.caller
        self._attempt_id = caller.attempt_id
        self._resumed = caller.resumed
        self._model_ref = ModelRef(admitted.service, caller.model, "")
        self._served_model = ServedModel(admitted.service, caller.model)
        self._fleet = fleet
        self._origins = origins
        self._resumptions = resumptions
        self._stream_id = caller.stream_id()
        self._recorded: asyncio.Event | None = None
        self.version: str | None = None

    def resolve(self) -> Refusal | None:
        """Bind a resumption to the version that began it, or return a refusal."""
        resumed = self._resumed
        if resumed is None:
            return None
        if resumed.first_attempt_id is None:
            only = self._origins.only_version(self._served_model.service)
            origin = Origin(only, "ambiguous" if only is None else "only_version")
        else:
            origin = self._origins.resolve(self._stream_id, self._served_model)
        refusal = self._check(origin)
        code = "goes_on" if refusal is None else refusal.code
        self._resumptions.labels(code, origin.basis).inc()
        log_change(
            "stream taken up again",
            request=self._attempt_id,
            outcome=code,
            **self._facts(origin),
        )
        if refusal is None:
            self.version = origin.version
        return refusal

    def _check(self, origin: Origin) -> Refusal | None:
        assert self._resumed is not None
        facts = self._facts(origin)
        contact = self._origins.contact()
        step = judge_resumption(origin, contact)
        is_named = self._resumed.first_attempt_id is not None
        if step == "version_unproved" and (is_named or contact.are_all_young()):
            return Refusal(503, step, OTHER_VM_RETRY_AFTER_S, facts)
        if origin.version is None or step == "version_unknown":
            # A retry can't find out more, so the status promises nothing.
            return Refusal(502, "version_unknown", None, facts)
        if self.has_gone(origin.version):
            return Refusal(502, "version_gone", None, facts)
        return None

    def _facts(self, origin: Origin) -> dict[str, object]:
        resumed = self._resumed
        assert resumed is not None
        contact = self._origins.contact()
        return {
            "first_attempt": resumed.first_attempt_id,
            "problem": resumed.problem,
            "last_event_id": resumed.last_event_id,
            "service": self._served_model.service,
            "model": self._served_model.model,
            "software_version": origin.version,
            "basis": origin.basis,
            "is_behind": contact.is_behind(),
            "is_cut_off": contact.is_cut_off(),
            "contact_age_s": round(contact.contact_age_s, 2),
            "entries_age_s": round(contact.entries_age_s, 2),
            "past": contact.past,
        }

    def has_gone(self, version: str | None) -> bool:
        """Return whether no server can run requests at the version, now or later.

        Servers that stay may load the model; those that leave must have it.
        """
        if version is None:
            return False
        return not any(
            not server.is_leaving or self._fleet.can_run(server, self._model_ref)
            for server in self._fleet.servers_of(self._served_model.service, version)
        )

    def gone(self) -> Refusal | None:
        """Return the refusal of a stream whose version has gone since it was bound."""
        if not self.has_gone(self.version):
            return None
        facts = {
            "service": self._served_model.service,
            "model": self._served_model.model,
            "software_version": self.version,
        }
        return Refusal(502, "version_gone", None, facts)

    def rank(self, rank: Rank) -> list[RankedServer]:
        """Return candidates of one version only.

        Parameters
        ----------
        rank : callable
            Returns the candidates of a version, or of all for None, the best first.
        """
        if self.version is not None:
            return rank(self.version)
        ranked = rank(None)
        if not ranked:
            return []
        preferred = self._origins.preferred(self._stream_id, self._served_model)
        if preferred is not None:
            of_preferred = rank(preferred)
            is_busy = self._is_overloaded(of_preferred, ranked)
            if of_preferred and not (
                is_busy and self._origins.may_pass_over_preferred()
            ):
                return of_preferred
        version = ranked[0].server.software_version
        return [item for item in ranked if item.server.software_version == version]

    def _is_overloaded(
        self, preferred: list[RankedServer], others: list[RankedServer]
    ) -> bool:
        """Return whether requests queue at the preferred servers, and only there."""

        def has_queue(server: BackendServer) -> bool:
            return self._fleet.load(server.server_id) >= server.slots

        if not preferred or has_queue(others[0].server):
            return False
        return has_queue(preferred[0].server)

    def may_start(self, server: BackendServer) -> bool:
        """Return whether the stream may run at a server."""
        version = server.software_version
        if self.version is not None:
            return version == self.version
        return self._origins.may_start(self._stream_id, self._served_model, version)

    def started(self, server: BackendServer) -> None:
        """Remember the version of a server that has been sent the request."""
        self._recorded = self._origins.started(
            self._stream_id, self._served_model, server.software_version
        )

    async def wait_until_recorded(self) -> bool:
        """Wait until the record of a new stream's version is where it is needed.

        That is at the other VMs and in the store, for VMs that start after the loss of
        all others. Without it, they would go on at the version that they compute.

        Returns
        -------
        bool
            Whether the caller may be sent events: False if the record has not arrived
            there within `MAX_RECORD_WAIT_S`, True also where none is needed.
        """
        recorded, self._recorded = self._recorded, None
        if self.version is not None or recorded is None:
            return True
        began_s = boot_s()
        try:
            async with asyncio.timeout(MAX_RECORD_WAIT_S):
                await recorded.wait()
        except TimeoutError:
            pass
        self._log_record(boot_s() - began_s, is_stored=recorded.is_set())
        return recorded.is_set()

    def _log_record(self, waited_s: float, *, is_stored: bool) -> None:
        contact = self._origins.contact()
        origin = self._origins.resolve(self._stream_id, self._served_model)
        preferred = self._origins.preferred(self._stream_id, self._served_model)
        log_change(
            "stream begins with a record" if is_stored else "stream not recorded",
            request=self._attempt_id,
            software_version=origin.version,
            preferred=preferred,
            waited_s=round(waited_s, 3),
            contact_age_s=round(contact.contact_age_s, 2),
            stores_records=contact.stores_records,
            unstored_s=round(contact.unstored_s, 2),
        )

    def failed_without_event(self) -> None:
        """Forget the version of an attempt, unless the caller has had events of it."""
        if self.version is None and self._origins.failed_without_event(self._stream_id):
            self._recorded = None

    def events_delivered(self, server: BackendServer | None) -> None:
        """Bind the stream to the version that sent events.

        Parameters
        ----------
        server : BackendServer or None
            The server that sent them; None if another VM chose it.
        """
        if server is not None:
            self.version = server.software_version
        elif self.version is None:
            origin = self._origins.resolve(self._stream_id, self._served_model)
            step = judge_resumption(origin, self._origins.contact())
            self.version = origin.version if step == "goes_on" else _NO_VERSION

    def completed(self) -> None:
        """Record that the caller has been sent the whole stream."""
        self._origins.completed(self._stream_id)
