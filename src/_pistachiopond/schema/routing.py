"""What an entry daemon routes by: the backend servers and what each holds."""

from typing import Literal, NamedTuple

Availability = Literal["serving", "draining", "gone"]


class ResidentModel(NamedTuple):
    """A model that a backend server serves.

    Attributes
    ----------
    model : str
        The model's name.
    version : str
        The version that is loaded.
    adapters : tuple of str
        Adapters that are loaded with it.
    state : {"ready", "draining"}
        A draining replica gets no new work.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    state: Literal["ready", "draining"]


class ServerView(NamedTuple):
    """One backend server, as the control daemons last knew it.

    Attributes
    ----------
    name, url, data_centre, service : str
        As in the manifest.
    availability : {"serving", "draining", "gone"}
        Only a serving one gets new work.
    residents : tuple of ResidentModel
        Empty for a plain service.
    queued_tokens : float
        Work that the engine reported as waiting or running.
    report_age_s : float
        How old that report was when the view was made.
    cached_prefixes : tuple of str
        Prefix identities that the engine has published as cached.
    """

    name: str
    url: str
    data_centre: str
    service: str
    availability: Availability
    residents: tuple[ResidentModel, ...]
    queued_tokens: float
    report_age_s: float
    cached_prefixes: tuple[str, ...] = ()


class RoutingView(NamedTuple):
    """Everything that routing needs of the control side.

    Attributes
    ----------
    sequence : int
        Grows with each view of one control daemon.
    servers : tuple of ServerView
        Every backend server that may be used.
    """

    sequence: int
    servers: tuple[ServerView, ...]
