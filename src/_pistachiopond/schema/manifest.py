"""The manifest that operators publish, as typed data.

The fields are documented for operators in ``docs/manifest.md``.
"""

from typing import Annotated, Literal, NamedTuple

from pydantic import Field

Name = Annotated[
    str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/-]*$")
]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
PositiveInt = Annotated[int, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Urgency = Literal["urgent", "normal", "batch"]
Objective = Literal["worst_served_customer", "attainment_per_accelerator"]


class Adapter(NamedTuple):
    """An adapter of a model; callers request it by name, as they do a model."""

    name: Name
    memory_mb: PositiveInt


class Model(NamedTuple):
    """A model that must stay reachable.

    Attributes
    ----------
    name : str
        The value of the ``model`` field in callers' requests.
    version : str
        The version to serve.
    memory_mb : int
        Accelerator memory of one replica: weights and working space.
    adapters : tuple of Adapter
        Adapters to load on every replica of the model.
    min_replicas : int
        The minimum number of replicas, if memory allows.
    """

    name: Name
    version: Name
    memory_mb: PositiveInt
    adapters: tuple[Adapter, ...] = ()
    min_replicas: PositiveInt = 1


class BackendServer(NamedTuple):
    """A backend server that runs a model engine or a plain service.

    Attributes
    ----------
    name : str
        Unique in the manifest.
    url : str
        Base address by IP number, such as ``http://10.0.0.7:8000``.
    data_centre : str
        The data centre that it runs in.
    region : str
        The region of the data centre.
    rack : str
        Servers of one rack fail together.
    service : str
        The service of which it is a worker.
    accelerators : int
        0 for a plain service.
    memory_mb : int
        Total accelerator memory.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    """

    name: Name
    url: Annotated[str, Field(pattern=r"^https?://[0-9.\[\]:a-f]+(:[0-9]+)?$")]
    data_centre: Name
    region: Name
    rack: Name
    service: Name
    accelerators: Annotated[int, Field(ge=0)] = 0
    memory_mb: Annotated[int, Field(ge=0)] = 0
    checks_fencing: bool = False


class Route(NamedTuple):
    """A path prefix that callers may use.

    Attributes
    ----------
    path_prefix : str
        The route with the longest matching prefix is used.
    service : str
        The service that handles its requests.
    kind : {"engine", "plain"}
        ``engine`` for services with the OpenAI API.
    is_open : bool
        True when no key is needed.
    idempotent_methods : tuple of str
        Methods whose calls may be repeated; for ``plain`` routes.
    urgency : {"urgent", "normal", "batch"}
        Used where no urgency rule matches.
    """

    path_prefix: Annotated[str, Field(pattern=r"^/")]
    service: Name
    kind: Literal["engine", "plain"]
    is_open: bool = False
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    urgency: Urgency = "normal"


class Customer(NamedTuple):
    """A customer, its limits and its keys.

    Attributes
    ----------
    name : str
        Unique in the manifest.
    rate_tokens_per_s : float
        The limit over all VMs together.
    burst_tokens : float
        Over all VMs together; one request may use at most 0.8 of it.
    weight : float
        Share under contention, relative to other customers.
    key_digests : tuple of str
        SHA-256 of each key, in hexadecimal; never the key itself.
    """

    name: Name
    rate_tokens_per_s: Positive
    burst_tokens: Positive
    weight: Positive = 1.0
    key_digests: tuple[Digest, ...] = ()


class UrgencyRule(NamedTuple):
    """Sets the urgency of matching requests; the first matching rule applies.

    Attributes
    ----------
    urgency : {"urgent", "normal", "batch"}
        The urgency of a matching request.
    customer, model, path_prefix : str or None
        Each condition that is given must match.
    """

    urgency: Urgency
    customer: Name | None = None
    model: Name | None = None
    path_prefix: str | None = None


class WeightStoreLimits(NamedTuple):
    """The capacity of the platform's weight store, over all VMs.

    Attributes
    ----------
    loads_per_s : float
        Maximum rate at which model loads may start.
    full_speed_loads : int
        Concurrent model loads beyond which each load slows down.
    full_speed_adapter_loads : int
        Concurrent adapter loads beyond which each load slows down.
    """

    loads_per_s: Positive = 2.0
    full_speed_loads: PositiveInt = 2
    full_speed_adapter_loads: PositiveInt = 16


class Manifest(NamedTuple):
    """The whole configuration that operators publish.

    Attributes
    ----------
    replaces_revision : int
        The revision that this one replaces; 0 for the first.
    deployment : str
        The name of the deployment.
    objective : str
        The measure to optimize first when measures conflict.
    """

    replaces_revision: Annotated[int, Field(ge=0)]
    deployment: Name
    objective: Objective
    models: tuple[Model, ...]
    backend_servers: tuple[BackendServer, ...]
    routes: tuple[Route, ...]
    customers: tuple[Customer, ...]
    urgency_rules: tuple[UrgencyRule, ...] = ()
    weight_store: WeightStoreLimits = WeightStoreLimits()
