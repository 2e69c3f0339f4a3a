"""Decides what a request is: whose, on which route, for which model or service."""

import hashlib
from typing import NamedTuple

from result import Err, Ok, Result

from _pistachiopond.decisions.dispatch_types import RequestFacts
from _pistachiopond.entry.completions import (
    CHAT_PATH,
    ENGINE_PREFIX,
    TEXT_PATH,
    contains_text,
    parse_completion,
)
from _pistachiopond.entry.exchange import EngineCall, ServiceCall
from _pistachiopond.entry.fleet import FleetState
from _pistachiopond.entry.headers import CheckedTarget, digest_key, drop_listed_keys
from _pistachiopond.entry.index import (
    ManifestIndex,
    decide_urgency,
    find_customer,
    find_route,
)
from _pistachiopond.entry.problems import bad_request, not_now
from _pistachiopond.schema.manifest import Route
from _pistachiopond.schema.verdict import Failure, Verdict

IDEMPOTENCY_HEADER = b"idempotency-key"
UNREADY_RETRY_S = 1.0
CLOSED_RETRY_S = 2.0


class Admitted(NamedTuple):
    """A request whose key and route are in order, before its body is read.

    Attributes
    ----------
    index : ManifestIndex
        The configuration that it was checked against.
    route : Route
        Its route.
    customer : str
        Empty on an open route.
    digest : str or None
        Of its key; None on an open route.
    target : CheckedTarget
        Its request line and headers.
    method : str
        Its method.
    """

    index: ManifestIndex
    route: Route
    customer: str
    digest: str | None
    target: CheckedTarget
    method: str

    @property
    def engine_path(self) -> str:
        """The path at the engine: the caller's without the route's own prefix."""
        prefix = self.route.path_prefix.rstrip("/")
        rest = self.target.path.removeprefix(prefix)
        return rest if rest.startswith(ENGINE_PREFIX) else self.target.path


class Work(NamedTuple):
    """What is to be dispatched.

    Attributes
    ----------
    facts : RequestFacts
        For the dispatcher.
    call : EngineCall or ServiceCall
        For the backend server.
    request_digest : str
        Of the whole request, by which a repeated key is recognised as misused.
    """

    facts: RequestFacts
    call: EngineCall | ServiceCall
    request_digest: str


def admit(
    state: FleetState, keys_closed: bool, target: CheckedTarget, method: str
) -> Result[Admitted, Failure]:
    """Find the route and check the key.

    Parameters
    ----------
    state : FleetState
        What is in force.
    keys_closed : bool
        Whether no key can be trusted now.
    target : CheckedTarget
        The request line and headers.
    method : str
        In upper case.

    Returns
    -------
    Result
        The admitted request, or a refusal.
    """
    index = state.index
    if index is None:
        return Err(
            not_now(
                "no_configuration",
                "This daemon has no configuration yet; try again soon.",
                UNREADY_RETRY_S,
            )
        )
    route = find_route(index, target.path)
    if route is None:
        return Err(bad_request("unknown_path", "No route has this path.", 404))
    if route.is_open:
        return Ok(Admitted(index, route, "", None, target, method))
    if keys_closed:
        return Err(
            not_now(
                "keys_not_confirmed",
                "This daemon can't tell which keys are in force; try again.",
                CLOSED_RETRY_S,
            )
        )
    if target.key is None:
        return Err(_refuse_key("key_missing", "Send a key as a bearer token."))
    digest = digest_key(target.key)
    customer = find_customer(index, digest)
    if customer is None:
        return Err(_refuse_key("key_unknown", "The key is unknown or withdrawn."))
    return Ok(Admitted(index, route, customer.name, digest, target, method))


def make_work(
    admitted: Admitted, body: bytes, request_id: str
) -> Result[Work, Failure]:
    """Check the body and work out what is to be dispatched."""
    if admitted.route.kind == "engine":
        return _engine_work(admitted, body, request_id)
    return _service_work(admitted, body, request_id)


def _engine_work(
    admitted: Admitted, body: bytes, request_id: str
) -> Result[Work, Failure]:
    path = admitted.engine_path
    if path not in (CHAT_PATH, TEXT_PATH):
        return Err(bad_request("unknown_path", "Engines have no such path.", 404))
    if admitted.method != "POST":
        return Err(bad_request("method_not_allowed", "Use POST here.", 405))
    parsed = parse_completion(
        body,
        is_chat=path == CHAT_PATH,
        customer=admitted.customer,
        key=admitted.target.key,
    )
    if parsed.is_err():
        return parsed
    request = parsed.ok()
    named = admitted.index.models.get(request.model)
    if named is None:
        return Err(
            bad_request(
                "model_not_found",
                f"There is no model {request.model[:128]!r}; GET /v1/models lists all.",
                404,
            )
        )
    facts = RequestFacts(
        request_id=request_id,
        customer=admitted.customer,
        service=admitted.route.service,
        model=named.model,
        adapter=named.adapter,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        prefix_ids=request.prefix_ids,
        urgency=decide_urgency(
            admitted.index,
            admitted.route,
            admitted.customer,
            request.model,
            admitted.target.path,
        ),
        idempotent=True,
        fingerprint=request.fingerprint,
    )
    return Ok(Work(facts, EngineCall(path, request), request.fingerprint))


def _service_work(
    admitted: Admitted, body: bytes, request_id: str
) -> Result[Work, Failure]:
    target = drop_listed_keys(admitted.target, admitted.index.listed_digests)
    if target.key is not None and _holds_key(body, target.key):
        return Err(
            bad_request(
                "key_in_body", "The body holds the key; send it only as a header."
            )
        )
    digest = _digest(
        admitted.customer, admitted.method, target.raw_path, target.query, body
    )
    headers = list(target.headers)
    if target.idempotency_key is not None:
        headers.append((IDEMPOTENCY_HEADER, _scoped_key(admitted).encode()))
    idempotent = admitted.method in admitted.route.idempotent_methods
    call = ServiceCall(
        method=admitted.method,
        raw_path=target.raw_path,
        query=target.query,
        headers=headers,
        body=body,
        idempotent=idempotent,
    )
    facts = RequestFacts(
        request_id=request_id,
        customer=admitted.customer,
        service=admitted.route.service,
        model=None,
        adapter=None,
        prompt_tokens=0,
        max_tokens=0,
        prefix_ids=(),
        urgency=decide_urgency(
            admitted.index, admitted.route, admitted.customer, None, target.path
        ),
        idempotent=idempotent,
        fingerprint=digest,
    )
    return Ok(Work(facts, call, digest))


def _holds_key(body: bytes, key: str) -> bool:
    if key.encode("utf-8", "surrogateescape") in body:
        return True
    if b"\\u" not in body:
        return False
    # JSON may spell the same text with escapes.
    spelled = (
        body.decode("utf-8", "replace").encode().decode("unicode_escape", "ignore")
    )
    return contains_text(spelled, key)


def _scoped_key(admitted: Admitted) -> str:
    # Two customers that choose the same key must not meet at the service.
    return _digest(
        admitted.customer,
        admitted.route.path_prefix,
        admitted.target.idempotency_key or "",
    )


def _digest(*parts: str | bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        raw = part.encode("utf-8", "surrogateescape") if isinstance(part, str) else part
        digest.update(len(raw).to_bytes(8, "big"))
        digest.update(raw)
    return digest.hexdigest()


def _refuse_key(code: str, detail: str) -> Failure:
    return Failure(Verdict.NOT_RUN, code, detail, 401)
