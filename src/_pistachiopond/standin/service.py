"""A stand-in for a plain service that records every execution in a ledger."""

import hashlib
from typing import Final, NamedTuple, final

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.standin.http import (
    NOT_RUN_HEADERS,
    REQUEST_ID_HEADER,
    error_response,
    json_response,
)
from _pistachiopond.standin.ledger import Ledger, RequestEntry, find_tag

METHODS: Final = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
IDEMPOTENCY_HEADER: Final = "idempotency-key"


class ServiceResponse(NamedTuple):
    """Response to an executed request.

    Attributes
    ----------
    run : int
        How often requests with this idempotency key have been executed so far, or
        with this request id if there is no key.
    """

    service: str
    request_id: str
    method: str
    path: str
    run: int
    body_digest: str


@final
class StandinService:
    """A service that executes requests of any path and method."""

    def __init__(self, name: str, incarnation: str, ledger: Ledger) -> None:
        self.name = name
        self.ledger = ledger
        self._is_rejecting = False
        self.incarnation = incarnation
        self.leaving = False

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the service."""
        return [
            Route("/healthz", self._health, methods=["GET"]),
            Route("/{path:path}", self._execute, methods=METHODS),
        ]

    def reject_new_requests(self) -> None:
        """Reject new requests from now on."""
        self._is_rejecting = True

    async def _health(self, request: Request) -> Response:
        del request
        return json_response({"leaving": self.leaving})

    async def _execute(self, request: Request) -> Response:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        headers = {REQUEST_ID_HEADER: request_id}
        if self._is_rejecting:
            headers |= NOT_RUN_HEADERS
            return error_response(503, "leaving", "this server is leaving", headers)
        body = await request.body()
        digest = hashlib.sha256(body).hexdigest()
        key = request.headers.get(IDEMPOTENCY_HEADER)
        run = self.ledger.count_execution(key or request_id)
        tag = find_tag(body, request.url.path.encode())
        entry = _make_entry(request, self.incarnation, request_id, digest, key)
        self.ledger.add(entry._replace(tag=tag))
        response = ServiceResponse(
            self.name, request_id, request.method, request.url.path, run, digest
        )
        return json_response(response, headers=headers)


def _make_entry(
    request: Request, incarnation: str, request_id: str, digest: str, key: str | None
) -> RequestEntry:
    return RequestEntry(
        request_id=request_id,
        incarnation=incarnation,
        method=request.method,
        path=request.url.path,
        query=request.url.query,
        model="",
        content_digest=digest,
        tag="",
        idempotency_key=key,
        headers=tuple(request.headers.items()),
        outcome="finished",
    )
