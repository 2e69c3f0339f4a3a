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
    crash_limit : int or None
        A server that refuses more requests than this within a second, for want of room,
        crashes; None if it did not announce that.
    keeps_crash_limit : bool
        Whether the answer does not say if the server still announces a crash limit.
    rate_per_s : float or None
        The requests per second that the server takes from all VMs together; None if it
        did not name a rate.
    keeps_rate : bool
        Whether the answer does not say if the server still names a rate.
    cold_remaining_s : float or None
        How much longer the server stays cold; None if the answer does not say.
    """

    is_leaving: bool
    pause_s: float | None
    problem: str = ""
    crash_limit: int | None = None
    keeps_crash_limit: bool = False
    rate_per_s: float | None = None
    keeps_rate: bool = False
    cold_remaining_s: float | None = None


NO_NOTICE = ServerNotice(False, None)
