"""Records of the ``calls-{n}`` streams, by which a keyed call runs at most once."""

from typing import Literal, NamedTuple


class CallRecord(NamedTuple):
    """One fact about a keyed call.

    Attributes
    ----------
    kind : {"claim", "finished", "released"}
        A released claim certainly did not run and never will.
    call : str
        Digest of customer, route and idempotency key.
    claim_id : str
        Unique for each attempt to claim.
    request_digest : str
        Of the request's content; on a claim.
    replaces : str
        On a claim: the expired claim that it takes the place of, or empty.
    status, body_base64, content_type, body_kept
        The answer; on a finished call.
    """

    kind: Literal["claim", "finished", "released"]
    call: str
    claim_id: str
    request_digest: str = ""
    replaces: str = ""
    status: int = 0
    body_base64: str = ""
    content_type: str = ""
    body_kept: bool = False


class CallBatch(NamedTuple):
    """What one control daemon appends at once."""

    records: tuple[CallRecord, ...]
