"""Flap damping: a daemon that repeatedly fails and recovers gets no work at first."""

from typing import Final, NamedTuple

HALF_LIFE_S: Final = 60.0
DAMP_ABOVE: Final = 3.0
RELEASE_BELOW: Final = 1.5
HIGHEST_PENALTY: Final = 6.0


class Damping(NamedTuple):
    """Penalty for a daemon's recent changes of standing.

    Attributes
    ----------
    penalty : float
        Increased by 1 with each change, and halved every `HALF_LIFE_S`.
    changed_s : float
        When the penalty was last calculated.
    is_damped : bool
        Set when the penalty exceeds `DAMP_ABOVE`, until it falls below
        `RELEASE_BELOW`.
    """

    penalty: float = 0.0
    changed_s: float = 0.0
    is_damped: bool = False


def damping_after_change(damping: Damping, now_s: float) -> Damping:
    """Return the damping after another change of standing."""
    penalty = min(_penalty(damping, now_s) + 1.0, HIGHEST_PENALTY)
    return Damping(penalty, now_s, is_damped(damping, now_s) or penalty > DAMP_ABOVE)


def is_damped(damping: Damping, now_s: float) -> bool:
    """Return whether the daemon should not be assigned work yet."""
    return damping.is_damped and _penalty(damping, now_s) >= RELEASE_BELOW


def _penalty(damping: Damping, now_s: float) -> float:
    return damping.penalty * 0.5 ** ((now_s - damping.changed_s) / HALF_LIFE_S)
