"""The manifest that operators publish, as typed data.

The field's documentation for operators is in ``docs/manifest.md``.
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
    """An adapter on a model; callers name it as they name a model."""

    name: Name
    memory_mb: PositiveInt


class Model(NamedTuple):
    """A model that must stay reachable.

    Attributes
    ----------
    name : str
        What callers put into the request's ``model`` field.
    version : str
        The version that is to be served.
    memory_mb : int
        Accelerator memory of one replica, weights and working space.
    adapters : tuple of Adapter
        Served on every replica of the model.
    min_replicas : int
        Never fewer than this many replicas where memory allows.
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
        Where it stands.
    region : str
        The region of the data centre.
    rack : str
        Servers of one rack fail together.
    service : str
        Which service it is a worker of.
    accelerators : int
        0 for a plain service.
    memory_mb : int
        Accelerator memory in all.
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
        The longest matching prefix decides.
    service : str
        The service that answers it.
    kind : {"engine", "plain"}
        Whether it speaks the OpenAI interface.
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
        Over all VMs together.
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
    """Which requests are urgent; the first matching rule decides.

    Attributes
    ----------
    urgency : {"urgent", "normal", "batch"}
        What a matching request is.
    customer, model, path_prefix : str or None
        Each that is given must match.
    """

    urgency: Urgency
    customer: Name | None = None
    model: Name | None = None
    path_prefix: str | None = None


class WeightStoreLimits(NamedTuple):
    """What the platform's weight store carries, over all VMs.

    Attributes
    ----------
    loads_per_s : float
        Model loads started per second.
    full_speed_loads : int
        Loads in flight before each slows down.
    full_speed_adapter_loads : int
        Adapter loads in flight before each slows down.
    """

    loads_per_s: Positive = 2.0
    full_speed_loads: PositiveInt = 2
    full_speed_adapter_loads: PositiveInt = 16


class Manifest(NamedTuple):
    """Everything that operators declare.

    Attributes
    ----------
    replaces_revision : int
        The revision that this one replaces; 0 for the first.
    deployment : str
        The name of the deployment.
    objective : str
        Which measure goes first when they conflict.
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
