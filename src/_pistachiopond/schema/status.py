"""The status of one control daemon, as shown by ``pond status``."""

from typing import NamedTuple

from _pistachiopond.schema.routing import ServerView


class PublicationStatus(NamedTuple):
    """The result of one publication, as decided by the order of the log.

    Attributes
    ----------
    publication_id : str
        Identifies the operator's publication.
    offset : int
        The log offset of its record.
    result : str
        ``accepted``, or the reason for refusal.
    details : tuple of str
        One line for each fault.
    """

    publication_id: str
    offset: int
    result: str
    details: tuple[str, ...] = ()


class ShardStatus(NamedTuple):
    """The state of a shard as known to this daemon."""

    shard: str
    epoch: int
    holder_address: str
    held_here: bool
    unsettled_intents: int = 0


class MemberStatus(NamedTuple):
    """The state of a control daemon as known to this one.

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
    """The status that one control daemon reports to operators.

    Attributes
    ----------
    address, data_centre, incarnation : str
        Identify this daemon.
    revision_number : int
        The current revision on this daemon; 0 for none.
    withdrawn_keys : int
        How many key digests are withdrawn.
    config_offset : int
        The offset of the last ``config`` record that has been applied.
    config_fresh_age_s : float
        Time since this daemon last knew that no newer record exists; negative if it
        never did.
    keys_closed : bool
        Whether routes that need a key are closed here, because the configuration may be
        out of date.
    log_reached, list_reached : bool
        Whether the log and the list of VMs answered recently.
    log_down_s : float
        How long the log has failed to answer; 0 while it answers.
    members : tuple of MemberStatus
        The control daemons.
    shards : tuple of ShardStatus
        The shards whose streams this daemon reads.
    servers : tuple of ServerView
        Backend servers with their loaded models, including draining replicas.
    leaving : tuple of str
        Backend servers that any source reports as leaving.
    unplaced_models : tuple of str
        Models in the manifest that currently no serving backend server has ready.
    publications : tuple of PublicationStatus
        The most recent publications.
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
