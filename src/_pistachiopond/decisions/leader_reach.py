"""Moves the lead away from a VM that cannot reach the servers.

Load that this answers: the leader loses its links to the servers while other VMs keep
theirs. Its orders to load models get no answer, and the models that it was about to
unload count as gone on all VMs.
"""

from collections.abc import Iterable
from typing import Final

# Longer than a probe of a service takes to show that only a server has crashed.
HAND_OVER_AFTER_S: Final = 0.5
# A VM that cannot reach the servers claims a free lead this much later than others,
# several times what the others' claims are spread over.
CLAIM_HANDICAP_S: Final = 1.5


def should_hand_over(
    unreachable: frozenset[str],
    unreachable_for_s: float,
    members: Iterable[frozenset[str]],
) -> bool:
    """Return whether the leader should give up the lead.

    Parameters
    ----------
    unreachable : frozenset of str
        The services that the leader cannot reach.
    unreachable_for_s : float
        For how long it has not reached one of them.
    members : iterable of frozenset of str
        The services that each connected member cannot reach.
    """
    if not unreachable or unreachable_for_s < HAND_OVER_AFTER_S:
        return False
    return any(lacking < unreachable for lacking in members)


def claim_handicap_s(unreachable: frozenset[str]) -> float:
    """Return how much later than others a VM claims, given what it cannot reach."""
    return CLAIM_HANDICAP_S if unreachable else 0.0
