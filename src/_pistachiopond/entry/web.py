"""Serves callers over HTTP with hypercorn and starlette, with graceful shutdown."""

import socket
import ssl
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import anyio
from anyio.abc import TaskStatus
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from _pistachiopond.entry.handler import HandlerDependencies, handle_request
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.settings import EntrySettings, TlsFiles
from _pistachiopond.transport.tls import TlsReader

KEEP_ALIVE_TIMEOUT_S: Final = 75.0
BACKLOG: Final = 1024
TLS_REFRESH_S: Final = 5.0
HANDSHAKE_TIMEOUT_S: Final = 10.0
TCP_USER_TIMEOUT_MS: Final = 20_000
KEEPALIVE_IDLE_S: Final = 10
KEEPALIVE_INTERVAL_S: Final = 5
KEEPALIVE_PROBES: Final = 3


class Readiness(NamedTuple):
    """Whether the load balancer should send requests here.

    Attributes
    ----------
    is_ready : callable
        Returns False before the first view and once shutdown has started.
    """

    is_ready: Callable[[], bool]


class CallerConfig(Config):
    """Hypercorn's configuration, with reloadable TLS certificates."""

    tls: TlsFiles | None = None
    context: ssl.SSLContext | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Whether callers connect with TLS."""
        return self.tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the TLS context, which `reload` modifies in place."""
        if self.tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(self.alpn_protocols)
        if self.tls.authority_path is not None:
            context.load_verify_locations(self.tls.authority_path)
            context.verify_mode = ssl.CERT_REQUIRED
        self.context = context
        self.reload()
        return context

    def reload(self) -> None:
        """Reload the certificate files; new connections use them."""
        if self.context is not None and self.tls is not None:
            self.context.load_cert_chain(self.tls.certificate_path, self.tls.key_path)


def make_app(deps: HandlerDependencies, readiness: Readiness) -> Starlette:
    """Return the web application: health checks, and the handler for other paths."""

    async def live(request: Request) -> JSONResponse:
        return JSONResponse({"live": True})

    async def ready(request: Request) -> JSONResponse:
        is_ready = readiness.is_ready()
        return JSONResponse({"ready": is_ready}, 200 if is_ready else 503)

    async def handle(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await handle_request(deps, scope, receive, send)

    app = Starlette(
        routes=[Route("/healthz/live", live), Route("/healthz/ready", ready)]
    )
    app.router.default = handle
    return app


def listen(address: str) -> socket.socket:
    """Return a listening socket whose connections detect dead peers.

    Accepted connections inherit its options: the kernel sends keep-alive probes to
    an idle peer, and drops a peer that does not acknowledge written data.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    listener.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    listener.bind((host, int(port)))
    # Callers may connect as soon as the address is known, before it is served.
    listener.listen(BACKLOG)
    return listener


def make_config(settings: EntrySettings, listener: socket.socket) -> CallerConfig:
    """Return hypercorn's configuration, which takes ownership of the listener."""
    config = CallerConfig()
    config.tls = settings.caller_tls
    config.bind = [f"fd://{listener.detach()}"]
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = 1_000_000
    config.graceful_timeout = settings.drain_limit_s
    config.ssl_handshake_timeout = HANDSHAKE_TIMEOUT_S
    config.alpn_protocols = ["http/1.1"]
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    return config


class WebDependencies(NamedTuple):
    """The dependencies of the web service.

    Attributes
    ----------
    settings : EntrySettings
        The settings of the process.
    timer : Timer
        The clock for certificate checks.
    make_handler : callable
        Called with the kernel and a callable that returns whether connections are
        to be closed; returns the handler's dependencies.
    on_listening : callable
        Called with ``IP:port`` once callers can connect.
    """

    settings: EntrySettings
    timer: Timer
    make_handler: Callable[[Kernel, Callable[[], bool]], HandlerDependencies]
    on_listening: Callable[[str], None]


def make_web_service(deps: WebDependencies) -> Service:
    """Return the service ``web``, which must be the last to start."""

    async def run(kernel: Kernel, task_status: TaskStatus[None]) -> None:
        settings = deps.settings
        stop = kernel.stop_event("web")
        handler = deps.make_handler(kernel, stop.is_set)
        fleet = handler.fleet
        readiness = Readiness(
            lambda: fleet.state.index is not None and not stop.is_set()
        )
        listener = listen(settings.listen_address)
        host, port = listener.getsockname()[:2]
        config = make_config(settings, listener)

        async def wait_for_shutdown() -> None:
            await stop.wait()
            log_change("draining", notice_s=settings.drain_notice_s)
            await anyio.sleep(settings.drain_notice_s)

        async with anyio.create_task_group() as group:
            if settings.caller_tls is not None:
                reload = _make_reload(config, settings.caller_tls)
                group.start_soon(every, deps.timer, TLS_REFRESH_S, reload)
            deps.on_listening(f"{host}:{port}")
            task_status.started(None)
            await serve(
                make_app(handler, readiness), config, shutdown_trigger=wait_for_shutdown
            )
            log_change("drained", open_requests=len(handler.active))
            group.cancel_scope.cancel()

    return Service("web", run)


def _make_reload(config: CallerConfig, tls: TlsFiles) -> Callable[[float], Any]:
    reader = TlsReader(tls)

    async def reload(now_s: float) -> None:
        if reader.refresh():
            config.reload()
            log_change("TLS certificates of the callers' side reloaded")

    return reload
