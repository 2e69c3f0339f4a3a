"""Runs one stand-in: its application behind faults, on one listening socket."""

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
from _pistachiopond.standin.connections import FaultyServer
from _pistachiopond.standin.http import json_answer
from _pistachiopond.standin.ledger import Ledger
from _pistachiopond.standin.middleware import FaultHooks, FaultMiddleware

VIA_PREFIX: Final = "/via/"


class Part(NamedTuple):
    """What a stand-in of one kind brings along.

    Attributes
    ----------
    kind, name : str
        Printed once it is ready.
    routes : list of Route
        Its calls.
    ledger : Ledger or None
        Shown at ``GET /ledger``.
    restart : callable
        Loses what a restart loses.
    leave, refuse_new : callable
        Says that it is leaving; takes no new requests.
    is_leaving : callable
        Whether answers are to say so.
    """

    kind: str
    name: str
    routes: list[Route]
    ledger: Ledger | None = None
    restart: Callable[[], None] = lambda: None
    leave: Callable[[], None] = lambda: None
    refuse_new: Callable[[], None] = lambda: None
    is_leaving: Callable[[], bool] = lambda: False


class Ready(NamedTuple):
    """The line that is printed once connections are accepted."""

    ready: str
    name: str
    address: str


async def serve_part(part: Part, listen_address: str, timer: Timer) -> None:
    """Serve until SIGTERM or SIGINT."""
    async with serving(part, listen_address, timer) as address:
        print(to_json(Ready(part.kind, part.name, address)), flush=True)
        await _wait_for_signal()


@asynccontextmanager
async def serving(
    part: Part, listen_address: str, timer: Timer
) -> AsyncGenerator[str, None]:
    """Serve for as long as the context is entered; gives the bound address."""
    server = FaultyServer(listen_address)
    async with anyio.create_task_group() as group:
        hooks = _make_hooks(part, server, group.start_soon)
        await server.listen(make_app(part, server, timer, hooks))
        try:
            yield server.address
        finally:
            with anyio.CancelScope(shield=True):
                await server.close()
            group.cancel_scope.cancel()


def make_app(
    part: Part, server: FaultyServer, timer: Timer, hooks: FaultHooks
) -> FaultMiddleware:
    """Return the stand-in's application, with faults around it."""
    routes = [Route("/ledger", _ledger_handler(part.ledger), methods=["GET"])]
    inner = _without_via(Starlette(routes=routes + part.routes))
    return FaultMiddleware(_say_leaving(inner, part), server, timer, hooks)


def _make_hooks(
    part: Part, server: FaultyServer, start_soon: Callable[..., None]
) -> FaultHooks:
    async def restart(duration_s: float) -> None:
        part.restart()
        start_soon(server.go_away, duration_s)
        await anyio.lowlevel.checkpoint()

    async def refuse_after(grace_s: float) -> None:
        await anyio.sleep(grace_s)
        part.refuse_new()

    def leave(grace_s: float) -> None:
        part.leave()
        start_soon(refuse_after, grace_s)

    return FaultHooks(restart, leave)


def _ledger_handler(ledger: Ledger | None) -> Callable[[Request], Any]:
    async def handle(request: Request) -> Response:
        del request
        kept = ledger if ledger is not None else Ledger()
        return json_answer(kept.to_plain())

    return handle


def _without_via(inner: Any) -> Any:
    """Drop a leading ``/via/NAME``, by which faults can tell callers apart."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        path = scope["path"]
        if path.startswith(VIA_PREFIX):
            rest = path.removeprefix(VIA_PREFIX).partition("/")[2]
            scope = dict(scope) | {"path": f"/{rest}", "raw_path": f"/{rest}".encode()}
        await inner(scope, receive, send)

    return app


def _say_leaving(inner: Any, part: Part) -> Any:
    async def app(scope: Any, receive: Any, send: Any) -> None:
        async def marked(message: Any) -> None:
            if message["type"] == "http.response.start" and part.is_leaving():
                message["headers"] = [*message["headers"], (b"x-leaving", b"true")]
            await send(message)

        await inner(scope, receive, marked)

    return app


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
