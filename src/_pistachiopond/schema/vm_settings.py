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
    retry_ratio, retry_reserve : float
        In each of the operators' windows, all VMs together may send a service
        `retry_ratio` retries for each request, and `retry_reserve` more.
    """

    revoke_s: float
    drain_s: float
    stop_grace_s: float
    retry_ratio: float
    retry_reserve: float


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
    cpu_cores, link_mbps : float
        What the VM has.
    bounds : VmBounds
        What the operators hold the system to.
    store_address : HttpAddress
        Where the platform's store answers.
    """

    name: str
    ip: str
    data_centre: str
    caller_address: HttpAddress
    ready_address: HttpAddress
    peer_address: HttpAddress
    heartbeat_s: float
    cpu_cores: float
    link_mbps: float
    bounds: VmBounds
    store_address: HttpAddress
