"""A caller's decoded request, and the data forwarded to a backend server."""

from typing import Literal, NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt that requests may share.

    Attributes
    ----------
    part_id : str
        Identifies the part's text.
    tokens : int
        The length of the part.
    """

    part_id: str
    tokens: int


class ResumedStream(NamedTuple):
    """A stream that a caller takes up again after it has received events.

    Attributes
    ----------
    first_attempt_id : str or None
        The caller's attempt that brought the first event; None if the request does
        not say so legibly.
    problem : str
        Why the attempt is unknown; empty if it is known.
    last_event_id : int or None
        The last event that the caller has received; None if its id is not a number.
    """

    first_attempt_id: str | None
    problem: str
    last_event_id: int | None


class CallerRequest(NamedTuple):
    """The data from the headers of a request.

    Attributes
    ----------
    attempt_id : str
        Unique for each attempt of a caller.
    host, path : str
        Determine the route.
    key : str or None
        The caller's API key.
    deadline_s : float or None
        How long the caller waits for the response.
    model, adapter : str
        Empty if the request names none.
    prompt_tokens, max_output_tokens : int or None
        None if the request has no token counts.
    prompt : tuple of PromptPart
        The parts in order; the last one belongs to a session.
    resumed : ResumedStream or None
        Set if the caller has received events of the stream before.
    """

    attempt_id: str
    host: str
    path: str
    key: str | None
    deadline_s: float | None
    model: str
    adapter: str
    prompt_tokens: int | None
    max_output_tokens: int | None
    prompt: tuple[PromptPart, ...]
    resumed: ResumedStream | None = None

    def stream_id(self) -> str:
        """Return the id that all requests for one stream have in common."""
        return self.known_stream_id() or self.attempt_id

    def known_stream_id(self) -> str | None:
        """Return that id, or None if the request does not say which stream it is."""
        if self.resumed is None:
            return self.attempt_id
        return self.resumed.first_attempt_id


class ForwardContext(NamedTuple):
    """Data about a request that is forwarded to a backend server.

    Attributes
    ----------
    server_id : str
        The server that the request is for; any other server refuses it.
    customer : str or None
        The customer whose key the request has.
    deadline_s : float
        The time limit for the server.
    urgency_rank : int
        0 is the most urgent.
    resume_after : str or None
        The last stream event that the caller has received.
    """

    server_id: str
    customer: str | None
    deadline_s: float
    urgency_rank: int
    resume_after: str | None


ResponseKind = Literal["success", "failure", "not_run", "not_here", "unclear"]
