"""The configuration in force and the backend servers, as the VMs use them."""

from typing import Literal, NamedTuple

from _pistachiopond.http1.messages import HttpAddress

RouteKind = Literal["safe", "unsafe", "stream"]


class WeightedService(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests for a host and a path prefix go.

    Attributes
    ----------
    name, host, path_prefix : str
        The longest prefix of a host that fits decides.
    kind : {"safe", "unsafe", "stream"}
        Only ``safe`` requests may run more than once.
    is_resumable : bool
        Whether a stream that broke off may go on at another server.
    is_open : bool
        Whether requests need no key.
    services : tuple of WeightedService
        At least one.
    max_servers : int
        To how many servers one request may be sent.
    timeout_s : float
        The longest time that a request may take.
    aim_s : float
        The latency objective.
    gap_aim_s : float
        The longest pause in a stream that meets the objective; 0 for others.
    urgency_rank : int
        0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    is_resumable: bool
    is_open: bool
    services: tuple[WeightedService, ...]
    max_servers: int
    timeout_s: float
    aim_s: float
    gap_aim_s: float
    urgency_rank: int


class ModelSpec(NamedTuple):
    """A model that an engine service offers.

    Attributes
    ----------
    name : str
        As requests name it.
    memory_mb : float
        Of its weights.
    load_s, disk_load_s, memory_load_s : float
        Loading from the weight store, the server's disk, the server's memory.
    adapter_count : int
        Its adapters are named a1, a2 and so on.
    adapter_mb : float
        Memory of each.
    """

    name: str
    memory_mb: float
    load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_count: int
    adapter_mb: float


class EngineSpec(NamedTuple):
    """What the servers of an engine service can hold and do.

    Attributes
    ----------
    slots : int
        Requests in one batch.
    memory_mb : float
        For weights and adapters.
    adapter_slots : int
        Adapters at a time.
    loads_per_s : float
        Loads from the weight store over all servers.
    models : dict of str to ModelSpec
        By name.
    """

    slots: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelSpec]


class ServiceSpec(NamedTuple):
    """A service that backend servers run.

    Attributes
    ----------
    name : str
        As routes and servers name it.
    max_connections : int
        That one server accepts from all VMs together.
    engine : EngineSpec or None
        None for plain services.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


class CustomerSpec(NamedTuple):
    """A customer, its rank and its limits.

    Attributes
    ----------
    name : str
        As backend servers see it.
    rank : int or None
        0 is the most urgent; goes before the route's.
    counts_tokens : bool
        Whether the limits count tokens or requests.
    plain_tokens : float
        What a request without a token count costs.
    rate_per_s, burst : float
        0 for no limit.
    """

    name: str
    rank: int | None
    counts_tokens: bool
    plain_tokens: float
    rate_per_s: float
    burst: float


class CallerLimits(NamedTuple):
    """What callers may send, and for how long they may be idle."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class Deployment(NamedTuple):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Grows with each change.
    routes : tuple of Route
        In the order of the configuration.
    services : dict of str to ServiceSpec
        By name.
    customers : dict of str to CustomerSpec
        By name.
    customer_of_key : dict of str to str
        Each key in force.
    limits : CallerLimits
        For all callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    customers: dict[str, CustomerSpec]
    customer_of_key: dict[str, str]
    limits: CallerLimits


class BackendServer(NamedTuple):
    """A backend server as it last described itself.

    Attributes
    ----------
    server_id : str
        Its name in the store.
    started_ms : int
        The Unix time of its start; tells two incarnations of one name apart.
    service : str
        What it runs.
    address : HttpAddress
        Where it answers.
    data_centre : str
        Where it stands.
    slots : int
        Requests that it runs at a time.
    is_leaving : bool
        Whether it takes no new work.
    models : dict of str to tuple of str
        The adapters of each model that it holds.
    models_in_memory, models_on_disk : tuple of str
        Weights that it loads faster.
    """

    server_id: str
    started_ms: int
    service: str
    address: HttpAddress
    data_centre: str
    slots: int
    is_leaving: bool
    models: dict[str, tuple[str, ...]]
    models_in_memory: tuple[str, ...]
    models_on_disk: tuple[str, ...]

    def incarnation(self) -> tuple[str, int]:
        """Return what tells this start of the server from any other."""
        return (self.server_id, self.started_ms)
