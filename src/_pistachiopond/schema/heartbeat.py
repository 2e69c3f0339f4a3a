"""What control daemons tell each other once a second, in bounded size."""

from typing import Annotated, Final, Literal, NamedTuple

from pydantic import Field

Count = Annotated[int, Field(ge=0)]
Standing = Literal["alive", "suspected", "dead"]
Age = Annotated[float, Field(ge=0, allow_inf_nan=False)]

MAX_RUMOURS: Final = 4
MAX_STATEMENTS: Final = 8
MAX_HINTS: Final = 4
MAX_PEERS: Final = 2
MAX_LEAVING: Final = 8
MAX_DRAINS: Final = 8


class Rumour(NamedTuple):
    """What is known of a daemon's life, at second hand.

    Attributes
    ----------
    address, data_centre, incarnation : str
        Which daemon.
    beat : int
        The highest beat that was heard of it.
    standing : {"alive", "suspected", "dead"}
        Suspected or dead when no higher beat came in time; a higher one refutes it.
    """

    address: str
    data_centre: str
    incarnation: str
    beat: Count
    standing: Standing


class LogStatement(NamedTuple):
    """How a daemon in one data centre stands to the log.

    Attributes
    ----------
    address, data_centre : str
        Which daemon.
    reaches_log : bool
        Whether the log answered it lately.
    fresh_age_s : float
        Age of its proof that it knows the newest configuration.
    config_offset : int
        The last offset of ``config`` that it has taken into account.
    age_s : float
        How old this statement is.
    """

    address: str
    data_centre: str
    reaches_log: bool
    fresh_age_s: Age
    config_offset: int
    age_s: Age


class OwnerHint(NamedTuple):
    """Who holds a shard, as far as the sender knows; the highest epoch wins."""

    shard: str
    epoch: int
    address: str


class PeerHint(NamedTuple):
    """Another control daemon, for those that the platform's list does not answer."""

    address: str
    data_centre: str


class DrainedReplica(NamedTuple):
    """One version of a model on one backend server."""

    server: str
    model: str
    version: str


class DrainNotice(NamedTuple):
    """Replicas that are to get no new work; the highest epoch and sequence wins.

    Attributes
    ----------
    epoch : int
        The claim of the daemon that plans.
    sequence : int
        Grows with each change of the list.
    replicas : tuple of DrainedReplica
        All of them.
    """

    epoch: int = -1
    sequence: int = -1
    replicas: tuple[DrainedReplica, ...] = ()


class Heartbeat(NamedTuple):
    """One heartbeat, or the answer to one.

    Attributes
    ----------
    address, data_centre, incarnation : str
        The sender.
    beat : int
        Grows while the sender's services make progress, not merely its kernel.
    own : LogStatement
        How the sender stands to the log.
    statements : tuple of LogStatement
        What it heard from other data centres, one for each.
    rumours : tuple of Rumour
        News of other daemons.
    owners : tuple of OwnerHint
        Some of the shards' holders.
    peers : tuple of PeerHint
        A few other daemons.
    leaving : tuple of str
        Backend servers that are known to be leaving.
    drains : DrainNotice
        The newest that the sender knows.
    """

    address: str
    data_centre: str
    incarnation: str
    beat: Count
    own: LogStatement
    statements: tuple[LogStatement, ...] = ()
    rumours: tuple[Rumour, ...] = ()
    owners: tuple[OwnerHint, ...] = ()
    peers: tuple[PeerHint, ...] = ()
    leaving: tuple[str, ...] = ()
    drains: DrainNotice = DrainNotice()
