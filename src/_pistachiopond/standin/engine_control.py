"""The engine's calls that control daemons use: state, orders and caches."""

from typing import Final, final

import anyio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.standin.batcher import ROLE_TOKEN_SPEED
from _pistachiopond.standin.engine import StandinEngine
from _pistachiopond.standin.engine_types import (
    AdapterOrderBody,
    CacheBlock,
    ExportBody,
    ImportBody,
    IndexItem,
    ModelOrderBody,
    OrderAnswer,
    RoleBody,
)
from _pistachiopond.standin.http import (
    NOT_RUN,
    bad_request,
    error_answer,
    int_query,
    json_answer,
    read_body,
)
from _pistachiopond.standin.orders import Order, Step
from _pistachiopond.standin.prefix_cache import BLOCK_MB

EVENT_POLL_S: Final = 0.05
HTTP_OF_STATE: Final = {"running": 202, "done": 200, "failed": 409, "refused": 409}


@final
class EngineControl:
    """Serves one engine's state, orders and cache feed."""

    def __init__(self, engine: StandinEngine) -> None:
        self._engine = engine

    def routes(self) -> list[Route]:
        """Return the HTTP routes."""
        models = "/v2/repository/models/{name:path}"
        return [
            Route("/state", self._state, methods=["GET"]),
            Route("/v2/repository/index", self._index, methods=["POST"]),
            Route(f"{models}/load", self._load_model, methods=["POST"]),
            Route(f"{models}/unload", self._unload_model, methods=["POST"]),
            Route("/v1/load_lora_adapter", self._load_adapter, methods=["POST"]),
            Route("/v1/unload_lora_adapter", self._unload_adapter, methods=["POST"]),
            Route("/v2/role", self._role, methods=["POST"]),
            Route("/cache/events", self._events, methods=["GET"]),
            Route("/kv/export", self._export, methods=["POST"]),
            Route("/kv/import", self._import, methods=["POST"]),
        ]

    async def _state(self, request: Request) -> Response:
        del request
        return json_answer(self._engine.state())

    async def _index(self, request: Request) -> Response:
        del request
        models = self._engine.now.residents.report()
        return json_answer(
            [IndexItem(item.name, item.version, item.state) for item in models]
        )

    async def _load_model(self, request: Request) -> Response:
        return await self._model_order(request, "load_model")

    async def _unload_model(self, request: Request) -> Response:
        return await self._model_order(request, "unload_model")

    async def _model_order(self, request: Request, action: str) -> Response:
        body = await read_body(ModelOrderBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        name = request.path_params["name"]
        order = Order(action, name, None, body.unwrap().parameters)
        desk = self._engine.now.orders
        run = desk.load_model if action == "load_model" else desk.unload_model
        return await self._take(order, lambda: run(order))

    async def _load_adapter(self, request: Request) -> Response:
        return await self._adapter_order(request, "load_adapter")

    async def _unload_adapter(self, request: Request) -> Response:
        return await self._adapter_order(request, "unload_adapter")

    async def _adapter_order(self, request: Request, action: str) -> Response:
        body = await read_body(AdapterOrderBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        asked = body.unwrap()
        order = Order(action, asked.base_model, asked.lora_name, asked.parameters)
        desk = self._engine.now.orders
        run = desk.load_adapter if action == "load_adapter" else desk.unload_adapter
        return await self._take(order, lambda: run(order))

    async def _role(self, request: Request) -> Response:
        body = await read_body(RoleBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        role = body.unwrap().role
        if role not in ROLE_TOKEN_SPEED:
            return bad_request((f"$.role: {role} is not a role",))
        batcher = self._engine.now.batcher

        async def change() -> str:
            batcher.role = role
            await anyio.lowlevel.checkpoint()
            return ""

        return await self._take(Order("role", role, None, body.unwrap()[1]), change)

    async def _take(self, order: Order, step: Step) -> Response:
        taken = await self._engine.now.orders.take(order, self._engine.group, step)
        if taken.is_err():
            highest = taken.unwrap_err().highest
            return error_answer(
                409,
                "stale_fencing_number",
                f"fencing number {highest} has been seen",
                NOT_RUN,
                highest=highest,
            )
        entry = taken.unwrap()
        answer = OrderAnswer(
            entry.fencing_number, entry.order_number, entry.state, entry.detail
        )
        return json_answer(answer, HTTP_OF_STATE[entry.state])

    async def _events(self, request: Request) -> Response:
        start = int_query(request, "from", 0)
        wait_s = int_query(request, "wait_ms", 0) / 1000.0
        timer = self._engine.timer
        deadline_s = timer.now_s() + min(wait_s, 30.0)
        cache = self._engine.now.cache
        while True:
            now_s = timer.now_s()
            events = cache.events_from(start, now_s)
            if events or now_s >= deadline_s:
                break
            await timer.sleep_until(min(deadline_s, now_s + EVENT_POLL_S))
        plain = [
            {
                "sequence": event.sequence,
                "kind": event.kind,
                "model": event.model,
                "prefix_id": event.prefix_id,
                "age_ms": (now_s - event.created_s) * 1000.0,
            }
            for event in events
        ]
        next_sequence = events[-1].sequence + 1 if events else start
        return json_answer({"first": 0, "next": next_sequence, "events": plain})

    async def _export(self, request: Request) -> Response:
        body = await read_body(ExportBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        cache = self._engine.now.cache
        found = [(prefix, cache.model_of(prefix)) for prefix in body.unwrap()[0]]
        blocks = tuple(
            CacheBlock(prefix, model) for prefix, model in found if model is not None
        )
        return json_answer(ImportBody(blocks, len(blocks) * BLOCK_MB))

    async def _import(self, request: Request) -> Response:
        body = await read_body(ImportBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        now_s = self._engine.timer.now_s()
        for block in body.unwrap().blocks:
            self._engine.now.cache.store(block.model, block.prefix_id, now_s)
        return json_answer({"imported": len(body.unwrap().blocks)})
