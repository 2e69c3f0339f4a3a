"""The VMs that forward requests for this VM while it cannot reach the servers."""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from functools import partial
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.relay_choice import ANY_SERVICE
from _pistachiopond.http1.message_bounds import RELAYED_RESPONSE_HEAD
from _pistachiopond.http1.messages import HttpAddress
from _pistachiopond.http1.pool import ConnectionPool
from _pistachiopond.vm.counts import decrease, increase
from _pistachiopond.vm.excessive_messages import RecordExcess, ignore_excess_at

# VMs accept connections within milliseconds; another one can be used instead.
CONNECT_TIMEOUT_S: Final = 0.3


class Peer(NamedTuple):
    """Another VM that takes requests of this one."""

    address: HttpAddress

    def name(self) -> str:
        """Return the address as text, for logs."""
        return f"{self.address.ip}:{self.address.port}"


@final
class PeerRelays:
    """Holds the leader's list of other VMs, and connections to them."""

    def __init__(
        self, now_s: Callable[[], float], on_excess: RecordExcess = ignore_excess_at
    ) -> None:
        self._now_s = now_s
        self._on_excess = on_excess
        self._peers: dict[str, tuple[Peer, ...]] = {}
        self._pools: dict[HttpAddress, ConnectionPool] = {}
        self._in_progress: dict[str, int] = {}
        self._rng = random.Random()

    def set_peers(self, addresses: Mapping[str, Sequence[HttpAddress]]) -> None:
        """Replace the VMs that requests may be passed on to, listed by service."""
        self._peers = {
            service: tuple(Peer(address) for address in listed)
            for service, listed in addresses.items()
        }

    def choose(self, service: str, excluded: Collection[Peer]) -> Peer | None:
        """Return the VM with the fewest requests of this one, or None.

        Parameters
        ----------
        service : str
            The service that the VM must reach.
        excluded : collection of Peer
            VMs that have been tried.
        """
        listed = self._peers.get(service, self._peers.get(ANY_SERVICE, ()))
        candidates = [peer for peer in listed if peer not in excluded]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda peer: (
                self._in_progress.get(peer.name(), 0),
                self._rng.random(),
            ),
        )

    def request_started(self, peer: Peer) -> None:
        """Count a request that is passed on to a VM."""
        increase(self._in_progress, peer.name())

    def request_ended(self, peer: Peer) -> None:
        """Stop counting a request at a VM."""
        decrease(self._in_progress, peer.name())

    def pool_of(self, peer: Peer) -> ConnectionPool:
        """Return the connections to a VM."""
        pool = self._pools.get(peer.address)
        if pool is None:
            pool = ConnectionPool(
                peer.address,
                self._now_s,
                CONNECT_TIMEOUT_S,
                on_excess=partial(self._on_excess, peer.address),
                head_limits=RELAYED_RESPONSE_HEAD,
            )
            self._pools[peer.address] = pool
        return pool

    def close_unused(self) -> None:
        """Close expired connections, and those to VMs that are no longer listed."""
        listed = {peer.address for peers in self._peers.values() for peer in peers}
        for address, pool in list(self._pools.items()):
            pool.close_expired()
            if address not in listed:
                pool.close()
            if pool.open_connections == 0:
                del self._pools[address]
