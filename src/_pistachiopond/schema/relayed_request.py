"""The data with which a VM passes a request on to another VM."""

from typing import NamedTuple


class RelayedRequest(NamedTuple):
    """What the first VM has decided about a request.

    Attributes
    ----------
    route : str
        The name of the request's route.
    service : str
        The service chosen for it.
    customer : str or None
        The customer whose key the request had; None on open routes.
    rank : int
        The urgency; 0 is the most urgent.
    left_s : float
        The time until the deadline, when the request was passed on.
    max_servers : int
        The number of servers that may still run the request.
    fingerprint : str
        The digest by which requests that crash servers are known.
    first_attempt_id : str or None
        The id that all requests for one stream share; None if the caller takes up a
        stream and does not say which. Older builds send none.
    is_trial : bool
        Whether the leader has permitted that the request runs although a part of its
        prompt is refused. Older builds send and read none.
    """

    route: str
    service: str
    customer: str | None
    rank: int
    left_s: float
    max_servers: int
    fingerprint: str
    first_attempt_id: str | None = None
    is_trial: bool = False
