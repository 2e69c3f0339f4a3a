"""What a backend server's answer says about the server itself."""

from typing import NamedTuple


class ServerNotice(NamedTuple):
    """The part of an answer that concerns all requests to its server.

    Attributes
    ----------
    is_leaving : bool
        Whether the server is shutting down.
    pause_s : float or None
        For how long the server wants no requests from this VM; None if it did not say.
    problem : str
        Why a part of the answer could not be read; empty if all could.
    """

    is_leaving: bool
    pause_s: float | None
    problem: str = ""


NO_NOTICE = ServerNotice(False, None)
