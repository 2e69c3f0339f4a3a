"""Decides what a request does when no server takes it now.

Load that this answers: servers that ask for a pause, servers that crash if they refuse
too much, and models that no server has loaded. Each has a time of its own after which a
request may be sent. A request waits for it only as long as its caller still gets the
answer in time, and is refused at once otherwise, with a time at which there is a place.
"""

from typing import Final, Literal, NamedTuple

from _pistachiopond.decisions.brittle_servers import MIN_CHECK_S
from _pistachiopond.decisions.server_pauses import plan_pause_wait

# Upper bound of the Retry-After of a request without a place. A longer one would have
# no effect, since callers retry after no more than a third of their remaining time.
MAX_RETRY_AFTER_S: Final = 3.0


class ShareWait(NamedTuple):
    """The wait for a place in a VM's share of a service with brittle servers.

    Attributes
    ----------
    expected_s : float
        How long a request waits that begins to wait now.
    paused_for_s : float
        For how long no server of the service may be sent a request.
    """

    expected_s: float
    paused_for_s: float


class Obstacles(NamedTuple):
    """Why no server takes a request now.

    Attributes
    ----------
    resume_s : float or None
        When the first of its servers takes requests again, if all asked for a pause.
    share : ShareWait or None
        Set if the request needs a place in this VM's share.
    """

    resume_s: float | None
    share: ShareWait | None


class WaitPlan(NamedTuple):
    """What the request does.

    Attributes
    ----------
    step : str
        ``pause``: wait until `until_s` and look again; ``share``: the same, or until
        the VM's share has a place; ``model``: wait for a server that has the model;
        ``refuse``: be refused at once.
    until_s : float
        The end of the wait.
    retry_after_s : float
        When a refused request may come back, from now.
    """

    step: Literal["pause", "share", "model", "refuse"]
    until_s: float = 0.0
    retry_after_s: float = 0.0


def plan_wait(
    obstacles: Obstacles, latest_start_s: float, now_s: float, *, has_waited: bool
) -> WaitPlan:
    """Decide whether a request waits, and for what.

    Parameters
    ----------
    obstacles : Obstacles
        Why no server takes it now.
    latest_start_s : float
        When the request must be sent at the latest, for its caller to get the answer.
    now_s : float
        The time in seconds.
    has_waited : bool
        Whether the request has waited for a place before; then it is not behind others.
    """
    if obstacles.resume_s is not None:
        wait = plan_pause_wait(obstacles.resume_s, latest_start_s, now_s)
        if wait.until_s is None:
            return WaitPlan("refuse", retry_after_s=wait.retry_after_s)
        return WaitPlan("pause", wait.until_s)
    if obstacles.share is None:
        return WaitPlan("model")
    left_s = latest_start_s - now_s
    expected_s, paused_for_s = obstacles.share
    is_behind_others = expected_s > left_s and not has_waited
    if left_s < MIN_CHECK_S or is_behind_others or paused_for_s > left_s:
        retry_after_s = min(MAX_RETRY_AFTER_S, expected_s)
        return WaitPlan("refuse", retry_after_s=retry_after_s)
    return WaitPlan("share", latest_start_s)
