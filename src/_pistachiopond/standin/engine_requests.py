"""HTTP endpoints of an engine for generation requests."""

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
    complete_response,
    digest_body,
    generate,
    plan_generation,
    stream_events,
)
from _pistachiopond.standin.http import (
    NOT_RUN_HEADERS,
    REQUEST_ID_HEADER,
    bad_request,
    error_response,
    json_response,
    parse_body,
)
from _pistachiopond.standin.ledger import RequestEntry, find_tag

RESUME_HEADER: Final = "x-resume-offset"
QUEUE_RETRY_AFTER_S: Final = "1"


@final
class _EventStream(StreamingResponse):
    """A streaming response that stops generating as soon as the connection closes."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        try:
            await super().__call__(scope, receive, send)
        finally:
            events: Any = self.body_iterator
            await events.aclose()


class _Rejection(NamedTuple):
    status: int
    code: str
    message: str


@final
class EngineRequests:
    """Serves the OpenAI API of one engine."""

    def __init__(self, engine: StandinEngine) -> None:
        self._engine = engine

    def routes(self) -> list[Route]:
        """Return the HTTP routes."""
        return [
            Route("/v1/models", self._list_models, methods=["GET"]),
            Route("/v1/chat/completions", self._generate, methods=["POST"]),
            Route("/v1/completions", self._generate, methods=["POST"]),
            Route("/v1/cancel", self._cancel, methods=["POST"]),
            Route("/healthz", self._health, methods=["GET"]),
        ]

    async def _health(self, request: Request) -> Response:
        del request
        return json_response({"leaving": self._engine.leaving})

    async def _list_models(self, request: Request) -> Response:
        del request
        names = self._engine.current.resident_models.served_names()
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "engine"}
            for name in names
        ]
        return json_response({"object": "list", "data": models})

    async def _cancel(self, request: Request) -> Response:
        body = await parse_body(CancelBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        stream = self._engine.current.resumable_streams.pop(
            body.unwrap().request_id, None
        )
        return json_response({"cancelled": stream is not None})

    async def _generate(self, request: Request) -> Response:
        raw_body = await request.body()
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        body = _parse_generate_body(raw_body)
        if body.is_err():
            response = bad_request(body.unwrap_err())
            response.headers[REQUEST_ID_HEADER] = request_id
            return response
        planned = self._admit(request, raw_body, body.unwrap())
        if planned.is_err():
            return _rejection_response(planned.unwrap_err(), request_id)
        generation = planned.unwrap()
        entry = _make_entry(request, self._engine.current.incarnation_id, generation)
        entry = entry._replace(tag=find_tag(raw_body))
        return await self._make_response(request, generation, entry)

    def _admit(
        self, request: Request, raw_body: bytes, body: GenerateBody
    ) -> Result[Generation, _Rejection]:
        current = self._engine.current
        if self._engine.is_rejecting:
            return Err(_Rejection(503, "leaving", "this server is leaving"))
        target = current.resident_models.resolve(body.model)
        if target is None:
            return Err(_Rejection(404, "model_not_found", f"{body.model} is not ready"))
        if current.batcher.is_full():
            return Err(_Rejection(503, "queue_full", "too many requests are waiting"))
        first_index = 0
        if RESUME_HEADER in request.headers:
            resume_offset = self._pop_resume_offset(request, digest_body(raw_body))
            if resume_offset is None:
                return Err(_Rejection(409, "cannot_resume", "not held any more"))
            first_index = resume_offset
        return Ok(
            plan_generation(self._engine, request, raw_body, body, target, first_index)
        )

    def _pop_resume_offset(self, request: Request, content_digest: str) -> int | None:
        offset = request.headers[RESUME_HEADER]
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        stream = self._engine.current.resumable_streams.pop(request_id, None)
        if stream is None or not offset.isdecimal():
            return None
        if stream.content_digest != content_digest:
            return None
        if stream.expires_s <= self._engine.timer.now_s():
            return None
        return int(offset)

    async def _make_response(
        self, request: Request, generation: Generation, entry: RequestEntry
    ) -> Response:
        headers = {REQUEST_ID_HEADER: generation.request_id}
        if generation.first_index:
            headers["x-resumed"] = "true"
        indices = generate(self._engine, generation, entry)
        if generation.body.stream:
            events = stream_events(generation, indices)
            return _EventStream(events, 200, headers, "text/event-stream")
        finished = await _run_until_disconnect(request, indices)
        if not finished:
            return Response(status_code=499, headers=headers)
        body = complete_response(generation)
        return Response(body, 200, headers, media_type="application/json")


async def _run_until_disconnect(request: Request, indices: Any) -> bool:
    """Generate all tokens, or stop when the connection closes.

    Returns whether all tokens were generated.
    """
    finished = False
    async with anyio.create_task_group() as group:

        async def cancel_on_disconnect() -> None:
            while (await request.receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        group.start_soon(cancel_on_disconnect)
        async for _ in indices:
            pass
        finished = True
        group.cancel_scope.cancel()
    if not finished:
        await indices.aclose()
    return finished


def _parse_generate_body(raw_body: bytes) -> Result[GenerateBody, tuple[str, ...]]:
    try:
        parsed_json = json.loads(raw_body)
    except (ValueError, RecursionError) as error:
        return Err((f"not valid JSON: {error}",))
    if not isinstance(parsed_json, dict):
        return Err(("the body must be a JSON object",))
    known = {
        name: parsed_json[name] for name in GenerateBody._fields if name in parsed_json
    }
    parsed = from_plain(GenerateBody, known)
    if parsed.is_ok() and not (
        parsed_json.get("messages") or parsed_json.get("prompt")
    ):
        return Err(("give messages or a prompt",))
    return parsed


def _rejection_response(rejection: _Rejection, request_id: str) -> Response:
    headers = {REQUEST_ID_HEADER: request_id} | NOT_RUN_HEADERS
    if rejection.code == "queue_full":
        headers["retry-after"] = QUEUE_RETRY_AFTER_S
    return error_response(rejection.status, rejection.code, rejection.message, headers)


def _make_entry(
    request: Request, incarnation: str, generation: Generation
) -> RequestEntry:
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
