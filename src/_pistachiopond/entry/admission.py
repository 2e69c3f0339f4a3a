"""Admits requests: finds route and customer, then checks and prepares the body."""

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
from _pistachiopond.entry.headers import CheckedHead, digest_key, remove_known_keys
from _pistachiopond.entry.index import (
    ManifestIndex,
    decide_urgency,
    find_customer,
    find_route,
)
from _pistachiopond.entry.problems import bad_request, unavailable
from _pistachiopond.schema.manifest import Route
from _pistachiopond.schema.verdict import Failure, Verdict

IDEMPOTENCY_HEADER = b"idempotency-key"
NO_CONFIGURATION_RETRY_S = 1.0
KEYS_CLOSED_RETRY_S = 2.0


class AdmittedRequest(NamedTuple):
    """A request with a known route and a valid key, before its body is read.

    Attributes
    ----------
    index : ManifestIndex
        The configuration that it was checked against.
    route : Route
        The route that matches its path.
    customer : str
        The customer's name; empty on an open route, which needs no key.
    digest : str or None
        The digest of the API key; None on an open route.
    head : CheckedHead
        The request line and headers.
    method : str
        The HTTP method.
    """

    index: ManifestIndex
    route: Route
    customer: str
    digest: str | None
    head: CheckedHead
    method: str

    @property
    def engine_path(self) -> str:
        """The path to request at the engine: without the prefix of the route."""
        prefix = self.route.path_prefix.rstrip("/")
        rest = self.head.path.removeprefix(prefix)
        return rest if rest.startswith(ENGINE_PREFIX) else self.head.path


class PreparedRequest(NamedTuple):
    """A request that is ready to be dispatched.

    Attributes
    ----------
    facts : RequestFacts
        What the dispatcher needs to know.
    call : EngineCall or ServiceCall
        What is sent to the backend server.
    request_digest : str
        Digest of the whole request, which reveals that an ``Idempotency-Key`` is
        reused for a different request.
    """

    facts: RequestFacts
    call: EngineCall | ServiceCall
    request_digest: str


def admit(
    state: FleetState, keys_closed: bool, head: CheckedHead, method: str
) -> Result[AdmittedRequest, Failure]:
    """Find the route of a request and check its API key.

    Parameters
    ----------
    state : FleetState
        The current configuration and servers.
    keys_closed : bool
        Whether no key can be verified now.
    head : CheckedHead
        The request line and headers.
    method : str
        The HTTP method in upper case.

    Returns
    -------
    Result
        The admitted request, or a refusal.
    """
    index = state.index
    if index is None:
        return Err(
            unavailable(
                "no_configuration",
                "This daemon has no configuration yet; try again soon.",
                NO_CONFIGURATION_RETRY_S,
            )
        )
    route = find_route(index, head.path)
    if route is None:
        return Err(bad_request("unknown_path", "No route has this path.", 404))
    if route.is_open:
        return Ok(AdmittedRequest(index, route, "", None, head, method))
    if keys_closed:
        return Err(
            unavailable(
                "keys_not_confirmed",
                "This daemon can't tell which keys are in force; try again.",
                KEYS_CLOSED_RETRY_S,
            )
        )
    if head.key is None:
        return Err(_key_failure("key_missing", "Send a key as a bearer token."))
    digest = digest_key(head.key)
    customer = find_customer(index, digest)
    if customer is None:
        return Err(_key_failure("key_unknown", "The key is unknown or withdrawn."))
    return Ok(AdmittedRequest(index, route, customer.name, digest, head, method))


def prepare_request(
    admitted: AdmittedRequest, body: bytes, request_id: str
) -> Result[PreparedRequest, Failure]:
    """Check the body and return the request in the form that is dispatched."""
    if admitted.route.kind == "engine":
        return _prepare_engine_request(admitted, body, request_id)
    return _prepare_service_request(admitted, body, request_id)


def _prepare_engine_request(
    admitted: AdmittedRequest, body: bytes, request_id: str
) -> Result[PreparedRequest, Failure]:
    path = admitted.engine_path
    if path not in (CHAT_PATH, TEXT_PATH):
        return Err(bad_request("unknown_path", "Engines have no such path.", 404))
    if admitted.method != "POST":
        return Err(bad_request("method_not_allowed", "Use POST here.", 405))
    parsed = parse_completion(
        body,
        is_chat=path == CHAT_PATH,
        customer=admitted.customer,
        key=admitted.head.key,
    )
    if parsed.is_err():
        return parsed
    request = parsed.ok()
    named_model = admitted.index.models.get(request.model)
    if named_model is None:
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
        model=named_model.model,
        adapter=named_model.adapter,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        prefix_ids=request.prefix_ids,
        urgency=decide_urgency(
            admitted.index,
            admitted.route,
            admitted.customer,
            request.model,
            admitted.head.path,
        ),
        idempotent=True,
        fingerprint=request.fingerprint,
    )
    return Ok(PreparedRequest(facts, EngineCall(path, request), request.fingerprint))


def _prepare_service_request(
    admitted: AdmittedRequest, body: bytes, request_id: str
) -> Result[PreparedRequest, Failure]:
    head = remove_known_keys(admitted.head, admitted.index.listed_digests)
    if head.key is not None and _contains_key(body, head.key):
        return Err(
            bad_request(
                "key_in_body", "The body holds the key; send it only as a header."
            )
        )
    digest = _digest(
        admitted.customer, admitted.method, head.raw_path, head.query, body
    )
    headers = list(head.headers)
    if head.idempotency_key is not None:
        headers.append((IDEMPOTENCY_HEADER, _scoped_key(admitted).encode()))
    idempotent = admitted.method in admitted.route.idempotent_methods
    call = ServiceCall(
        method=admitted.method,
        raw_path=head.raw_path,
        query=head.query,
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
            admitted.index, admitted.route, admitted.customer, None, head.path
        ),
        idempotent=idempotent,
        fingerprint=digest,
    )
    return Ok(PreparedRequest(facts, call, digest))


def _contains_key(body: bytes, key: str) -> bool:
    if key.encode("utf-8", "surrogateescape") in body:
        return True
    if b"\\u" not in body:
        return False
    # JSON can encode the key with Unicode escapes.
    unescaped = (
        body.decode("utf-8", "replace").encode().decode("unicode_escape", "ignore")
    )
    return contains_text(unescaped, key)


def _scoped_key(admitted: AdmittedRequest) -> str:
    # Two customers that choose the same key must not collide at the service.
    return _digest(
        admitted.customer,
        admitted.route.path_prefix,
        admitted.head.idempotency_key or "",
    )


def _digest(*parts: str | bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        raw = part.encode("utf-8", "surrogateescape") if isinstance(part, str) else part
        digest.update(len(raw).to_bytes(8, "big"))
        digest.update(raw)
    return digest.hexdigest()


def _key_failure(code: str, detail: str) -> Failure:
    return Failure(Verdict.NOT_RUN, code, detail, 401)
