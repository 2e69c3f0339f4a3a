"""The settings of each program, read from a JSON file and checked.

Unknown fields are refused. The documentation for operators is in
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
    """Certificate files; they are read again when they change.

    Attributes
    ----------
    certificate_path, key_path : str
        PEM files of this process.
    authority_path : str or None
        PEM file of the authority that the other side must be signed by.
    """

    certificate_path: str
    key_path: str
    authority_path: str | None = None


class Observability(NamedTuple):
    """Where logs, metrics and traces go.

    Attributes
    ----------
    metrics_address : str or None
        Serves the Prometheus text format; None for no metrics server.
    trace_endpoint : str or None
        OTLP over HTTP; None keeps spans in the process only.
    trace_file_path : str or None
        Writes finished spans as JSON lines; for tests.
    """

    metrics_address: Address | None = None
    trace_endpoint: Url | None = None
    trace_file_path: str | None = None


class EntrySettings(NamedTuple):
    """The settings of ``pond-entry``.

    Attributes
    ----------
    listen_address : str
        Where callers connect.
    data_centre, region : str
        Where this VM stands.
    control_addresses : tuple of str
        Control daemons to ask, the one of this VM first.
    caller_tls : TlsFiles or None
        None for plain HTTP.
    peer_tls : TlsFiles or None
        Mutual TLS between our own processes.
    max_body_bytes : int
        Larger requests are refused.
    drain_notice_s : float
        How long it keeps accepting after SIGTERM while the balancer notices.
    drain_limit_s : float
        How long requests may take to finish after that.
    record_trace_path : str or None
        Writes a trace of arrivals for ``pond-replay``.
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
        Where entry daemons and peers connect by gRPC.
    data_centre, region : str
        Where this VM stands.
    log_url, vm_list_url, weight_store_url : str
        The platform's services.
    peer_addresses : tuple of str
        First peers to try; the platform's list and heartbeats add more.
    peer_tls : TlsFiles or None
        Mutual TLS between our own processes.
    shard_count : int
        Customers are split into this many shards; the same in all VMs.
    lease_s : float
        How long a shard's owner holds it without renewal.
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
    """Read and check a settings file.

    Parameters
    ----------
    kind : type
        Which program's settings these are.
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
