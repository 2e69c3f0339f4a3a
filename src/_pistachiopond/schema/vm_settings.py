"""The settings of a VM's process: its addresses, bounds and the platform's store."""

from typing import Final, NamedTuple

from _pistachiopond.http1.messages import HttpAddress

# Of settings that do not name the lease.
LEASE_S: Final = 3.0


class VmBounds(NamedTuple):
    """The time and retry bounds that operators require of the system.

    Attributes
    ----------
    revoke_s : float
        Limit from the store's acknowledgement of a withdrawn key to its last use.
    drain_s : float
        Limit from a backend server's notice that it leaves to the last request sent to
        it.
    stop_grace_s : float
        The time from SIGTERM to SIGKILL.
    retry_ratio, retry_reserve : float
        In each of the operators' windows, all VMs together may send a service
        `retry_ratio` retries for each request, and `retry_reserve` more.
    lease_s : float
        The time within which two VMs must not send orders by turns.
    """

    revoke_s: float
    drain_s: float
    stop_grace_s: float
    retry_ratio: float
    retry_reserve: float
    lease_s: float = LEASE_S


class VmSettings(NamedTuple):
    """The settings of one process.

    Attributes
    ----------
    name : str
        The VM's name, unique in the deployment.
    ip : str
        The VM's address.
    data_centre : str
        The data centre that it runs in.
    caller_address, ready_address, peer_address : HttpAddress
        The addresses that it listens on for callers, the load balancer and other VMs.
    relay_address : HttpAddress
        The address that it listens on for requests that other VMs pass on.
    heartbeat_s : float
        The period of the backend servers' heartbeats.
    cpu_cores, link_mbps : float
        The VM's cores and network bandwidth.
    bounds : VmBounds
        The bounds that operators require.
    store_address : HttpAddress
        The address of the platform's store.
    memory_bytes : int or None
        The VM's memory; None if it is unknown.
    max_descriptors : int or None
        File descriptors that the process may have; None if it is unknown.
    """

    name: str
    ip: str
    data_centre: str
    caller_address: HttpAddress
    ready_address: HttpAddress
    peer_address: HttpAddress
    relay_address: HttpAddress
    heartbeat_s: float
    cpu_cores: float
    link_mbps: float
    bounds: VmBounds
    store_address: HttpAddress
    memory_bytes: int | None = None
    max_descriptors: int | None = None
