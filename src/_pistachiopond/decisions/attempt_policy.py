"""Decides whether to retry a request, and how to end one that is not retried."""

from typing import Literal, NamedTuple

from _pistachiopond.schema.deployment import Route

AttemptKind = Literal[
    "connect",
    "withdrawn",
    "not_run",
    "not_here",
    "failure",
    "unclear",
    "unrecorded",
    "broken",
]
NextStep = Literal["refuse", "give_answer", "fail", "break_off"]

# Limits the attempts that servers certainly did not run. These are retried even for
# requests that may run only once.
MAX_NOT_RUN_ATTEMPTS: int = 3
# With less time left, no further attempt is made.
MIN_TIME_LEFT_S: float = 0.03


class AttemptState(NamedTuple):
    """The outcome of a request's attempts so far.

    Attributes
    ----------
    kind : str
        How the last attempt ended: ``connect`` (no connection; nothing was sent),
        ``withdrawn`` (nothing was sent, since the server takes no requests now),
        ``not_run`` (the server reported that it did not run the request),
        ``not_here`` (another server now has the address), ``failure`` (a complete
        response with an error status), ``unclear`` (the request may have run),
        ``unrecorded`` (events came, but the record of their software version has not
        reached the store; it still may, so the stream can't begin at another version),
        ``broken`` (the response ended after part of it had gone to the caller).
    servers_run : int
        The number of servers that may have run the request.
    not_run_count : int
        The number of attempts that certainly did not run.
    time_left_s : float
        The time until the request's deadline.
    """

    kind: AttemptKind
    servers_run: int
    not_run_count: int
    time_left_s: float


def is_repeatable(route: Route) -> bool:
    """Return whether requests of the route may run more than once."""
    return route.kind == "safe" or (route.kind == "stream" and route.is_resumable)


def may_retry(route: Route, state: AttemptState) -> bool:
    """Return whether the route and the time left allow a retry; budgets aside."""
    if state.time_left_s < MIN_TIME_LEFT_S or state.kind in ("broken", "unrecorded"):
        return False
    if state.kind in ("connect", "withdrawn", "not_run", "not_here"):
        if state.servers_run and not is_repeatable(route):
            return False
        return state.not_run_count <= MAX_NOT_RUN_ATTEMPTS
    return is_repeatable(route) and state.servers_run < route.max_servers


class SilentAttempt(NamedTuple):
    """An attempt that has got no response head within the usual time.

    Attributes
    ----------
    servers_run : int
        The number of servers that may have run the request, including this one.
    time_left_s : float
        The time until the request's deadline.
    has_other_receiver : bool
        Whether another healthy server, or a VM that reaches one, can take the request
        now.
    has_retry_budget : bool
        Whether the retry budget allows another attempt now.
    """

    servers_run: int
    time_left_s: float
    has_other_receiver: bool
    has_retry_budget: bool


def should_give_up(route: Route, silent: SilentAttempt) -> bool:
    """Return whether to end a silent attempt, since another one follows it.

    A sound server may be silent for a moment, so its answer is better than none.
    """
    state = AttemptState("unclear", silent.servers_run, 0, silent.time_left_s)
    can_follow = silent.has_other_receiver and silent.has_retry_budget
    return can_follow and may_retry(route, state)


def final_step(state: AttemptState) -> NextStep:
    """Return how to end the request after the last attempt."""
    if state.kind == "broken":
        return "break_off"
    if state.kind == "failure":
        return "give_answer"
    return "fail" if state.servers_run else "refuse"
