"""The report that an entry daemon sends to its control daemon once a second."""

from typing import NamedTuple

from _pistachiopond.schema.suspects import CrashReport


class ModelDemand(NamedTuple):
    """Demand for a model since the last report.

    Attributes
    ----------
    model : str
        The model or adapter that callers named.
    requests : int
        Requests that arrived since the last report.
    tokens : float
        Their prompt and generated tokens, as estimated at arrival.
    waiting : int
        Requests that are queued now.
    """

    model: str
    requests: int
    tokens: float
    waiting: int


class ServerObservation(NamedTuple):
    """An entry daemon's observations of a backend server since the last report.

    Attributes
    ----------
    server : str
        The server's name.
    answers, failures : int
        Successful and failed attempts that ended since the last report.
    is_ejected : bool
        Whether this entry daemon currently sends it no requests.
    says_leaving : bool
        Whether its responses said that it is shutting down.
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
