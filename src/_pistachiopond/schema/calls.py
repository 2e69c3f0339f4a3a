"""Records of the ``calls-{n}`` streams.

They ensure that a call with an idempotency key runs at most once.
"""

from typing import Literal, NamedTuple


class CallRecord(NamedTuple):
    """One event of a call with an idempotency key.

    Attributes
    ----------
    kind : {"claim", "finished", "released"}
        A released claim did not run and never will.
    call : str
        Digest of customer, route and idempotency key.
    claim_id : str
        Unique for each claim.
    request_digest : str
        Digest of the request's content; set on a claim.
    replaces : str
        On a claim, the expired claim that it replaces; otherwise empty.
    status, body_base64, content_type, body_kept
        The response; set on a finished call.
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
    """The records that one control daemon appends together."""

    records: tuple[CallRecord, ...]
