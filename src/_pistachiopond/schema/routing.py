"""The view by which entry daemons route: backend servers and their models."""

from typing import Literal, NamedTuple

Availability = Literal["serving", "draining", "gone"]


class ResidentModel(NamedTuple):
    """A model that is loaded on a backend server.

    Attributes
    ----------
    model : str
        The model's name.
    version : str
        The loaded version.
    adapters : tuple of str
        The loaded adapters of the model.
    state : {"ready", "draining"}
        A draining replica gets no new requests.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    state: Literal["ready", "draining"]


class ServerView(NamedTuple):
    """One backend server, as last known to the control daemon.

    Attributes
    ----------
    name, url, data_centre, service : str
        As in the manifest.
    availability : {"serving", "draining", "gone"}
        Only a serving server gets new requests.
    residents : tuple of ResidentModel
        Empty for a plain service.
    queued_tokens : float
        The tokens of queued and running requests that the engine reported.
    report_age_s : float
        The age of that report when the view was built.
    cached_prefixes : tuple of str
        Identifiers of the prompt prefixes that the engine has published as cached.
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
    """The routing state that a control daemon sends.

    Attributes
    ----------
    sequence : int
        Increases with each view of one control daemon.
    servers : tuple of ServerView
        The backend servers.
    """

    sequence: int
    servers: tuple[ServerView, ...]
