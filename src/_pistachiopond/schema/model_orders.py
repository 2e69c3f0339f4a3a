"""Orders to load and unload models and adapters on an engine server."""

from typing import Literal, NamedTuple

# "holds_already": nothing was left to do, or it was done at once. "not_here": another
# server now has the address. "unanswered": the order may be carried out, also later.
# "unsent": no connection could be opened.
OrderOutcome = Literal[
    "accepted",
    "holds_already",
    "conflict",
    "fenced",
    "refused",
    "not_here",
    "unanswered",
    "unsent",
]


class ModelOrder(NamedTuple):
    """An order to one engine server.

    Attributes
    ----------
    server_id : str
        The server that the order is for.
    action : {"load", "unload"}
        Whether to load or to unload.
    model : str
        The model, or the base model of the adapter.
    adapter : str
        The adapter; empty if the order is for the model itself.
    order_count : int
        The number of orders that the server must have accepted so far; if it differs,
        the server refuses the order.
    required_version : str or None
        The software version at which requests wait for the model or adapter; None if
        the order is for requests that may run at any.
    """

    server_id: str
    action: Literal["load", "unload"]
    model: str
    adapter: str
    order_count: int
    required_version: str | None = None


class ServerReport(NamedTuple):
    """The state that a server reports when it is polled.

    Attributes
    ----------
    models : dict of str to tuple of str
        The adapters of each loaded model, including those in transit to the server.
    is_busy : bool
        Whether it is executing an order whose result the report does not show.
    order_count : int
        The number of orders that it has accepted.
    """

    models: dict[str, tuple[str, ...]]
    is_busy: bool
    order_count: int
