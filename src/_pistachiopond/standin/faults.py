"""Faults that are set on a stand-in, and which requests trigger them."""

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
# Kinds that take effect when they are set, not when a request triggers them.
IMMEDIATE_KINDS: Final = frozenset({"silent", "leaving"})


class Fault(NamedTuple):
    """One fault to inject; ``docs/standins.md`` explains each kind.

    Attributes
    ----------
    kind : str
        The kind of failure.
    path_prefix, method, marker : str or None
        Which requests match; `marker` is searched for in the request's body.
    count : int or None
        How many requests trigger it; None for no limit.
    probability : float
        Probability that a matching request triggers it. The random generator is
        seeded with `seed`.
    lapses_after_s : float or None
        Time after which it expires, counted from when it was set.
    delay_s : float
        Delay, for the kinds that delay or block.
    status : int
        HTTP status of the response, for ``status``.
    after_chunks : int
        Chunks of the response body that are sent before ``cut`` or ``crash``.
    restart_s : float or None
        For ``crash``: the stand-in restarts after this time; None ends the process.
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


class FaultsBody(NamedTuple):
    """Body of ``POST /faults``."""

    faults: tuple[Fault, ...]


class RequestAttributes(NamedTuple):
    """The parts of a request that faults are matched against."""

    method: str
    path: str
    body: bytes


class FaultStatus(NamedTuple):
    """One fault and the number of requests that have triggered it."""

    fault_id: int
    fault: Fault
    hits: int


@final
class _ActiveFault:
    def __init__(self, fault_id: int, fault: Fault, now_s: float) -> None:
        self.fault_id = fault_id
        self.fault = fault
        self.hits = 0
        self._added_s = now_s
        self._random = random.Random(fault.seed)

    def triggers(self, request: RequestAttributes, now_s: float) -> bool:
        """Return whether a request triggers the fault, and count the hit if so."""
        fault = self.fault
        if fault.kind in IMMEDIATE_KINDS or self._is_expired(now_s):
            return False
        if not _matches(fault, request):
            return False
        if self._random.random() >= fault.probability:
            return False
        self.hits += 1
        return True

    def _is_expired(self, now_s: float) -> bool:
        fault = self.fault
        if fault.count is not None and self.hits >= fault.count:
            return True
        age_s = now_s - self._added_s
        return fault.lapses_after_s is not None and age_s >= fault.lapses_after_s


@final
class FaultRegistry:
    """All faults that are set on one stand-in."""

    def __init__(self) -> None:
        self._active: list[_ActiveFault] = []
        self._next_id = 1

    def add(self, fault: Fault, now_s: float) -> int:
        """Set a fault and return its id."""
        active = _ActiveFault(self._next_id, fault, now_s)
        self._next_id += 1
        self._active.append(active)
        return active.fault_id

    def clear(self) -> None:
        """Remove every fault."""
        self._active.clear()

    def list_faults(self) -> tuple[FaultStatus, ...]:
        """Return all faults that are set."""
        return tuple(
            FaultStatus(active.fault_id, active.fault, active.hits)
            for active in self._active
        )

    def trigger(
        self, request: RequestAttributes, now_s: float
    ) -> dict[FaultKind, Fault]:
        """Return the faults that this request triggers, at most one of each kind.

        Each of them counts the request as a hit.
        """
        triggered: dict[FaultKind, Fault] = {}
        for active in self._active:
            if active.fault.kind in triggered:
                continue
            if active.triggers(request, now_s):
                triggered[active.fault.kind] = active.fault
        return triggered


def _matches(fault: Fault, request: RequestAttributes) -> bool:
    if not request.path.startswith(fault.path_prefix):
        return False
    if fault.method is not None and fault.method != request.method:
        return False
    return fault.marker is None or fault.marker.encode() in request.body
