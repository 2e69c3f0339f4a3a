"""Orders that change what an engine server holds."""

from typing import Literal, NamedTuple


class ModelOrder(NamedTuple):
    """An order to one server.

    Attributes
    ----------
    server_id : str
        The server.
    action : {"load", "unload"}
        What to do.
    model : str
        The model, or the adapter's model.
    adapter : str
        Empty for the model itself.
    order_count : int
        How many orders the server must have accepted before; otherwise it refuses.
    """

    server_id: str
    action: Literal["load", "unload"]
    model: str
    adapter: str
    order_count: int


class ServerReport(NamedTuple):
    """What a server says of itself when asked.

    Attributes
    ----------
    models : dict of str to tuple of str
        The adapters of each model that it holds.
    is_busy : bool
        Whether an order is being carried out.
    order_count : int
        Orders that it has accepted.
    """

    models: dict[str, tuple[str, ...]]
    is_busy: bool
    order_count: int
