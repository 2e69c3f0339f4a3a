"""Ranks the backend servers for a request of a plain or an engine service."""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from _pistachiopond.decisions.rendezvous import score

# Differences in utilisation for which a server of the VM's own data centre, or the
# one that has prefilled the beginning of the prompt before, is still preferred.
OTHER_DATA_CENTRE_PENALTY: Final = 0.08
PROMPT_AFFINITY_BONUS: Final = 0.10
# Servers whose cost exceeds the lowest by no more than this are also returned.
COST_TOLERANCE: Final = 0.4
MAX_RANKED: Final = 6
# Requests beyond the slots have to queue; they cost more than running ones.
QUEUED_LOAD_WEIGHT: Final = 3.0


class Candidate(NamedTuple):
    """A server that can run a request.

    Attributes
    ----------
    server_id : str
        The server's name.
    load : float
        The estimated number of requests that it has from all VMs.
    slots : int
        The number of requests that it runs concurrently.
    is_local : bool
        Whether it is in the VM's own data centre.
    is_unhealthy : bool
        Whether it is believed to be unhealthy, such as after recent failures. Such
        a server is used only if there is no other.
    speed : float
        Its speed, 1 for the mean of its service.
    """

    server_id: str
    load: float
    slots: int
    is_local: bool
    is_unhealthy: bool
    speed: float = 1.0


class RankedCandidate(NamedTuple):
    """A server with nearly the lowest cost for a request.

    Attributes
    ----------
    server_id : str
        The server's name.
    bias : float
        Added to its utilisation for this request: the distance penalty, less the
        prompt affinity bonus.
    """

    server_id: str
    bias: float


def candidate_biases(
    candidates: Sequence[Candidate], prompt_id: str | None
) -> dict[str, float]:
    """Return the bias of each candidate, as in `RankedCandidate`, by server.

    Parameters
    ----------
    candidates : sequence of Candidate
        Servers that can run the request.
    prompt_id : str or None
        As in `rank_candidates`.
    """
    preferred = None
    if prompt_id is not None and candidates:
        preferred = max(
            candidates, key=lambda item: score(prompt_id, item.server_id)
        ).server_id
    return {
        item.server_id: (0.0 if item.is_local else OTHER_DATA_CENTRE_PENALTY)
        - (PROMPT_AFFINITY_BONUS if item.server_id == preferred else 0.0)
        for item in candidates
    }


def load_cost(utilisation: float, speed: float = 1.0) -> float:
    """Return the cost of sending a request to a server with that utilisation.

    Parameters
    ----------
    utilisation : float
        The server's load divided by its slots; above 1 if requests queue.
    speed : float
        Its speed, 1 for the mean of its service. A fast server has no more slots, so
        requests queue from the same load on, but for a shorter time.
    """
    queued = QUEUED_LOAD_WEIGHT * max(0.0, utilisation - 1.0)
    return (utilisation + queued) / speed


def rank_candidates(
    candidates: Sequence[Candidate], prompt_id: str | None, rng: random.Random
) -> list[RankedCandidate]:
    """Return the servers with nearly the lowest cost, the best first.

    Parameters
    ----------
    candidates : sequence of Candidate
        Servers that can run the request.
    prompt_id : str or None
        Identifies the beginning of the prompt. Requests whose prompts begin alike
        prefer the same server, chosen by rendezvous hashing, unless that server is
        much busier than the others.
    rng : random.Random
        Breaks ties.
    """
    healthy = [item for item in candidates if not item.is_unhealthy] or list(candidates)
    if not healthy:
        return []
    biases = candidate_biases(healthy, prompt_id)
    ranked = sorted(
        (
            load_cost(item.load / max(1, item.slots), item.speed)
            + biases[item.server_id],
            rng.random(),
            RankedCandidate(item.server_id, biases[item.server_id]),
        )
        for item in healthy
    )
    lowest_cost = ranked[0][0]
    within_tolerance = [
        item for cost, _, item in ranked if cost - lowest_cost <= COST_TOLERANCE
    ]
    return within_tolerance[:MAX_RANKED]
