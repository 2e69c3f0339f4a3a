"""Messages between the VMs and their leader on servers that name a rate."""

from typing import NotRequired, TypedDict

# A server and its start time, and the requests per second that it names for all VMs;
# None if it no longer names any.
ServerRate = tuple[str, int, float | None]
# A server and its start time, and for how many seconds more it is cold.
ColdServer = tuple[str, int, float]


class PlaceRequest(TypedDict):
    """A request for the time of one request to a server that names a rate.

    `servers` lists those that can run it, with the rates that the member knows.
    `most_s` is how long it may wait, and `rank` its urgency, 0 for the most urgent.
    `customer` is sent if one of the servers is cold; builds that do not know cold
    servers send none.
    """

    number: int
    servers: list[tuple[str, int, float]]
    most_s: float
    rank: int
    customer: NotRequired[str]


class PlaceReply(TypedDict):
    """The reply: an index in the `servers` of the request, or -1, and a wait.

    Without a server, the wait is the time after which the caller may come back.
    """

    number: int
    index: int
    wait_s: float
