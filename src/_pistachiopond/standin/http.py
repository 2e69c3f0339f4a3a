"""Small helpers that every stand-in's HTTP handlers share."""

import json
from typing import Any, Final, TypeVar

from result import Result
from starlette.requests import Request
from starlette.responses import Response

from _pistachiopond.schema.codec import from_json, to_json

T = TypeVar("T")

REQUEST_ID_HEADER: Final = "x-request-id"
VERDICT_HEADER: Final = "x-verdict"
NOT_RUN: Final = {VERDICT_HEADER: "not_run"}


def json_answer(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return typed data as a JSON response."""
    return Response(to_json(value), status, headers, media_type="application/json")


def error_answer(
    status: int,
    code: str,
    message: str,
    headers: dict[str, str] | None = None,
    **more: Any,
) -> Response:
    """Return an error in the shape of the OpenAI interface."""
    error = {"message": message, "type": "invalid_request_error", "code": code}
    text = json.dumps({"error": error, **more})
    return Response(text, status, headers, media_type="application/json")


def bad_request(errors: tuple[str, ...]) -> Response:
    """Return what is wrong with a request's body; nothing was run."""
    return error_answer(400, "bad_request", "; ".join(errors), NOT_RUN)


async def read_body(kind: type[T], request: Request) -> Result[T, tuple[str, ...]]:
    """Check a request's body against a type."""
    return from_json(kind, await request.body())


def int_query(request: Request, name: str, default: int) -> int:
    """Return an integer from the query, or the default where it is not one."""
    text = request.query_params.get(name, "")
    return int(text) if text.isdecimal() else default
