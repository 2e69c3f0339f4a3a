"""HTTP endpoints of an engine for control daemons: state, orders and caches."""

from typing import Final, final

import anyio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.standin.batcher import ROLE_DECODE_SPEED_FACTORS
from _pistachiopond.standin.engine import StandinEngine
from _pistachiopond.standin.engine_types import (
    AdapterOrderBody,
    CacheBlock,
    ExportBody,
    ImportBody,
    IndexItem,
    ModelOrderBody,
    OrderResponse,
    RoleBody,
)
from _pistachiopond.standin.http import (
    NOT_RUN_HEADERS,
    bad_request,
    error_response,
    int_query_parameter,
    json_response,
    parse_body,
)
from _pistachiopond.standin.orders import ExecuteOrder, Order
from _pistachiopond.standin.prefix_cache import BLOCK_MB

EVENT_POLL_INTERVAL_S: Final = 0.05
STATUS_BY_ORDER_STATE: Final = {
    "running": 202,
    "done": 200,
    "failed": 409,
    "refused": 409,
}


@final
class EngineControl:
    """Serves one engine's state, orders, cache events and cached blocks."""

    def __init__(self, engine: StandinEngine) -> None:
        self._engine = engine

    def routes(self) -> list[Route]:
        """Return the HTTP routes."""
        models = "/v2/repository/models/{name:path}"
        return [
            Route("/state", self._get_state, methods=["GET"]),
            Route("/v2/repository/index", self._list_models, methods=["POST"]),
            Route(f"{models}/load", self._load_model, methods=["POST"]),
            Route(f"{models}/unload", self._unload_model, methods=["POST"]),
            Route("/v1/load_lora_adapter", self._load_adapter, methods=["POST"]),
            Route("/v1/unload_lora_adapter", self._unload_adapter, methods=["POST"]),
            Route("/v2/role", self._change_role, methods=["POST"]),
            Route("/cache/events", self._get_cache_events, methods=["GET"]),
            Route("/kv/export", self._export_blocks, methods=["POST"]),
            Route("/kv/import", self._import_blocks, methods=["POST"]),
        ]

    async def _get_state(self, request: Request) -> Response:
        del request
        return json_response(self._engine.state())

    async def _list_models(self, request: Request) -> Response:
        del request
        models = self._engine.current.resident_models.report()
        return json_response(
            [IndexItem(item.name, item.version, item.state) for item in models]
        )

    async def _load_model(self, request: Request) -> Response:
        return await self._submit_model_order(request, "load_model")

    async def _unload_model(self, request: Request) -> Response:
        return await self._submit_model_order(request, "unload_model")

    async def _submit_model_order(self, request: Request, action: str) -> Response:
        body = await parse_body(ModelOrderBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        name = request.path_params["name"]
        order = Order(action, name, None, body.unwrap().parameters)
        orders = self._engine.current.orders
        execute = orders.load_model if action == "load_model" else orders.unload_model
        return await self._submit(order, lambda: execute(order))

    async def _load_adapter(self, request: Request) -> Response:
        return await self._submit_adapter_order(request, "load_adapter")

    async def _unload_adapter(self, request: Request) -> Response:
        return await self._submit_adapter_order(request, "unload_adapter")

    async def _submit_adapter_order(self, request: Request, action: str) -> Response:
        body = await parse_body(AdapterOrderBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        parsed = body.unwrap()
        order = Order(action, parsed.base_model, parsed.lora_name, parsed.parameters)
        orders = self._engine.current.orders
        execute = (
            orders.load_adapter if action == "load_adapter" else orders.unload_adapter
        )
        return await self._submit(order, lambda: execute(order))

    async def _change_role(self, request: Request) -> Response:
        body = await parse_body(RoleBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        role = body.unwrap().role
        if role not in ROLE_DECODE_SPEED_FACTORS:
            return bad_request((f"$.role: {role} is not a role",))
        batcher = self._engine.current.batcher

        async def set_role() -> str:
            batcher.role = role
            await anyio.lowlevel.checkpoint()
            return ""

        return await self._submit(Order("role", role, None, body.unwrap()[1]), set_role)

    async def _submit(self, order: Order, execute: ExecuteOrder) -> Response:
        submitted = await self._engine.current.orders.submit(
            order, self._engine.task_group, execute
        )
        if submitted.is_err():
            highest = submitted.unwrap_err().highest
            return error_response(
                409,
                "stale_fencing_number",
                f"fencing number {highest} has been seen",
                NOT_RUN_HEADERS,
                highest=highest,
            )
        entry = submitted.unwrap()
        response = OrderResponse(
            entry.fencing_number, entry.order_number, entry.state, entry.detail
        )
        return json_response(response, STATUS_BY_ORDER_STATE[entry.state])

    async def _get_cache_events(self, request: Request) -> Response:
        first_sequence = int_query_parameter(request, "from", 0)
        wait_s = int_query_parameter(request, "wait_ms", 0) / 1000.0
        timer = self._engine.timer
        deadline_s = timer.now_s() + min(wait_s, 30.0)
        cache = self._engine.current.cache
        while True:
            now_s = timer.now_s()
            events = cache.events_from(first_sequence, now_s)
            if events or now_s >= deadline_s:
                break
            await timer.sleep_until(min(deadline_s, now_s + EVENT_POLL_INTERVAL_S))
        event_items = [
            {
                "sequence": event.sequence,
                "kind": event.kind,
                "model": event.model,
                "prefix_id": event.prefix_id,
                "age_ms": (now_s - event.created_s) * 1000.0,
            }
            for event in events
        ]
        next_sequence = events[-1].sequence + 1 if events else first_sequence
        return json_response({"first": 0, "next": next_sequence, "events": event_items})

    async def _export_blocks(self, request: Request) -> Response:
        body = await parse_body(ExportBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        cache = self._engine.current.cache
        found_blocks = [(prefix, cache.model_of(prefix)) for prefix in body.unwrap()[0]]
        blocks = tuple(
            CacheBlock(prefix, model)
            for prefix, model in found_blocks
            if model is not None
        )
        return json_response(ImportBody(blocks, len(blocks) * BLOCK_MB))

    async def _import_blocks(self, request: Request) -> Response:
        body = await parse_body(ImportBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        now_s = self._engine.timer.now_s()
        for block in body.unwrap().blocks:
            self._engine.current.cache.store(block.model, block.prefix_id, now_s)
        return json_response({"imported": len(body.unwrap().blocks)})
