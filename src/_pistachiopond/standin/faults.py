"""Faults that a stand-in has been told to commit, and when each strikes."""

import random
from typing import Annotated, Final, Literal, NamedTuple, final

from pydantic import Field

FaultKind = Literal[
    "delay_before",
    "delay_after",
    "drop_before",
    "drop_after",
    "duplicate",
    "status",
    "crossed",
    "cut",
    "slow",
    "crash",
    "freeze",
    "silent",
    "leaving",
]
AT_ONCE: Final = frozenset({"silent", "leaving"})


class Fault(NamedTuple):
    """One fault; ``docs/standins.md`` explains each kind.

    Attributes
    ----------
    kind : str
        What goes wrong.
    path_prefix, method, marker : str or None
        Which requests; `marker` is searched for in the request's body.
    count : int or None
        How often it strikes; None for no limit.
    probability : float
        Chance that it strikes a matching request, drawn with `seed`.
    lapses_after_s : float or None
        When it is gone, counted from when it was set.
    delay_s : float
        For the kinds that wait.
    status : int
        HTTP status, for ``status``.
    after_chunks : int
        Parts of the answer's body before ``cut`` and ``crash``.
    restart_s : float or None
        For ``crash``: comes back after this time; None ends the process.
    """

    kind: FaultKind
    path_prefix: str = "/"
    method: str | None = None
    marker: str | None = None
    count: Annotated[int, Field(gt=0)] | None = 1
    probability: Annotated[float, Field(ge=0, le=1)] = 1.0
    seed: int = 0
    lapses_after_s: Annotated[float, Field(gt=0)] | None = None
    delay_s: Annotated[float, Field(ge=0)] = 0.0
    status: Annotated[int, Field(ge=200, le=599)] = 503
    after_chunks: Annotated[int, Field(ge=0)] = 0
    restart_s: Annotated[float, Field(ge=0)] | None = None


class FaultOrder(NamedTuple):
    """The body of ``POST /faults``."""

    faults: tuple[Fault, ...]


class RequestShape(NamedTuple):
    """What of a request decides whether a fault strikes it."""

    method: str
    path: str
    body: bytes


class ListedFault(NamedTuple):
    """One fault with how often it has struck."""

    fault_id: int
    fault: Fault
    hits: int


@final
class _Armed:
    def __init__(self, fault_id: int, fault: Fault, now_s: float) -> None:
        self.fault_id = fault_id
        self.fault = fault
        self.hits = 0
        self._set_s = now_s
        self._random = random.Random(fault.seed)

    def strikes(self, request: RequestShape, now_s: float) -> bool:
        fault = self.fault
        if fault.kind in AT_ONCE or self._is_spent(now_s):
            return False
        if not _matches(fault, request):
            return False
        if self._random.random() >= fault.probability:
            return False
        self.hits += 1
        return True

    def _is_spent(self, now_s: float) -> bool:
        fault = self.fault
        if fault.count is not None and self.hits >= fault.count:
            return True
        age_s = now_s - self._set_s
        return fault.lapses_after_s is not None and age_s >= fault.lapses_after_s


@final
class FaultBook:
    """Every fault that has been set on one stand-in."""

    def __init__(self) -> None:
        self._armed: list[_Armed] = []
        self._next_id = 1

    def add(self, fault: Fault, now_s: float) -> int:
        """Set a fault and return its number."""
        armed = _Armed(self._next_id, fault, now_s)
        self._next_id += 1
        self._armed.append(armed)
        return armed.fault_id

    def clear(self) -> None:
        """Remove every fault."""
        self._armed.clear()

    def listed(self) -> tuple[ListedFault, ...]:
        """Return every fault that has been set."""
        return tuple(
            ListedFault(armed.fault_id, armed.fault, armed.hits)
            for armed in self._armed
        )

    def strike(self, request: RequestShape, now_s: float) -> dict[FaultKind, Fault]:
        """Return the faults that strike this request, one of each kind at most."""
        struck: dict[FaultKind, Fault] = {}
        for armed in self._armed:
            if armed.fault.kind in struck:
                continue
            if armed.strikes(request, now_s):
                struck[armed.fault.kind] = armed.fault
        return struck


def _matches(fault: Fault, request: RequestShape) -> bool:
    if not request.path.startswith(fault.path_prefix):
        return False
    if fault.method is not None and fault.method != request.method:
        return False
    return fault.marker is None or fault.marker.encode() in request.body
