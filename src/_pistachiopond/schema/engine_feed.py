"""What one control daemon passes on to another of the engines' reports."""

from typing import NamedTuple

from _pistachiopond.schema.engine import EngineState


class FedReport(NamedTuple):
    """One engine's report, without its list of orders.

    Attributes
    ----------
    server : str
        The backend server.
    state : EngineState
        Its own word; `orders` is empty.
    age_s : float
        How long before the message the engine was asked.
    """

    server: str
    state: EngineState
    age_s: float


class FeedMessage(NamedTuple):
    """What has changed since the message before.

    Attributes
    ----------
    changed : tuple of FedReport
        Reports that differ from what was sent before.
    others_age_s : float
        How long ago, at most, the engines of all other reports were asked; a
        report that was sent before and is not in `lost` still held then.
    lost : tuple of str
        Servers whose engines have not answered lately; nothing is said of them.
    """

    changed: tuple[FedReport, ...] = ()
    others_age_s: float = 0.0
    lost: tuple[str, ...] = ()
