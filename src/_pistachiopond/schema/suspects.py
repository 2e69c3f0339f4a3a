"""Requests that were running on a backend server when it crashed."""

from typing import Literal, NamedTuple


class Suspect(NamedTuple):
    """The standing of one request's content.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's content and its customer.
    standing : {"probation", "refused"}
        On probation it runs only where no other suspect runs; refused, not at all.
    expires_in_s : float
        When it is forgotten, counted from the moment the view was made.
    """

    fingerprint: str
    standing: Literal["probation", "refused"]
    expires_in_s: float


class SuspectView(NamedTuple):
    """All suspects that are known to a control daemon."""

    suspects: tuple[Suspect, ...] = ()


class CrashReport(NamedTuple):
    """A backend server's crash as an entry daemon saw it.

    Attributes
    ----------
    crash_id : str
        Unique for each crash: the server's name and the incarnation that ended.
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
        A crash is confirmed once the backend server answers as a new incarnation;
        a request is cleared by a run that ended without a crash.
    crash_id : str
        The same in all reports of one crash once it is confirmed; empty on a
        cleared request.
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
    """What one control daemon appends at once."""

    records: tuple[CrashRecord, ...]
