"""Decides what follows an attempt at a backend server."""

from typing import Literal, NamedTuple

from _pistachiopond.schema.deployment import Route

AttemptKind = Literal["connect", "not_run", "not_here", "failure", "unclear", "broken"]
NextStep = Literal["refuse", "give_answer", "fail", "break_off"]

# A request that may not go to a second server may still go to one after a server has
# said that it did not run it, this often.
MAX_NOT_RUN: int = 3
# Less time than this is not worth another attempt.
MIN_TIME_LEFT_S: float = 0.03


class AttemptState(NamedTuple):
    """What has become of a request so far.

    Attributes
    ----------
    kind : str
        How the last attempt ended: ``connect`` (nothing was sent), ``not_run``,
        ``not_here`` (another server has the address), ``failure`` (a whole answer
        that is not a success), ``unclear`` (it may have run), ``broken`` (the
        caller has a part of the answer).
    servers_run : int
        Servers that may have run it.
    not_run_count : int
        Attempts after which it had certainly not run.
    time_left_s : float
        Until the request's end.
    """

    kind: AttemptKind
    servers_run: int
    not_run_count: int
    time_left_s: float


def is_repeatable(route: Route) -> bool:
    """Return whether a request of the route may run more than once."""
    return route.kind == "safe" or (route.kind == "stream" and route.is_resumable)


def may_try_again(route: Route, state: AttemptState) -> bool:
    """Return whether another attempt is allowed and worth it, budgets aside."""
    if state.time_left_s < MIN_TIME_LEFT_S or state.kind == "broken":
        return False
    if state.kind in ("connect", "not_run", "not_here"):
        if state.servers_run and not is_repeatable(route):
            return False
        return state.not_run_count <= MAX_NOT_RUN
    return is_repeatable(route) and state.servers_run < route.max_servers


def final_step(state: AttemptState) -> NextStep:
    """Return how to end a request after its last attempt."""
    if state.kind == "broken":
        return "break_off"
    if state.kind == "failure":
        return "give_answer"
    return "fail" if state.servers_run else "refuse"
