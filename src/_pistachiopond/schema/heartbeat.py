"""The heartbeats that control daemons exchange once a second; bounded in size."""

from typing import Annotated, Final, Literal, NamedTuple

from pydantic import Field

Count = Annotated[int, Field(ge=0)]
Liveness = Literal["alive", "suspected", "dead"]
Age = Annotated[float, Field(ge=0, allow_inf_nan=False)]

MAX_RUMOURS: Final = 4
MAX_STATEMENTS: Final = 8
MAX_HINTS: Final = 4
MAX_PEERS: Final = 2
MAX_LEAVING: Final = 8
MAX_DRAINS: Final = 8


class Rumour(NamedTuple):
    """Second-hand information about whether a daemon is alive.

    Attributes
    ----------
    address, data_centre, incarnation : str
        The daemon that this is about.
    beat : int
        The daemon's highest known heartbeat counter.
    standing : {"alive", "suspected", "dead"}
        Suspected or dead if the counter did not increase in time; a higher counter
        makes it alive again.
    """

    address: str
    data_centre: str
    incarnation: str
    beat: Count
    standing: Liveness


class LogStatement(NamedTuple):
    """Whether a daemon reaches the log, and how fresh its configuration is.

    Attributes
    ----------
    address, data_centre : str
        The daemon that this is about.
    reaches_log : bool
        Whether the log has answered it recently.
    fresh_age_s : float
        Time since it last knew that its configuration is the newest.
    config_offset : int
        The last offset of ``config`` that it has applied.
    age_s : float
        The age of this statement.
    """

    address: str
    data_centre: str
    reaches_log: bool
    fresh_age_s: Age
    config_offset: int
    age_s: Age


class OwnerHint(NamedTuple):
    """The holder of a shard as known to the sender; the highest epoch wins."""

    shard: str
    epoch: int
    address: str


class PeerHint(NamedTuple):
    """The address of a control daemon, for daemons that cannot get the list of VMs."""

    address: str
    data_centre: str


class DrainedReplica(NamedTuple):
    """One version of a model on one backend server."""

    server: str
    model: str
    version: str


class DrainNotice(NamedTuple):
    """Replicas that must get no new work; the highest epoch and sequence wins.

    Attributes
    ----------
    epoch : int
        The epoch of the planning daemon's lease.
    sequence : int
        Increases with each change of the list.
    replicas : tuple of DrainedReplica
        All draining replicas.
    """

    epoch: int = -1
    sequence: int = -1
    replicas: tuple[DrainedReplica, ...] = ()


class Heartbeat(NamedTuple):
    """A heartbeat, or the reply to one.

    Attributes
    ----------
    address, data_centre, incarnation : str
        Identify the sender.
    beat : int
        A counter that increases only while the sender's services make progress; a
        running process is not enough.
    own : LogStatement
        The sender's own statement.
    statements : tuple of LogStatement
        The newest statement from each data centre that the sender has received.
    rumours : tuple of Rumour
        Second-hand information about other daemons.
    owners : tuple of OwnerHint
        The holders of some shards.
    peers : tuple of PeerHint
        The addresses of a few other daemons.
    leaving : tuple of str
        Backend servers that are known to be leaving.
    drains : DrainNotice
        The newest list of draining replicas known to the sender.
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
