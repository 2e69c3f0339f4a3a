"""Commits the faults that strike a request, around any ASGI application."""

import os
import time
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final, NamedTuple, final

import anyio

from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.codec import from_json, to_json, to_plain
from _pistachiopond.standin.connections import AsgiApp, FaultyServer
from _pistachiopond.standin.faults import (
    Fault,
    FaultBook,
    FaultKind,
    FaultOrder,
    RequestShape,
)

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Struck = dict[FaultKind, Fault]

UNTOUCHED_PATHS: Final = frozenset({"/faults", "/ledger"})
CRASH_EXIT_CODE: Final = 70
MAX_KEPT_BYTES: Final = 1_000_000


class FaultHooks(NamedTuple):
    """What a stand-in does itself when a fault concerns more than one request.

    Attributes
    ----------
    restart : callable
        ``restart(duration_s)``: loses everything and comes back.
    leave : callable
        ``leave(grace_s)``: says from now on that it is leaving.
    """

    restart: Callable[[float], Awaitable[None]]
    leave: Callable[[float], None]


class _ConnectionAbortedError(Exception):
    """Ends a request's handler after its connection was aborted."""


@final
class FaultMiddleware:
    """An ASGI application that lets faults strike the one inside it."""

    def __init__(
        self, inner: AsgiApp, server: FaultyServer, timer: Timer, hooks: FaultHooks
    ) -> None:
        self._inner = inner
        self._server = server
        self._timer = timer
        self._hooks = hooks
        self._book = FaultBook()
        self._kept: dict[str, list[Message]] = {}

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        if scope["path"] == "/faults":
            await self._serve_faults(scope, receive, send)
            return
        body = await _read_body(receive)
        struck = self._find_faults(scope, body)
        try:
            await self._serve_struck(
                scope, lambda: _replay(body, receive), send, struck
            )
        except _ConnectionAbortedError:
            return

    def _find_faults(self, scope: Any, body: bytes) -> Struck:
        if scope["path"] in UNTOUCHED_PATHS:
            return {}
        shape = RequestShape(scope["method"], scope["path"], body)
        return self._book.strike(shape, self._timer.now_s())

    async def _serve_struck(
        self, scope: Any, replay: Callable[[], Receive], send: Send, struck: Struck
    ) -> None:
        if "freeze" in struck:
            time.sleep(struck["freeze"].delay_s)
        if "delay_before" in struck:
            await anyio.sleep(struck["delay_before"].delay_s)
        if "drop_before" in struck:
            self._abort(scope)
        if "status" in struck:
            await _answer(send, struck["status"].status, "{}")
            return
        if "duplicate" in struck:
            await self._inner(scope, replay(), _discard)
        if "crossed" in struck and scope["path"] in self._kept:
            await self._inner(scope, replay(), _discard)
            for message in self._kept[scope["path"]]:
                await send(dict(message))
            return
        answer = _Answer(scope, send, struck, self._crash, self._abort)
        await self._inner(scope, replay(), answer.send)
        self._keep(scope["path"], answer)
        await answer.finish()

    def _keep(self, path: str, answer: "_Answer") -> None:
        if answer.kept_bytes <= MAX_KEPT_BYTES:
            self._kept[path] = answer.kept

    def _abort(self, scope: Any) -> None:
        connection = self._server.find(tuple(scope["client"]))
        if connection is not None:
            connection.abort()
        raise _ConnectionAbortedError

    async def _crash(self, fault: Fault) -> None:
        if fault.restart_s is None:
            os._exit(CRASH_EXIT_CODE)
        await self._hooks.restart(fault.restart_s)
        raise _ConnectionAbortedError

    async def _serve_faults(self, scope: Any, receive: Receive, send: Send) -> None:
        if scope["method"] == "DELETE":
            self._book.clear()
            await _answer(send, 200, "{}")
            return
        if scope["method"] == "GET":
            faults = to_plain(self._book.listed())
            await _answer(send, 200, to_json({"faults": faults}))
            return
        order = from_json(FaultOrder, await _read_body(receive))
        if order.is_err():
            await _answer(send, 400, to_json({"errors": list(order.unwrap_err())}))
            return
        numbers = [self._set(fault, scope) for fault in order.unwrap().faults]
        await _answer(send, 200, to_json({"fault_ids": numbers}))

    def _set(self, fault: Fault, scope: Any) -> int:
        if fault.kind == "silent":
            self._server.silence_all(but=tuple(scope["client"]))
        if fault.kind == "leaving":
            self._hooks.leave(fault.delay_s)
        return self._book.add(fault, self._timer.now_s())


@final
class _Answer:
    """Passes an answer on, and commits the faults that concern it."""

    def __init__(
        self,
        scope: Any,
        send: Send,
        struck: Struck,
        crash: Callable[[Fault], Awaitable[None]],
        abort: Callable[[Any], None],
    ) -> None:
        self._scope = scope
        self._send = send
        self._struck = struck
        self._crash = crash
        self._abort = abort
        self._chunks = 0
        self.kept: list[Message] = []
        self.kept_bytes = 0

    async def send(self, message: Message) -> None:
        """Take one message of the application's answer."""
        self._keep(message)
        if message["type"] == "http.response.start":
            await self._before_start()
        else:
            await self._before_chunk()
        if "drop_after" not in self._struck:
            await self._send(message)

    async def finish(self) -> None:
        """Close without an answer, where the answer was to be lost."""
        if "drop_after" in self._struck:
            self._abort(self._scope)

    def _keep(self, message: Message) -> None:
        self.kept_bytes += len(message.get("body", b""))
        if self.kept_bytes <= MAX_KEPT_BYTES:
            self.kept.append(dict(message))

    async def _before_start(self) -> None:
        await self._break_off()
        if "delay_after" in self._struck:
            await anyio.sleep(self._struck["delay_after"].delay_s)

    async def _before_chunk(self) -> None:
        await self._break_off()
        self._chunks += 1
        if "slow" in self._struck:
            await anyio.sleep(self._struck["slow"].delay_s)

    async def _break_off(self) -> None:
        crash = self._struck.get("crash")
        if crash is not None and self._chunks >= crash.after_chunks:
            await self._crash(crash)
        cut = self._struck.get("cut")
        if cut is not None and self._chunks >= cut.after_chunks:
            self._abort(self._scope)


async def _read_body(receive: Receive) -> bytes:
    body = b""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return body
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body


def _replay(body: bytes, receive: Receive) -> Receive:
    """Return a receive call that gives the body first, then what comes after it."""
    state = {"sent": False}

    async def again() -> Message:
        if state["sent"]:
            return await receive()
        state["sent"] = True
        return {"type": "http.request", "body": body, "more_body": False}

    return again


async def _discard(message: Message) -> None:
    del message


async def _answer(send: Send, status: int, text: str) -> None:
    headers = [(b"content-type", b"application/json")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": text.encode()})
