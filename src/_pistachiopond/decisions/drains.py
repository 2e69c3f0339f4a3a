"""Maintains the bounded list of draining replicas that entry daemons receive."""

from collections.abc import Iterable
from typing import final

from _pistachiopond.schema.heartbeat import MAX_DRAINS, DrainedReplica, DrainNotice


@final
class DrainList:
    """The replicas that the present holder drains, and since when they are listed."""

    def __init__(self) -> None:
        self._since_s: dict[DrainedReplica, float] = {}
        self._sequence = 0
        self._epoch = -1

    def update(
        self, wanted: Iterable[DrainedReplica], epoch: int, now_s: float
    ) -> DrainNotice:
        """Update the list from a plan, and return the notice to distribute.

        Parameters
        ----------
        wanted : iterable of DrainedReplica
            The replicas that the plan drains; those beyond `MAX_DRAINS` must wait.
        epoch : int
            The epoch of the claim under which the plan was made.
        now_s : float
            The time by this daemon's clock.
        """
        wanted = list(wanted)
        if epoch != self._epoch:
            # Until entry daemons receive this epoch's list, they may use another one,
            # so earlier times do not count.
            self._since_s = {}
            self._epoch = epoch
        kept = {key: at_s for key, at_s in self._since_s.items() if key in set(wanted)}
        for replica in wanted:
            if len(kept) >= MAX_DRAINS:
                break
            kept.setdefault(replica, now_s)
        if kept != self._since_s or self._sequence == 0:
            self._sequence += 1
        self._since_s = kept
        return DrainNotice(epoch, self._sequence, tuple(sorted(kept)))

    def since_s(self) -> dict[DrainedReplica, float]:
        """Return since when each replica is on the list."""
        return dict(self._since_s)
