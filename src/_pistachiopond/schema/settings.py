"""The settings of each program, read from a JSON file and validated.

Unknown fields are rejected. The settings are documented for operators in
``docs/settings.md``.
"""

from pathlib import Path
from typing import Annotated, NamedTuple, TypeVar

from pydantic import Field
from result import Err, Result

from _pistachiopond.schema.codec import from_json

T = TypeVar("T")
Address = Annotated[str, Field(pattern=r"^[0-9.]+:[0-9]+$|^\[[0-9a-f:]+\]:[0-9]+$")]
Url = Annotated[str, Field(pattern=r"^https?://")]
Seconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]


class TlsFiles(NamedTuple):
    """Certificate files, which are reloaded when they change.

    Attributes
    ----------
    certificate_path, key_path : str
        PEM files with this process's certificate and private key.
    authority_path : str or None
        PEM file of the authority that must have signed the peer's certificate.
    """

    certificate_path: str
    key_path: str
    authority_path: str | None = None


class Observability(NamedTuple):
    """Where metrics and traces go.

    Attributes
    ----------
    metrics_address : str or None
        Address of the Prometheus metrics server; None for no server.
    trace_endpoint : str or None
        Endpoint for OTLP over HTTP; None exports no spans.
    trace_file_path : str or None
        File to which finished spans are written as JSON lines; for tests.
    """

    metrics_address: Address | None = None
    trace_endpoint: Url | None = None
    trace_file_path: str | None = None


class EntrySettings(NamedTuple):
    """The settings of ``pond-entry``.

    Attributes
    ----------
    listen_address : str
        The address that callers connect to.
    data_centre, region : str
        Where this VM runs.
    control_addresses : tuple of str
        Control daemons to use, this VM's own first.
    caller_tls : TlsFiles or None
        Certificates for callers' connections; None for plain HTTP.
    peer_tls : TlsFiles or None
        Mutual TLS between our own processes.
    max_body_bytes : int
        The largest request body that is accepted.
    drain_notice_s : float
        How long it keeps accepting connections after SIGTERM, so that the load balancer
        notices the shutdown.
    drain_limit_s : float
        How long requests may take to finish once `drain_notice_s` has passed.
    record_trace_path : str or None
        File to which a trace of arrivals for ``pond-replay`` is written.
    """

    listen_address: Address
    data_centre: str
    region: str
    control_addresses: Annotated[tuple[Address, ...], Field(min_length=1)]
    caller_tls: TlsFiles | None = None
    peer_tls: TlsFiles | None = None
    max_body_bytes: Annotated[int, Field(gt=0)] = 4_000_000
    drain_notice_s: Seconds = 5.0
    drain_limit_s: Seconds = 120.0
    record_trace_path: str | None = None
    observability: Observability = Observability()


class ControlSettings(NamedTuple):
    """The settings of ``pond-control``.

    Attributes
    ----------
    listen_address : str
        The gRPC address for entry daemons and peers.
    data_centre, region : str
        Where this VM runs.
    log_url, vm_list_url, weight_store_url : str
        URLs of the platform's services.
    peer_addresses : tuple of str
        The first peers to contact; the platform's list of VMs and heartbeats add more.
    peer_tls : TlsFiles or None
        Mutual TLS between our own processes.
    shard_count : int
        The number of shards that customers are split into; the same in all VMs.
    lease_s : float
        The duration of a shard's lease without renewal.
    """

    listen_address: Address
    data_centre: str
    region: str
    log_url: Url
    vm_list_url: Url
    weight_store_url: Url
    peer_addresses: tuple[Address, ...] = ()
    peer_tls: TlsFiles | None = None
    shard_count: Annotated[int, Field(gt=0, le=256)] = 4
    lease_s: Seconds = 10.0
    observability: Observability = Observability()


def read_settings(kind: type[T], path: Path) -> Result[T, tuple[str, ...]]:
    """Read and validate a settings file.

    Parameters
    ----------
    kind : type
        The settings type of the program.
    path : Path
        A JSON file.

    Returns
    -------
    Result
        The settings, or one line for each fault.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        return Err((f"{path}: {error.strerror}; name a readable settings file",))
    return from_json(kind, text)
