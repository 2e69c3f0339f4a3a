"""What an entry daemon tells its control daemon once a second."""

from typing import NamedTuple

from _pistachiopond.schema.suspects import CrashReport


class ModelDemand(NamedTuple):
    """Work that callers asked for since the last report.

    Attributes
    ----------
    model : str
        The model or adapter that callers named.
    requests : int
        Arrived since the last report.
    tokens : float
        Prompt and generated tokens of these, as estimated at arrival.
    waiting : int
        Requests in the queue now.
    """

    model: str
    requests: int
    tokens: float
    waiting: int


class ServerObservation(NamedTuple):
    """What this entry daemon saw of one backend server since the last report.

    Attributes
    ----------
    server : str
        Its name.
    answers, failures : int
        Attempts that ended since the last report.
    is_ejected : bool
        Whether this entry daemon sends it no work at present.
    says_leaving : bool
        Whether its own answers said that it is leaving.
    """

    server: str
    answers: int
    failures: int
    is_ejected: bool
    says_leaving: bool


class EntryReport(NamedTuple):
    """One report of an entry daemon."""

    demand: tuple[ModelDemand, ...] = ()
    servers: tuple[ServerObservation, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
