"""Requests that were running on a backend server when it crashed."""

from typing import Literal, NamedTuple


class Suspect(NamedTuple):
    """A request's content that is suspected of crashing servers.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's content and its customer.
    standing : {"probation", "refused"}
        On probation, the request runs only on a server where no other suspect runs;
        refused, it does not run at all.
    expires_in_s : float
        The time until the suspicion expires, from when the view was built.
    """

    fingerprint: str
    standing: Literal["probation", "refused"]
    expires_in_s: float

    def is_refused(self) -> bool:
        """Return whether the request must not run."""
        return self.standing == "refused"


class RequestRecord(NamedTuple):
    """What is to outlive its leader of a request that was running in crashes.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's content and its customer.
    refused_for_s : float
        How long it must not run; 0 if it may.
    crash_ids : tuple of str
        The confirmed crashes that count against it.
    """

    fingerprint: str
    refused_for_s: float
    crash_ids: tuple[str, ...]


class SuspectView(NamedTuple):
    """All suspects known to a control daemon."""

    suspects: tuple[Suspect, ...] = ()


class CrashReport(NamedTuple):
    """A backend server's crash as observed by an entry daemon.

    Attributes
    ----------
    crash_id : str
        Unique for each report: the server's name, the entry daemon's id and a count.
    server : str
        The backend server.
    fingerprints : tuple of str
        Requests of this entry daemon that were running there.
    probation_fingerprints : tuple of str
        Those among them that ran there on probation.
    """

    crash_id: str
    server: str
    fingerprints: tuple[str, ...]
    probation_fingerprints: tuple[str, ...]


class CrashRecord(NamedTuple):
    """One record of the ``crashes`` stream.

    Attributes
    ----------
    kind : {"suspected", "confirmed", "cleared"}
        A crash is confirmed once the backend server reports a new incarnation; a
        request is cleared by a run that ended without a crash.
    crash_id : str
        That of the report while a crash is only suspected. Once it is confirmed, the
        server's name and its new incarnation, so that all reports of one crash have
        the same. Empty on a record that clears a request.
    fingerprints : tuple of str
        Requests that were running there.
    probation_fingerprints : tuple of str
        Those among them that ran there on probation.
    """

    kind: Literal["suspected", "confirmed", "cleared"]
    crash_id: str
    fingerprints: tuple[str, ...]
    probation_fingerprints: tuple[str, ...] = ()


class CrashBatch(NamedTuple):
    """The records that one control daemon appends together."""

    records: tuple[CrashRecord, ...]
