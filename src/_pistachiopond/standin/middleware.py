"""ASGI middleware that injects faults into requests and their responses."""

import os
import time
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final, NamedTuple, final

import anyio

from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.codec import from_json, to_json, to_plain
from _pistachiopond.standin.faults import (
    Fault,
    FaultKind,
    FaultRegistry,
    FaultsBody,
    RequestAttributes,
)
from _pistachiopond.standin.faulty_server import AsgiApp, FaultyServer

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
TriggeredFaults = dict[FaultKind, Fault]

# Tests control and inspect a stand-in through these paths, so no fault affects them.
EXEMPT_PATHS: Final = frozenset({"/faults", "/ledger"})
CRASH_EXIT_CODE: Final = 70
# Longer responses are not recorded, so the fault "crossed" never sends them.
MAX_RECORDED_BYTES: Final = 1_000_000


class FaultHooks(NamedTuple):
    """Functions that apply faults which concern the whole stand-in.

    Attributes
    ----------
    restart : callable
        ``restart(downtime_s)``: loses all state, is unreachable for `downtime_s` and
        then serves again.
    start_leaving : callable
        ``start_leaving(grace_s)``: announces at once that the stand-in is leaving,
        and rejects new requests after `grace_s`.
    """

    restart: Callable[[float], Awaitable[None]]
    start_leaving: Callable[[float], None]


class _ConnectionAbortedError(Exception):
    """Ends the handling of a request whose connection was aborted."""


@final
class FaultMiddleware:
    """An ASGI application that injects faults into the one that it wraps.

    It also serves ``/faults``, where faults are set, listed and removed.
    """

    def __init__(
        self, inner: AsgiApp, server: FaultyServer, timer: Timer, hooks: FaultHooks
    ) -> None:
        self._inner = inner
        self._server = server
        self._timer = timer
        self._hooks = hooks
        self._registry = FaultRegistry()
        self._last_responses: dict[str, list[Message]] = {}

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        if scope["path"] == "/faults":
            await self._serve_faults(scope, receive, send)
            return
        body = await _read_body(receive)
        triggered = self._trigger_faults(scope, body)
        try:
            await self._serve_with_faults(
                scope, lambda: _make_replay(body, receive), send, triggered
            )
        except _ConnectionAbortedError:
            return

    def _trigger_faults(self, scope: Any, body: bytes) -> TriggeredFaults:
        if scope["path"] in EXEMPT_PATHS:
            return {}
        attributes = RequestAttributes(scope["method"], scope["path"], body)
        return self._registry.trigger(attributes, self._timer.now_s())

    async def _serve_with_faults(
        self,
        scope: Any,
        replay: Callable[[], Receive],
        send: Send,
        triggered: TriggeredFaults,
    ) -> None:
        """Serve a request with its faults, in the order in which they take effect.

        For ``crossed``, the request is executed, but the last response recorded for
        the same path is sent instead of its own.
        """
        if "freeze" in triggered:
            time.sleep(triggered["freeze"].delay_s)
        if "delay_before" in triggered:
            await anyio.sleep(triggered["delay_before"].delay_s)
        if "drop_before" in triggered:
            self._abort(scope)
        if "status" in triggered:
            await _send_response(send, triggered["status"].status, "{}")
            return
        if "duplicate" in triggered:
            await self._inner(scope, replay(), _discard)
        if "crossed" in triggered and scope["path"] in self._last_responses:
            await self._inner(scope, replay(), _discard)
            for message in self._last_responses[scope["path"]]:
                await send(dict(message))
            return
        response = _FaultyResponse(scope, send, triggered, self._crash, self._abort)
        await self._inner(scope, replay(), response.send)
        self._record_response(scope["path"], response)
        await response.finish()

    def _record_response(self, path: str, response: "_FaultyResponse") -> None:
        if response.body_bytes <= MAX_RECORDED_BYTES:
            self._last_responses[path] = response.messages

    def _abort(self, scope: Any) -> None:
        connection = self._server.find_connection(tuple(scope["client"]))
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
            self._registry.clear()
            await _send_response(send, 200, "{}")
            return
        if scope["method"] == "GET":
            faults = to_plain(self._registry.list_faults())
            await _send_response(send, 200, to_json({"faults": faults}))
            return
        body = from_json(FaultsBody, await _read_body(receive))
        if body.is_err():
            await _send_response(
                send, 400, to_json({"errors": list(body.unwrap_err())})
            )
            return
        fault_ids = [self._add_fault(fault, scope) for fault in body.unwrap().faults]
        await _send_response(send, 200, to_json({"fault_ids": fault_ids}))

    def _add_fault(self, fault: Fault, scope: Any) -> int:
        if fault.kind == "silent":
            self._server.silence_others(kept_peer=tuple(scope["client"]))
        if fault.kind == "leaving":
            self._hooks.start_leaving(fault.delay_s)
        return self._registry.add(fault, self._timer.now_s())


@final
class _FaultyResponse:
    """Forwards a response and injects the faults that concern responses."""

    def __init__(
        self,
        scope: Any,
        send: Send,
        triggered: TriggeredFaults,
        crash: Callable[[Fault], Awaitable[None]],
        abort: Callable[[Any], None],
    ) -> None:
        self._scope = scope
        self._send = send
        self._triggered = triggered
        self._crash = crash
        self._abort = abort
        self._chunk_count = 0
        self.messages: list[Message] = []
        self.body_bytes = 0

    async def send(self, message: Message) -> None:
        """Forward one ASGI message of the wrapped application's response."""
        self._record_message(message)
        if message["type"] == "http.response.start":
            await self._inject_before_start()
        else:
            await self._inject_before_chunk()
        if "drop_after" not in self._triggered:
            await self._send(message)

    async def finish(self) -> None:
        """Abort the connection if the response is to be lost."""
        if "drop_after" in self._triggered:
            self._abort(self._scope)

    def _record_message(self, message: Message) -> None:
        self.body_bytes += len(message.get("body", b""))
        if self.body_bytes <= MAX_RECORDED_BYTES:
            self.messages.append(dict(message))

    async def _inject_before_start(self) -> None:
        await self._crash_or_cut()
        if "delay_after" in self._triggered:
            await anyio.sleep(self._triggered["delay_after"].delay_s)

    async def _inject_before_chunk(self) -> None:
        await self._crash_or_cut()
        self._chunk_count += 1
        if "slow" in self._triggered:
            await anyio.sleep(self._triggered["slow"].delay_s)

    async def _crash_or_cut(self) -> None:
        crash = self._triggered.get("crash")
        if crash is not None and self._chunk_count >= crash.after_chunks:
            await self._crash(crash)
        cut = self._triggered.get("cut")
        if cut is not None and self._chunk_count >= cut.after_chunks:
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


def _make_replay(body: bytes, receive: Receive) -> Receive:
    """Return an ASGI receive callable that yields the body again, then new messages."""
    progress = {"sent": False}

    async def receive_replayed() -> Message:
        if progress["sent"]:
            return await receive()
        progress["sent"] = True
        return {"type": "http.request", "body": body, "more_body": False}

    return receive_replayed


async def _discard(message: Message) -> None:
    del message


async def _send_response(send: Send, status: int, text: str) -> None:
    headers = [(b"content-type", b"application/json")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": text.encode()})
