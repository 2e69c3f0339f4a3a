"""What a VM's process is told about itself, its bounds and the platform's store."""

from typing import NamedTuple

from _pistachiopond.http1.messages import HttpAddress


class VmBounds(NamedTuple):
    """The bounds that the operators hold the system to.

    Attributes
    ----------
    revoke_s : float
        From the store's acknowledgement of a withdrawn key to its last use.
    drain_s : float
        From a backend server's notice that it leaves to the last request sent.
    stop_grace_s : float
        From SIGTERM to SIGKILL.
    order_lease_s : float
        Two VMs must not give orders to one server by turns within this time.
    address_reuse_s : float
        After which the address of a server that is gone may be another's.
    retry_ratio, retry_window_s, retry_reserve : float
        In each window, all VMs together may send a service `retry_ratio` retries
        for each request, and `retry_reserve` more.
    load_window_s : float
        The window in which starts of loads are counted.
    """

    revoke_s: float
    drain_s: float
    stop_grace_s: float
    order_lease_s: float
    address_reuse_s: float
    retry_ratio: float
    retry_window_s: float
    retry_reserve: float
    load_window_s: float


class StoreTerms(NamedTuple):
    """The platform's store.

    Attributes
    ----------
    address : HttpAddress
        Where it answers.
    writes_per_s, reads_per_s : float
        What all VMs together may call.
    """

    address: HttpAddress
    writes_per_s: float
    reads_per_s: float


class VmSettings(NamedTuple):
    """The settings of one process.

    Attributes
    ----------
    name : str
        The VM's name, unique in the deployment.
    ip : str
        The VM's address.
    data_centre : str
        Where it stands.
    caller_address, ready_address, peer_address : HttpAddress
        Where it listens for callers, for the balancer and for other VMs.
    heartbeat_s : float
        The period of the backend servers' heartbeats.
    cpu_cores, memory_mb, link_mbps : float
        What the VM has.
    descriptors : int
        File descriptors of the process.
    bounds : VmBounds
        What the operators hold the system to.
    store : StoreTerms
        The platform's store.
    """

    name: str
    ip: str
    data_centre: str
    caller_address: HttpAddress
    ready_address: HttpAddress
    peer_address: HttpAddress
    heartbeat_s: float
    cpu_cores: float
    memory_mb: float
    descriptors: int
    link_mbps: float
    bounds: VmBounds
    store: StoreTerms
