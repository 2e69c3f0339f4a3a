"""Messages in which one control daemon forwards engines' reports to another."""

from typing import NamedTuple

from _pistachiopond.schema.engine import EngineState


class ForwardedReport(NamedTuple):
    """One engine's report, without its list of orders.

    Attributes
    ----------
    server : str
        The backend server's name.
    state : EngineState
        The engine's report; `orders` is empty.
    age_s : float
        The time from the poll of the engine to this message.
    """

    server: str
    state: EngineState
    age_s: float


class FeedMessage(NamedTuple):
    """The changes since the previous message.

    Attributes
    ----------
    changed : tuple of ForwardedReport
        Reports that differ from those sent before by more than a small shift of load.
    others_age_s : float
        The age of the oldest poll among all other reports. A report that was sent
        before and is not in `lost` was still valid at that time.
    lost : tuple of str
        Servers whose engines have not answered recently; their state is unknown.
    """

    changed: tuple[ForwardedReport, ...] = ()
    others_age_s: float = 0.0
    lost: tuple[str, ...] = ()
