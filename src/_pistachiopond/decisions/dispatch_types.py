"""Events and actions of the dispatcher, which live processes and replay share."""

from typing import Literal, NamedTuple

from _pistachiopond.schema.manifest import Manifest, Urgency
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.suspects import CrashReport, SuspectView
from _pistachiopond.schema.verdict import Failure, Verdict

FailureKind = Literal[
    "connect", "reset", "timeout", "silent", "refused", "server_error", "mismatch"
]


class RequestFacts(NamedTuple):
    """What deciding on a request needs; none of its content.

    Attributes
    ----------
    request_id : str
        Unique in the process.
    customer : str
        Empty on an open route.
    service : str
        Which service's workers may run it.
    model : str or None
        The base model; None for a plain service.
    adapter : str or None
        The adapter on that model, if the caller named one.
    prompt_tokens, max_tokens : int
        Estimates at arrival; 0 for a plain service.
    prefix_ids : tuple of str
        Chained digests of the prompt's blocks, the shortest prefix first.
    urgency : {"urgent", "normal", "batch"}
        From the manifest's rules.
    idempotent : bool
        Whether it may run more than once.
    fingerprint : str
        Digest of customer and content, by which a crashing request is recognised.
    """

    request_id: str
    customer: str
    service: str
    model: str | None
    adapter: str | None
    prompt_tokens: int
    max_tokens: int
    prefix_ids: tuple[str, ...]
    urgency: Urgency
    idempotent: bool
    fingerprint: str


class Arrived(NamedTuple):
    """A caller's request that has passed keys and limits."""

    facts: RequestFacts


class FirstToken(NamedTuple):
    """The attempt's first token has come."""

    request_id: str
    attempt: int


class Progress(NamedTuple):
    """The attempt has generated `tokens` since the last such event."""

    request_id: str
    attempt: int
    tokens: int


class AttemptFinished(NamedTuple):
    """The whole answer has come."""

    request_id: str
    attempt: int


class AttemptFailed(NamedTuple):
    """The attempt ended without a whole answer.

    Attributes
    ----------
    verdict : Verdict
        Whether this attempt may have run.
    kind : str
        How it failed.
    server_retry_after_s : float or None
        What the backend server asked for.
    output_began : bool
        Whether part of the answer has gone to the caller already.
    """

    request_id: str
    attempt: int
    verdict: Verdict
    kind: FailureKind
    server_retry_after_s: float | None
    output_began: bool


class CallerLeft(NamedTuple):
    """The caller closed its connection."""

    request_id: str


class ViewReceived(NamedTuple):
    """A new view of the backend servers, from the control daemon."""

    view: RoutingView


class SuspectsReceived(NamedTuple):
    """The fleet's list of suspects, from the control daemon."""

    view: SuspectView


class ManifestChanged(NamedTuple):
    """Another manifest is in force: weights and models may differ."""

    manifest: Manifest


class Tick(NamedTuple):
    """Time has passed; deadlines, ejections and budgets are looked at."""


class StopDispatching(NamedTuple):
    """The process is to exit: what waits is refused as not run."""


Event = (
    Arrived
    | FirstToken
    | Progress
    | AttemptFinished
    | AttemptFailed
    | CallerLeft
    | ViewReceived
    | SuspectsReceived
    | ManifestChanged
    | Tick
    | StopDispatching
)


class StartAttempt(NamedTuple):
    """Send the request to this backend server now.

    Attributes
    ----------
    priority : int
        For engines that honour it; smaller goes first.
    """

    request_id: str
    attempt: int
    server: str
    url: str
    priority: int


class CancelAttempt(NamedTuple):
    """Close the attempt's connection, so that the engine stops its work."""

    request_id: str
    attempt: int


class Refuse(NamedTuple):
    """Answer the caller at once with this failure; the request is over."""

    request_id: str
    failure: Failure


class TellCrash(NamedTuple):
    """Report a backend server's crash to the control daemon."""

    report: CrashReport


Action = StartAttempt | CancelAttempt | Refuse | TellCrash
