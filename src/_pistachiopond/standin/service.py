"""A stand-in for a plain service, which records every execution."""

import hashlib
from typing import Final, NamedTuple, final

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.standin.http import (
    NOT_RUN,
    REQUEST_ID_HEADER,
    error_answer,
    json_answer,
)
from _pistachiopond.standin.ledger import Ledger, RequestEntry, find_tag

METHODS: Final = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
IDEMPOTENCY_HEADER: Final = "idempotency-key"


class ServiceAnswer(NamedTuple):
    """What the service answers.

    Attributes
    ----------
    run : int
        How often this key, or else this request id, has been executed.
    """

    service: str
    request_id: str
    method: str
    path: str
    run: int
    body_digest: str


@final
class StandinService:
    """A service that answers every path."""

    def __init__(self, name: str, incarnation: str, ledger: Ledger) -> None:
        self.name = name
        self.ledger = ledger
        self._refusing = False
        self.incarnation = incarnation
        self.leaving = False

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the service."""
        return [
            Route("/healthz", self._health, methods=["GET"]),
            Route("/{path:path}", self._run, methods=METHODS),
        ]

    def refuse_new(self) -> None:
        """Take no new requests from now on."""
        self._refusing = True

    async def _health(self, request: Request) -> Response:
        del request
        return json_answer({"leaving": self.leaving})

    async def _run(self, request: Request) -> Response:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        headers = {REQUEST_ID_HEADER: request_id}
        if self._refusing:
            headers |= NOT_RUN
            return error_answer(503, "leaving", "this server is leaving", headers)
        body = await request.body()
        digest = hashlib.sha256(body).hexdigest()
        key = request.headers.get(IDEMPOTENCY_HEADER)
        run = self.ledger.count_run(key or request_id)
        tag = find_tag(body, request.url.path.encode())
        entry = _entry(request, self.incarnation, request_id, digest, key)
        self.ledger.add(entry._replace(tag=tag))
        answer = ServiceAnswer(
            self.name, request_id, request.method, request.url.path, run, digest
        )
        return json_answer(answer, headers=headers)


def _entry(
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
