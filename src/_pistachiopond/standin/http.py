"""Helper functions for the HTTP handlers of all stand-ins."""

import json
from typing import Any, Final, TypeVar

from result import Result
from starlette.requests import Request
from starlette.responses import Response

from _pistachiopond.schema.codec import from_json, to_json

T = TypeVar("T")

REQUEST_ID_HEADER: Final = "x-request-id"
VERDICT_HEADER: Final = "x-verdict"
NOT_RUN_HEADERS: Final = {VERDICT_HEADER: "not_run"}


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return typed data as a JSON response."""
    return Response(to_json(value), status, headers, media_type="application/json")


def error_response(
    status: int,
    code: str,
    message: str,
    headers: dict[str, str] | None = None,
    **extra: Any,
) -> Response:
    """Return an error response in the format of the OpenAI API."""
    error = {"message": message, "type": "invalid_request_error", "code": code}
    text = json.dumps({"error": error, **extra})
    return Response(text, status, headers, media_type="application/json")


def bad_request(errors: tuple[str, ...]) -> Response:
    """Return a response with the errors in a request's body, which was not run."""
    return error_response(400, "bad_request", "; ".join(errors), NOT_RUN_HEADERS)


async def parse_body(
    body_type: type[T], request: Request
) -> Result[T, tuple[str, ...]]:
    """Parse a request's JSON body and validate it against a type."""
    return from_json(body_type, await request.body())


def int_query_parameter(request: Request, name: str, default: int) -> int:
    """Return an integer query parameter, or the default if it is not a number."""
    text = request.query_params.get(name, "")
    return int(text) if text.isdecimal() else default
