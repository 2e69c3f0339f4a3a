"""Messages between the VMs and their leader on servers that name a rate."""

from typing import TypedDict

# A server and its start time, and the requests per second that it names for all VMs;
# None if it no longer names any.
ServerRate = tuple[str, int, float | None]


class PlaceRequest(TypedDict):
    """A request for the time of one request to a server that names a rate.

    `servers` lists those that can run it, with the rates that the member knows.
    `most_s` is how long it may wait, and `rank` its urgency, 0 for the most urgent.
    """

    number: int
    servers: list[tuple[str, int, float]]
    most_s: float
    rank: int


class PlaceReply(TypedDict):
    """The reply: an index in the `servers` of the request, or -1, and a wait.

    Without a server, the wait is the time after which the caller may come back.
    """

    number: int
    index: int
    wait_s: float
