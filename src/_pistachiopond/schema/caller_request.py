"""A caller's request, decoded, and what a backend server is told."""

from typing import Literal, NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt that requests may share.

    Attributes
    ----------
    part_id : str
        The same for the same text.
    tokens : int
        Its length.
    """

    part_id: str
    tokens: int


class CallerRequest(NamedTuple):
    """What the headers of a request say.

    Attributes
    ----------
    attempt_id : str
        Unique for each attempt of a caller.
    host, path : str
        They choose the route.
    key : str or None
        The caller's key.
    deadline_s : float or None
        How long the caller will wait.
    model, adapter : str
        Empty where the request names none.
    prompt_tokens, max_output_tokens : int or None
        None where the request does not count tokens.
    prompt : tuple of PromptPart
        The parts in their order; the last belongs to a session.
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


class ForwardTerms(NamedTuple):
    """What the system tells a backend server about a request.

    Attributes
    ----------
    server_id : str
        Any other server refuses it.
    customer : str or None
        Whose key came with it.
    deadline_s : float
        How long the server may work on it.
    urgency_rank : int
        0 is the most urgent.
    resume_after : str or None
        The last event that the caller already has.
    """

    server_id: str
    customer: str | None
    deadline_s: float
    urgency_rank: int
    resume_after: str | None


AnswerKind = Literal["success", "failure", "not_run", "not_here", "unclear"]
