"""Chooses a backend server for a request of a plain or an engine service."""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from _pistachiopond.decisions.rendezvous import score

# Parts of a server's slots that a server nearer by, or one that has read the
# request's prompt before, may be fuller.
OTHER_DATA_CENTRE_LOAD: Final = 0.08
PROMPT_HOME_GAIN: Final = 0.10
# A server fuller by this part of its slots does for a request as well as the best.
EQUAL_LOAD: Final = 0.4
MOST_RANKED: Final = 6
# Load beyond the slots waits; it counts for more than load that runs.
WAITING_WEIGHT: Final = 3.0


class Candidate(NamedTuple):
    """A server that may take a request.

    Attributes
    ----------
    server_id : str
        Its name.
    load : float
        Requests of all VMs that it has, as far as is known.
    slots : int
        Requests that it runs at a time.
    is_near : bool
        Whether it stands in the VM's own data centre.
    is_doubtful : bool
        Whether it has failed lately; used only where there is no other.
    """

    server_id: str
    load: float
    slots: int
    is_near: bool
    is_doubtful: bool


class Ranked(NamedTuple):
    """A server that does for a request.

    Attributes
    ----------
    server_id : str
        Its name.
    bias : float
        What its load is seen as more for this request, as a part of its slots.
    """

    server_id: str
    bias: float


def load_cost(filled: float) -> float:
    """Return what the load of a server costs a request that comes to it.

    Parameters
    ----------
    filled : float
        The load as a part of the slots, over 1 where requests wait.
    """
    return filled + WAITING_WEIGHT * max(0.0, filled - 1.0)


def rank_candidates(
    candidates: Sequence[Candidate], prompt_id: str | None, rng: random.Random
) -> list[Ranked]:
    """Return the servers with about the least load, the best first.

    Parameters
    ----------
    candidates : sequence of Candidate
        Those that may take the request.
    prompt_id : str or None
        What the request's prompt begins with; requests with the same beginning
        prefer the same server, as long as it is not much fuller.
    rng : random.Random
        Decides between equals.
    """
    sound = [item for item in candidates if not item.is_doubtful] or list(candidates)
    if not sound:
        return []
    home = None
    if prompt_id is not None:
        home = max(sound, key=lambda item: score(prompt_id, item.server_id)).server_id

    def bias(item: Candidate) -> float:
        near = 0.0 if item.is_near else OTHER_DATA_CENTRE_LOAD
        return near - (PROMPT_HOME_GAIN if item.server_id == home else 0.0)

    ranked = sorted(
        (
            load_cost(item.load / max(1, item.slots)) + bias(item),
            rng.random(),
            Ranked(item.server_id, bias(item)),
        )
        for item in sound
    )
    least = ranked[0][0]
    near_best = [item for cost, _, item in ranked if cost - least <= EQUAL_LOAD]
    return near_best[:MOST_RANKED]
