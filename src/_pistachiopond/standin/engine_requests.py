"""The engine's calls that callers' requests reach."""

import json
from typing import Any, Final, NamedTuple, final

import anyio
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from _pistachiopond.schema.codec import from_plain
from _pistachiopond.standin.engine import StandinEngine
from _pistachiopond.standin.engine_types import CancelBody, GenerateBody
from _pistachiopond.standin.generation import (
    IDEMPOTENCY_HEADER,
    Generation,
    digest_of,
    generate,
    plan_generation,
    stream_events,
    whole_answer,
)
from _pistachiopond.standin.http import (
    NOT_RUN,
    REQUEST_ID_HEADER,
    bad_request,
    error_answer,
    json_answer,
    read_body,
)
from _pistachiopond.standin.ledger import RequestEntry, find_tag

RESUME_HEADER: Final = "x-resume-offset"
QUEUE_RETRY_AFTER_S: Final = "1"


@final
class _EventStream(StreamingResponse):
    """A stream that ends its generation at once when the connection closes."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        try:
            await super().__call__(scope, receive, send)
        finally:
            events: Any = self.body_iterator
            await events.aclose()


class _Refusal(NamedTuple):
    status: int
    code: str
    message: str


@final
class EngineRequests:
    """Serves the OpenAI interface of one engine."""

    def __init__(self, engine: StandinEngine) -> None:
        self._engine = engine

    def routes(self) -> list[Route]:
        """Return the HTTP routes."""
        return [
            Route("/v1/models", self._models, methods=["GET"]),
            Route("/v1/chat/completions", self._generate, methods=["POST"]),
            Route("/v1/completions", self._generate, methods=["POST"]),
            Route("/v1/cancel", self._cancel, methods=["POST"]),
            Route("/healthz", self._health, methods=["GET"]),
        ]

    async def _health(self, request: Request) -> Response:
        del request
        return json_answer({"leaving": self._engine.leaving})

    async def _models(self, request: Request) -> Response:
        del request
        names = self._engine.now.residents.served_names()
        items = [
            {"id": name, "object": "model", "created": 0, "owned_by": "engine"}
            for name in names
        ]
        return json_answer({"object": "list", "data": items})

    async def _cancel(self, request: Request) -> Response:
        body = await read_body(CancelBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        held = self._engine.now.broken.pop(body.unwrap().request_id, None)
        return json_answer({"cancelled": held is not None})

    async def _generate(self, request: Request) -> Response:
        raw_body = await request.body()
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        body = _parse(raw_body)
        if body.is_err():
            answer = bad_request(body.unwrap_err())
            answer.headers[REQUEST_ID_HEADER] = request_id
            return answer
        admitted = self._admit(request, raw_body, body.unwrap())
        if admitted.is_err():
            return _refuse(admitted.unwrap_err(), request_id)
        generation = admitted.unwrap()
        entry = _entry(request, self._engine.now.identity, generation)
        entry = entry._replace(tag=find_tag(raw_body))
        return await self._answer(request, generation, entry)

    def _admit(
        self, request: Request, raw_body: bytes, body: GenerateBody
    ) -> Result[Generation, _Refusal]:
        now = self._engine.now
        if self._engine.refusing:
            return Err(_Refusal(503, "leaving", "this server is leaving"))
        target = now.residents.resolve(body.model)
        if target is None:
            return Err(_Refusal(404, "model_not_found", f"{body.model} is not ready"))
        if now.batcher.is_full():
            return Err(_Refusal(503, "queue_full", "too many requests are waiting"))
        first_index = 0
        if RESUME_HEADER in request.headers:
            resumed = self._resume(request, digest_of(raw_body))
            if resumed is None:
                return Err(_Refusal(409, "cannot_resume", "not held any more"))
            first_index = resumed
        return Ok(
            plan_generation(self._engine, request, raw_body, body, target, first_index)
        )

    def _resume(self, request: Request, content_digest: str) -> int | None:
        offset = request.headers[RESUME_HEADER]
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        held = self._engine.now.broken.pop(request_id, None)
        if held is None or not offset.isdecimal():
            return None
        if held.content_digest != content_digest:
            return None
        if held.expires_s <= self._engine.timer.now_s():
            return None
        return int(offset)

    async def _answer(
        self, request: Request, generation: Generation, entry: RequestEntry
    ) -> Response:
        headers = {REQUEST_ID_HEADER: generation.request_id}
        if generation.first_index:
            headers["x-resumed"] = "true"
        indices = generate(self._engine, generation, entry)
        if generation.body.stream:
            events = stream_events(generation, indices)
            return _EventStream(events, 200, headers, "text/event-stream")
        finished = await _run_unless_left(request, indices)
        if not finished:
            return Response(status_code=499, headers=headers)
        text = whole_answer(generation)
        return Response(text, 200, headers, media_type="application/json")


async def _run_unless_left(request: Request, indices: Any) -> bool:
    """Generate everything, or stop when the connection closes."""
    finished = False
    async with anyio.create_task_group() as group:

        async def watch() -> None:
            while (await request.receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        group.start_soon(watch)
        async for _ in indices:
            pass
        finished = True
        group.cancel_scope.cancel()
    if not finished:
        await indices.aclose()
    return finished


def _parse(raw_body: bytes) -> Result[GenerateBody, tuple[str, ...]]:
    try:
        plain = json.loads(raw_body)
    except (ValueError, RecursionError) as error:
        return Err((f"not valid JSON: {error}",))
    if not isinstance(plain, dict):
        return Err(("the body must be a JSON object",))
    known = {name: plain[name] for name in GenerateBody._fields if name in plain}
    parsed = from_plain(GenerateBody, known)
    if parsed.is_ok() and not (plain.get("messages") or plain.get("prompt")):
        return Err(("give messages or a prompt",))
    return parsed


def _refuse(refusal: _Refusal, request_id: str) -> Response:
    headers = {REQUEST_ID_HEADER: request_id} | NOT_RUN
    if refusal.code == "queue_full":
        headers["retry-after"] = QUEUE_RETRY_AFTER_S
    return error_answer(refusal.status, refusal.code, refusal.message, headers)


def _entry(request: Request, incarnation: str, generation: Generation) -> RequestEntry:
    return RequestEntry(
        request_id=generation.request_id,
        incarnation=incarnation,
        method=request.method,
        path=request.url.path,
        query=request.url.query,
        model=generation.body.model,
        content_digest=generation.content_digest,
        tag="",
        idempotency_key=request.headers.get(IDEMPOTENCY_HEADER),
        headers=tuple(request.headers.items()),
        outcome="started",
    )
