"""The configuration and the backend servers, in the form that VMs use at run time."""

from typing import Literal, NamedTuple

from _pistachiopond.http1.messages import HttpAddress

RouteKind = Literal["safe", "unsafe", "stream"]
# One start of a backend server: its name and start time, in Unix milliseconds.
Incarnation = tuple[str, int]


class WeightedService(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """The services that handle requests for a host and a path prefix.

    Attributes
    ----------
    name, host, path_prefix : str
        Among the routes of a host, the one with the longest matching prefix is used.
    kind : {"safe", "unsafe", "stream"}
        Only ``safe`` requests may run more than once.
    is_resumable : bool
        Whether an interrupted stream may be resumed on another server.
    is_open : bool
        Whether requests need no key.
    services : tuple of WeightedService
        At least one.
    max_servers : int
        The maximum number of servers to which one request may be sent.
    timeout_s : float
        The time limit for a request.
    latency_objective_s : float
        The latency objective.
    gap_objective_s : float
        The objective for the longest pause in a stream; 0 for other routes.
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
    latency_objective_s: float
    gap_objective_s: float
    urgency_rank: int


class ModelSpec(NamedTuple):
    """A model that an engine service offers.

    Attributes
    ----------
    name : str
        The model name used in requests.
    memory_mb : float
        Memory for the weights.
    load_s, disk_load_s, memory_load_s : float
        Load time from the weight store, from the server's disk and from the server's
        memory.
    adapter_count : int
        Its adapters are named a1, a2 and so on.
    adapter_mb : float
        Memory for each adapter.
    """

    name: str
    memory_mb: float
    load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_count: int
    adapter_mb: float


class EngineSpec(NamedTuple):
    """The capacity of the servers of an engine service.

    Attributes
    ----------
    slots : int
        Maximum number of requests in a batch.
    memory_mb : float
        Accelerator memory for weights and adapters.
    adapter_slots : int
        Maximum number of loaded adapters.
    loads_per_s : float
        Maximum rate of loads from the weight store, over all servers.
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
        The name used in routes and by servers.
    max_connections : int
        Maximum number of connections that one server accepts from all VMs together.
    engine : EngineSpec or None
        None for plain services.
    cold_rate_per_s : float
        The requests per second that a cold server takes from all VMs together; 0 if
        being cold does not matter.
    cold_start_s : float
        For how long a server that has just started is cold, unless it says otherwise.
    hedge_share : float or None
        The share of its requests that may get a second attempt; None if the process's
        setting holds.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    cold_rate_per_s: float = 0.0
    cold_start_s: float = 0.0
    hedge_share: float | None = None


class CustomerSpec(NamedTuple):
    """A customer, its urgency and its limits.

    Attributes
    ----------
    name : str
        The name sent to backend servers.
    rank : int or None
        Urgency rank, 0 being the most urgent; overrides the route's.
    counts_tokens : bool
        Whether the limits count tokens or requests.
    default_tokens : float
        The cost of a request without a token count.
    rate_per_s, burst : float
        0 for no limit.
    """

    name: str
    rank: int | None
    counts_tokens: bool
    default_tokens: float
    rate_per_s: float
    burst: float


class CallerLimits(NamedTuple):
    """Limits on request sizes and on how long a caller's connection may be idle."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class Deployment(NamedTuple):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
        In the order of the configuration.
    services : dict of str to ServiceSpec
        By name.
    customers : dict of str to CustomerSpec
        By name.
    customer_of_key : dict of str to str
        The customer of each valid key.
    limits : CallerLimits
        Limits that apply to all callers.
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
        The server's name in the platform's store.
    started_ms : int
        The Unix time of the server's start; distinguishes restarts under the same name.
    service : str
        The service that it runs.
    address : HttpAddress
        The address that it listens on.
    data_centre : str
        The data centre that it runs in.
    slots : int
        Maximum number of requests that it runs concurrently.
    is_leaving : bool
        Whether it is shutting down and accepts no new work.
    models : dict of str to tuple of str
        The loaded adapters of each loaded model.
    models_in_memory, models_on_disk : tuple of str
        Models whose weights it has in memory or on disk, and so loads faster.
    software_version : str
        The version of the software that it runs, without any order; not that of
        weights or of the configuration. Empty if it states none: such servers count
        as running one and the same version.
    cold_remaining_s : float or None
        How much longer it stays cold, as of the writing of its entry; None if the entry
        does not say. It differs in each entry of a cold server, so `Fleet` keeps the
        end of the cold phase apart and its copies have None.
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
    software_version: str = ""
    cold_remaining_s: float | None = None

    def incarnation(self) -> Incarnation:
        """Return the identifier of this start of the server."""
        return (self.server_id, self.started_ms)
