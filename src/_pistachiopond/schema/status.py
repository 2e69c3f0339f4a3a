"""What one control daemon knows, as ``pond status`` shows it."""

from typing import NamedTuple

from _pistachiopond.schema.routing import ServerView


class PublicationStatus(NamedTuple):
    """What became of one publication, by the order of the log.

    Attributes
    ----------
    publication_id : str
        The operator's attempt.
    offset : int
        Of its record.
    result : str
        ``accepted``, or why it was refused.
    details : tuple of str
        One line for each fault.
    """

    publication_id: str
    offset: int
    result: str
    details: tuple[str, ...] = ()


class ShardStatus(NamedTuple):
    """One shard as this daemon sees it."""

    shard: str
    epoch: int
    holder_address: str
    held_here: bool
    unsettled_intents: int = 0


class MemberStatus(NamedTuple):
    """One control daemon as this one sees it.

    Attributes
    ----------
    state : str
        ``alive``, ``suspected``, ``dead`` or ``damped``.
    """

    address: str
    data_centre: str
    incarnation: str
    state: str


class ControlStatus(NamedTuple):
    """Everything that one control daemon tells operators.

    Attributes
    ----------
    address, data_centre, incarnation : str
        This daemon.
    revision_number : int
        The revision in force here; 0 for none.
    withdrawn_keys : int
        How many key digests are withdrawn.
    config_offset : int
        The last record of ``config`` that has been taken into account.
    config_fresh_age_s : float
        Age of the proof that there is no newer one; negative when never proved.
    keys_closed : bool
        Whether keyed routes refuse here.
    log_reached, list_reached : bool
        Whether the platform's services answered lately.
    log_down_s : float
        How long the log has not answered; 0 while it does.
    members : tuple of MemberStatus
        The fleet.
    shards : tuple of ShardStatus
        Those that this daemon follows.
    servers : tuple of ServerView
        Backend servers with what they hold, drains included.
    leaving : tuple of str
        Backend servers that are leaving, by any source.
    unplaced_models : tuple of str
        Listed models that no backend server has ready at present.
    publications : tuple of PublicationStatus
        The last few.
    """

    address: str
    data_centre: str
    incarnation: str
    revision_number: int
    withdrawn_keys: int
    config_offset: int
    config_fresh_age_s: float
    keys_closed: bool
    log_reached: bool
    list_reached: bool
    log_down_s: float
    members: tuple[MemberStatus, ...] = ()
    shards: tuple[ShardStatus, ...] = ()
    servers: tuple[ServerView, ...] = ()
    leaving: tuple[str, ...] = ()
    unplaced_models: tuple[str, ...] = ()
    publications: tuple[PublicationStatus, ...] = ()
