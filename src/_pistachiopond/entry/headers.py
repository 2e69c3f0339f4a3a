"""Validates a request's target and headers, and removes the API key from them.

The key is accepted in ``Authorization: Bearer``, ``X-Api-Key``, ``Api-Key`` and some
query parameters. It is removed everywhere, including any other header or parameter
that repeats it.
"""

import hashlib
from typing import Final, NamedTuple
from urllib.parse import parse_qsl, unquote, urlencode

from result import Err, Ok, Result

from _pistachiopond.entry.problems import bad_request
from _pistachiopond.http1.messages import CONNECTION_HEADERS, RawHeaders
from _pistachiopond.schema.verdict import Failure

SINGLE_VALUE_HEADERS: Final = frozenset(
    {
        b"authorization",
        b"x-api-key",
        b"api-key",
        b"content-length",
        b"content-type",
        b"host",
        b"idempotency-key",
        b"traceparent",
        b"transfer-encoding",
    }
)
KEY_HEADERS: Final = frozenset(
    {b"authorization", b"proxy-authorization", b"x-api-key", b"api-key", b"cookie"}
)
KEY_PARAMETERS: Final = frozenset({"api_key", "apikey", "api-key", "access_token"})
HOP_BY_HOP_HEADERS: Final = CONNECTION_HEADERS | {b"host", b"content-length"}
# Set or interpreted by the daemon itself; not copied between caller and service.
RESERVED_HEADERS: Final = frozenset(
    {
        b"x-request-id",
        b"x-resume-offset",
        b"x-resumed",
        b"x-verdict",
        b"x-leaving",
        b"idempotency-key",
        b"traceparent",
        b"tracestate",
        b"baggage",
    }
)
MAX_IDEMPOTENCY_KEY_CHARS: Final = 256


class CheckedHead(NamedTuple):
    """The checked request line and headers of a request.

    Attributes
    ----------
    path : str
        The percent-decoded path, for matching routes.
    raw_path : str
        The path as received, for forwarding.
    query : str
        The query string without API keys.
    key : str or None
        The caller's API key; must not leave the process.
    headers : list of tuple
        The headers to forward to a plain service, without the key and without
        hop-by-hop headers.
    idempotency_key : str or None
        The caller's ``Idempotency-Key``.
    traceparent : str or None
        The caller's trace context.
    content_length : int or None
        The declared length of the body.
    """

    path: str
    raw_path: str
    query: str
    key: str | None
    headers: RawHeaders
    idempotency_key: str | None
    traceparent: str | None
    content_length: int | None


def digest_key(key: str) -> str:
    """Return the SHA-256 of an API key in hexadecimal, as listed in manifests."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def check_head(
    raw_path: bytes, raw_query: bytes, raw_headers: RawHeaders
) -> Result[CheckedHead, Failure]:
    """Validate the request line and headers, and remove the API key.

    Parameters
    ----------
    raw_path, raw_query : bytes
        The path and query as received.
    raw_headers : list of tuple
        The headers, with names in lower case.

    Returns
    -------
    Result
        The checked head, or a refusal that says what to change.
    """
    duplicate = _find_duplicate(raw_headers)
    if duplicate is not None:
        return Err(
            bad_request(
                "duplicated_header",
                f"The header {duplicate} came more than once; send it once.",
            )
        )
    path = _check_path(raw_path)
    if path.is_err():
        return path
    query = _split_query(raw_query)
    single_values = {
        name: value for name, value in raw_headers if name in SINGLE_VALUE_HEADERS
    }
    keys = _find_keys(single_values, query)
    if len(keys) > 1:
        return Err(
            bad_request(
                "several_keys", "Different keys came in one request; send just one."
            )
        )
    key = next(iter(keys), None)
    if key is not None and key in path.ok():
        return Err(
            bad_request("key_in_path", "The path holds the key; send it as a header.")
        )
    return _assemble(raw_path, path.ok(), query, key, single_values, raw_headers)


def remove_known_keys(head: CheckedHead, listed_digests: frozenset[str]) -> CheckedHead:
    """Remove parameters and headers whose value is any customer's API key.

    Parameters
    ----------
    head : CheckedHead
        A request that may carry a key where none is expected, for example on an
        open route.
    listed_digests : frozenset of str
        The digests of all configured keys, including withdrawn ones.
    """

    def is_key(value: str) -> bool:
        words = {value, *value.split()}
        return any(digest_key(word) in listed_digests for word in words)

    query = parse_qsl(head.query, keep_blank_values=True, errors="surrogateescape")
    remaining = [(name, value) for name, value in query if not is_key(value)]
    headers = [
        (name, value)
        for name, value in head.headers
        if not is_key(value.decode("utf-8", "surrogateescape"))
    ]
    return head._replace(
        query=urlencode(remaining, errors="surrogateescape"), headers=headers
    )


def _assemble(
    raw_path: bytes,
    path: str,
    query: list[tuple[str, str]],
    key: str | None,
    single_values: dict[bytes, bytes],
    raw_headers: RawHeaders,
) -> Result[CheckedHead, Failure]:
    idempotency_key = _text(single_values.get(b"idempotency-key"))
    if idempotency_key is not None and not _is_valid_idempotency_key(
        idempotency_key, key
    ):
        return Err(
            bad_request(
                "bad_idempotency_key",
                "Idempotency-Key must be 1 to 256 printable characters "
                "and not hold the caller's key.",
            )
        )
    return Ok(
        CheckedHead(
            path=path,
            raw_path=raw_path.decode("ascii"),
            query=_clean_query(query, key),
            key=key,
            headers=_clean_headers(raw_headers, key),
            idempotency_key=idempotency_key,
            traceparent=_text(single_values.get(b"traceparent")),
            content_length=_parse_length(single_values.get(b"content-length")),
        )
    )


def _find_duplicate(raw_headers: RawHeaders) -> str | None:
    seen: set[bytes] = set()
    for name, _ in raw_headers:
        if name in SINGLE_VALUE_HEADERS and name in seen:
            return name.decode("ascii")
        seen.add(name)
    return None


def _check_path(raw_path: bytes) -> Result[str, Failure]:
    try:
        path = unquote(raw_path.decode("ascii"), errors="strict")
    except UnicodeDecodeError:
        return Err(bad_request("bad_path", "The path is not valid UTF-8; encode it."))
    segments = path.split("/")
    lowered = raw_path.lower()
    has_encoded_slash = b"%2f" in lowered or b"%5c" in lowered or "\\" in path
    has_dot_segment = "." in segments or ".." in segments
    has_control_character = any(
        ord(letter) < 0x20 or ord(letter) == 0x7F for letter in path
    )
    if (
        has_encoded_slash
        or has_dot_segment
        or has_control_character
        or "//" in path
        or not path.startswith("/")
    ):
        return Err(
            bad_request(
                "bad_path",
                "The path must be absolute, with no dot or empty segments, "
                "backslashes, encoded slashes or control characters.",
            )
        )
    return Ok(path)


def _split_query(raw_query: bytes) -> list[tuple[str, str]]:
    return parse_qsl(
        raw_query.decode("latin-1"), keep_blank_values=True, errors="surrogateescape"
    )


def _find_keys(
    single_values: dict[bytes, bytes], query: list[tuple[str, str]]
) -> dict[str, None]:
    found: dict[str, None] = {}
    scheme, _, token = (_text(single_values.get(b"authorization")) or "").partition(" ")
    if scheme.lower() == "bearer" and token.strip():
        found[token.strip()] = None
    for name in (b"x-api-key", b"api-key"):
        value = (_text(single_values.get(name)) or "").strip()
        if value:
            found[value] = None
    for name, value in query:
        if name.lower() in KEY_PARAMETERS and value:
            found[value] = None
    return found


def _clean_query(query: list[tuple[str, str]], key: str | None) -> str:
    remaining = [
        (name, value)
        for name, value in query
        if name.lower() not in KEY_PARAMETERS
        and (key is None or (key not in value and key not in name))
    ]
    return urlencode(remaining, errors="surrogateescape")


def _clean_headers(raw_headers: RawHeaders, key: str | None) -> RawHeaders:
    connection_headers = _listed_in_connection(raw_headers)
    key_bytes = None if key is None else key.encode("utf-8", "surrogateescape")
    return [
        (name, value)
        for name, value in raw_headers
        if name not in HOP_BY_HOP_HEADERS
        and name not in KEY_HEADERS
        and name not in RESERVED_HEADERS
        and name not in connection_headers
        and (
            key_bytes is None
            or (key_bytes not in value and key_bytes not in percent_decoded(value))
        )
    ]


def percent_decoded(value: bytes) -> bytes:
    """Return a header's value with percent escapes decoded."""
    return unquote(value.decode("latin-1"), encoding="latin-1").encode("latin-1")


def _listed_in_connection(raw_headers: RawHeaders) -> set[bytes]:
    listed: set[bytes] = set()
    for name, value in raw_headers:
        if name == b"connection":
            listed.update(item.strip().lower() for item in value.split(b","))
    return listed


def _is_valid_idempotency_key(idempotency_key: str, key: str | None) -> bool:
    if not 0 < len(idempotency_key) <= MAX_IDEMPOTENCY_KEY_CHARS:
        return False
    return idempotency_key.isprintable() and (key is None or key not in idempotency_key)


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("utf-8", "surrogateescape")


def _parse_length(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None
