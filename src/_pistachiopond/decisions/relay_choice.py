"""Chooses the VMs that forward requests for a VM that cannot reach the servers.

Load that this answers: a data centre loses its links to the servers, so up to a third
of the VMs pass all of their requests to the others. The VMs are taken from a ring, so
that each of them forwards for about equally many, and each VM keeps the same ones, and
so its connections to them, while others come and go.
"""

import operator
from bisect import bisect_left
from collections.abc import Callable, Mapping
from functools import partial
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.rendezvous import score

# Enough that one of them is very likely alive and reaches the servers; few enough that
# the list fits into each reply of the leader.
MAX_RELAYS: Final = 6
# The key of the VMs that reach all services.
ANY_SERVICE: Final = ""


class RelayMember(NamedTuple):
    """A VM as seen by the leader.

    Attributes
    ----------
    address : str
        ``IP:port`` at which it takes other VMs' requests; empty if it takes none.
    unreachable : frozenset of str
        The services whose servers it cannot reach.
    """

    address: str
    unreachable: frozenset[str]


@final
class RelayRing:
    """The VMs on a ring by the hash of their names."""

    def __init__(self, members: Mapping[str, RelayMember]) -> None:
        self._members = members
        self._ring = sorted((score("relay", name), name) for name in members)

    def relays_of(self, member: str) -> dict[str, list[str]]:
        """Return the addresses of the VMs that may forward for a VM.

        Under `ANY_SERVICE` are VMs that reach all services, and under each service that
        the VM does not reach are VMs that reach that one.
        """
        own = self._members.get(member)
        lacking = frozenset() if own is None else own.unreachable
        relays = {
            service: self._addresses(member, partial(_reaches, service))
            for service in sorted(lacking)
        }
        relays[ANY_SERVICE] = self._addresses(member, operator.not_)
        return relays

    def _addresses(
        self, member: str, may_forward: Callable[[frozenset[str]], bool]
    ) -> list[str]:
        found: list[str] = []
        start = bisect_left(self._ring, (score("relay", member), member))
        for step in range(len(self._ring)):
            name = self._ring[(start + step) % len(self._ring)][1]
            other = self._members[name]
            if name != member and other.address and may_forward(other.unreachable):
                found.append(other.address)
                if len(found) == MAX_RELAYS:
                    break
        return found


def _reaches(service: str, unreachable: frozenset[str]) -> bool:
    return service not in unreachable
