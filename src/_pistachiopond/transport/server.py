"""gRPC servers of pistachiopond's processes, with mutual TLS and keep-alive."""

from typing import Final

import grpc
import grpc.aio

from _pistachiopond.schema.settings import TlsFiles
from _pistachiopond.transport.channels import (
    KEEPALIVE_TIME_MS,
    KEEPALIVE_TIMEOUT_MS,
    MAX_MESSAGE_BYTES,
)
from _pistachiopond.transport.tls import TlsMaterial, TlsReader

SERVER_OPTIONS: Final = (
    ("grpc.keepalive_time_ms", KEEPALIVE_TIME_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", KEEPALIVE_TIME_MS // 2),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
)


class BindError(OSError):
    """The listen address is not available; free it or change the settings."""


def make_server() -> grpc.aio.Server:
    """Return a server without services and ports."""
    return grpc.aio.server(options=SERVER_OPTIONS)


def bind_server(server: grpc.aio.Server, address: str, tls: TlsFiles | None) -> int:
    """Listen on `address`.

    Parameters
    ----------
    server : grpc.aio.Server
        A server that has not been started.
    address : str
        ``IP:port``; port 0 selects a free port.
    tls : TlsFiles or None
        If set, clients must present a certificate of the same authority, and changed
        files are used for new connections.

    Returns
    -------
    int
        The port that the server listens on.

    Raises
    ------
    BindError
        If the address is not available.
    """
    try:
        if tls is None:
            port = server.add_insecure_port(address)
        else:
            port = server.add_secure_port(address, _server_credentials(tls))
    except RuntimeError as error:
        raise BindError(f"cannot listen on {address}: {error}") from error
    if port == 0:
        raise BindError(f"cannot listen on {address}; free it or change the settings")
    return port


def _server_credentials(tls: TlsFiles) -> grpc.ServerCredentials:
    if tls.authority_path is None:
        raise ValueError("peer_tls needs authority_path; name the authority's file")
    reader = TlsReader(tls)

    def fetch() -> grpc.ServerCertificateConfiguration | None:
        if not reader.refresh():
            return None
        return _configuration(reader.material)

    return grpc.dynamic_ssl_server_credentials(
        _configuration(reader.material), fetch, require_client_authentication=True
    )


def _configuration(material: TlsMaterial) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(material.key, material.certificate)], root_certificates=material.authority
    )
