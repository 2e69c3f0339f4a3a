"""Runs one stand-in: its application with fault injection, on one listening socket."""

import signal
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from typing import Any, Final, NamedTuple

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.codec import to_json
from _pistachiopond.standin.faulty_server import FaultyServer
from _pistachiopond.standin.http import json_response
from _pistachiopond.standin.ledger import Ledger
from _pistachiopond.standin.middleware import FaultHooks, FaultMiddleware

VIA_PREFIX: Final = "/via/"


class StandinDefinition(NamedTuple):
    """The routes and lifecycle functions of one stand-in.

    Attributes
    ----------
    kind, name : str
        Printed once the stand-in is ready.
    routes : list of Route
        Its HTTP routes.
    ledger : Ledger or None
        The ledger that ``GET /ledger`` returns; None for an empty one.
    restart : callable
        Discards all state that a restart loses.
    start_leaving : callable
        Announces that the stand-in is leaving.
    reject_new_requests : callable
        Makes the stand-in reject new requests from now on.
    is_leaving : callable
        Returns whether responses carry the header ``x-leaving``.
    """

    kind: str
    name: str
    routes: list[Route]
    ledger: Ledger | None = None
    restart: Callable[[], None] = lambda: None
    start_leaving: Callable[[], None] = lambda: None
    reject_new_requests: Callable[[], None] = lambda: None
    is_leaving: Callable[[], bool] = lambda: False


class Ready(NamedTuple):
    """The JSON line that is printed once connections are accepted."""

    ready: str
    name: str
    address: str


async def serve_until_signal(
    definition: StandinDefinition, listen_address: str, timer: Timer
) -> None:
    """Serve until SIGTERM or SIGINT."""
    async with run_server(definition, listen_address, timer) as address:
        print(to_json(Ready(definition.kind, definition.name, address)), flush=True)
        await _wait_for_signal()


@asynccontextmanager
async def run_server(
    definition: StandinDefinition, listen_address: str, timer: Timer
) -> AsyncGenerator[str, None]:
    """Serve for as long as the context is entered; yields the bound address."""
    server = FaultyServer(listen_address)
    async with anyio.create_task_group() as group:
        hooks = _make_hooks(definition, server, group.start_soon)
        await server.listen(make_app(definition, server, timer, hooks))
        try:
            yield server.address
        finally:
            with anyio.CancelScope(shield=True):
                await server.close()
            group.cancel_scope.cancel()


def make_app(
    definition: StandinDefinition, server: FaultyServer, timer: Timer, hooks: FaultHooks
) -> FaultMiddleware:
    """Return the stand-in's application, wrapped in the fault middleware."""
    routes = [Route("/ledger", _ledger_handler(definition.ledger), methods=["GET"])]
    inner = _strip_via_prefix(Starlette(routes=routes + definition.routes))
    return FaultMiddleware(_add_leaving_header(inner, definition), server, timer, hooks)


def _make_hooks(
    definition: StandinDefinition, server: FaultyServer, start_soon: Callable[..., None]
) -> FaultHooks:
    async def restart(downtime_s: float) -> None:
        definition.restart()
        start_soon(server.restart, downtime_s)
        await anyio.lowlevel.checkpoint()

    async def reject_after_grace_period(grace_s: float) -> None:
        await anyio.sleep(grace_s)
        definition.reject_new_requests()

    def start_leaving(grace_s: float) -> None:
        definition.start_leaving()
        start_soon(reject_after_grace_period, grace_s)

    return FaultHooks(restart, start_leaving)


def _ledger_handler(ledger: Ledger | None) -> Callable[[Request], Any]:
    async def handle(request: Request) -> Response:
        del request
        shown_ledger = ledger if ledger is not None else Ledger()
        return json_response(shown_ledger.to_plain())

    return handle


def _strip_via_prefix(inner: Any) -> Any:
    """Return an application that strips a leading ``/via/NAME`` from the path.

    Clients that use different names can be given different faults, because faults
    are matched against the path before it is stripped.
    """

    async def app(scope: Any, receive: Any, send: Any) -> None:
        path = scope["path"]
        if path.startswith(VIA_PREFIX):
            remaining_path = path.removeprefix(VIA_PREFIX).partition("/")[2]
            scope = dict(scope) | {
                "path": f"/{remaining_path}",
                "raw_path": f"/{remaining_path}".encode(),
            }
        await inner(scope, receive, send)

    return app


def _add_leaving_header(inner: Any, definition: StandinDefinition) -> Any:
    async def app(scope: Any, receive: Any, send: Any) -> None:
        async def send_with_header(message: Any) -> None:
            if message["type"] == "http.response.start" and definition.is_leaving():
                message["headers"] = [*message["headers"], (b"x-leaving", b"true")]
            await send(message)

        await inner(scope, receive, send_with_header)

    return app


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
