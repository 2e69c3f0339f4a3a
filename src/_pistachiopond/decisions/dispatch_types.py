"""Events and actions of the dispatcher, used by live processes and by replay."""

from typing import NamedTuple

from _pistachiopond.decisions.failure_kinds import FailureKind
from _pistachiopond.schema.manifest import Manifest, Urgency
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.suspects import CrashReport, SuspectView
from _pistachiopond.schema.verdict import Failure, Verdict


class RequestFacts(NamedTuple):
    """The properties of a request that dispatching depends on; not its content.

    Attributes
    ----------
    request_id : str
        Unique in the process.
    customer : str
        Empty on a route that needs no key.
    service : str
        The service whose workers can run the request.
    model : str or None
        The base model; None for a plain service.
    adapter : str or None
        The adapter of that model, if the caller named one.
    prompt_tokens, max_tokens : int
        Estimates made at arrival; 0 for a plain service.
    prefix_ids : tuple of str
        Chained digests of the prompt's blocks, the shortest prefix first.
    urgency : {"urgent", "normal", "batch"}
        The class that the manifest's rules assign.
    idempotent : bool
        Whether the request may run more than once.
    fingerprint : str
        Digest of customer and content, used to recognise a request that crashes
        servers when it is sent again.
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
    """A request arrived and passed authentication and rate limits."""

    facts: RequestFacts


class FirstToken(NamedTuple):
    """The first token of the attempt was received."""

    request_id: str
    attempt: int


class Progress(NamedTuple):
    """The attempt generated `tokens` since the previous event of this kind."""

    request_id: str
    attempt: int
    tokens: int


class AttemptFinished(NamedTuple):
    """The complete response was received."""

    request_id: str
    attempt: int


class AttemptFailed(NamedTuple):
    """The attempt ended without a complete response.

    Attributes
    ----------
    verdict : Verdict
        Whether the backend server may have executed the attempt.
    kind : str
        How the attempt failed; ``silent`` means that the server sent no data for too
        long, ``mismatch`` that it sent the response to another request.
    server_retry_after_s : float or None
        The delay that the backend server asked for before a retry.
    output_began : bool
        Whether part of the response has already been sent to the caller.
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
    """The control daemon sent a new view of the backend servers."""

    view: RoutingView


class SuspectsReceived(NamedTuple):
    """The control daemon sent the list of requests suspected of crashing servers."""

    view: SuspectView


class ManifestChanged(NamedTuple):
    """A new manifest took effect; customers' weights and models may differ."""

    manifest: Manifest


class Tick(NamedTuple):
    """Time has passed: retry delays, deadlines and ended ejections are checked."""


class StopDispatching(NamedTuple):
    """The process is shutting down; queued requests are refused, running ones end."""


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
        The scheduling priority, for engines that support one; lower runs first.
    """

    request_id: str
    attempt: int
    server: str
    url: str
    priority: int


class CancelAttempt(NamedTuple):
    """Close the attempt's connection, so that the engine stops generating."""

    request_id: str
    attempt: int


class Refuse(NamedTuple):
    """Answer the caller with this failure; the request has ended."""

    request_id: str
    failure: Failure


class ReportCrash(NamedTuple):
    """Report the crash of a backend server to the control daemon."""

    report: CrashReport


Action = StartAttempt | CancelAttempt | Refuse | ReportCrash
