"""Records of the log's streams: JSON objects with a ``kind`` field."""

import json
from collections.abc import Mapping
from typing import Annotated, Any, Final, Literal, NamedTuple

from pydantic import Field
from result import Err, Result

from _pistachiopond.schema.codec import from_plain
from _pistachiopond.schema.manifest import Digest, Manifest, Name

Offset = Annotated[int, Field(ge=-1)]
CONFIG_STREAM: Final = "config"


class ConfigState(NamedTuple):
    """The state folded from the ``config`` stream up to one offset.

    Attributes
    ----------
    covers_offset : int
        The last offset that has been applied; -1 for none.
    number : int
        The current revision; 0 for none.
    publication_id : str
        The publication that set the current revision.
    manifest : Manifest or None
        None before the first publication.
    withdrawn_digests : frozenset of str
        Key digests that are refused even if a manifest lists them.
    """

    covers_offset: Offset = -1
    number: Annotated[int, Field(ge=0)] = 0
    publication_id: str = ""
    manifest: Manifest | None = None
    withdrawn_digests: frozenset[Digest] = frozenset()


class ManifestRecord(NamedTuple):
    """An operator's publication.

    Attributes
    ----------
    publication_id : str
        Unique for each publication; a retried append repeats it.
    manifest : Manifest
        The published manifest, which names the revision that it replaces.
    """

    publication_id: Annotated[str, Field(min_length=1, max_length=128)]
    manifest: Manifest
    kind: Literal["manifest"] = "manifest"


class WithdrawalRecord(NamedTuple):
    """Keys that are withdrawn permanently."""

    digests: Annotated[tuple[Digest, ...], Field(min_length=1)]
    kind: Literal["withdrawal"] = "withdrawal"


class SnapshotRecord(NamedTuple):
    """The whole state at an offset, for readers that start after records expired."""

    state: ConfigState
    kind: Literal["snapshot"] = "snapshot"


ConfigRecord = ManifestRecord | WithdrawalRecord | SnapshotRecord


OrderVerb = Literal["load", "unload", "load_adapter", "unload_adapter"]


class Order(NamedTuple):
    """An order to load or unload a model or adapter on a backend server.

    Attributes
    ----------
    number : int
        Unique among the orders of the incarnation that sends it.
    server : str
        The backend server's name in the manifest.
    verb : str
        The operation.
    model, version : str
        The model, or the base model of the adapter.
    adapter : str
        Empty unless the verb concerns an adapter.
    memory_mb : int
        Accelerator memory that loading takes; 0 for unloading.
    """

    number: Annotated[int, Field(ge=0)]
    server: Name
    verb: OrderVerb
    model: Name
    version: Name
    adapter: str
    memory_mb: Annotated[int, Field(ge=0)]


class Intent(NamedTuple):
    """An announced order, which may be in flight or in effect.

    Attributes
    ----------
    holder : str
        The incarnation that sends the order.
    address : str
        The address of that incarnation, by which others can tell whether it has ended.
    epoch : int
        The epoch of the holder's lease; sent as the order's fencing number.
    order : Order
        The announced order.
    """

    holder: Name
    address: str
    epoch: Offset
    order: Order


class ShardState(NamedTuple):
    """The state folded from a shard's stream up to one offset.

    Attributes
    ----------
    covers_offset : int
        The last offset that has been applied; -1 for none.
    epoch : int
        The offset of the current claim; -1 for none.
    authority_offset : int
        The offset of the last valid claim or renewal; the next one must name it.
    holder, address : str
        The incarnation that claimed the shard, and its gRPC address.
    lease_s : float
        The duration of the lease, counted from the record at `authority_offset`.
    is_released : bool
        Whether the holder has released the shard.
    intents : tuple of Intent
        The unsettled intents, oldest first.
    """

    covers_offset: Offset = -1
    epoch: Offset = -1
    authority_offset: Offset = -1
    holder: str = ""
    address: str = ""
    lease_s: float = 0.0
    is_released: bool = False
    intents: tuple[Intent, ...] = ()


class ClaimRecord(NamedTuple):
    """Claims a shard.

    Attributes
    ----------
    holder : str
        The incarnation that claims.
    address : str
        Its gRPC address.
    lease_s : float
        The duration of the lease without renewal.
    sequence : int
        Unique among the claims and renewals of this incarnation in the stream.
    seen : ShardState
        The state that the claimant has read; also a snapshot for later readers.
    """

    holder: Name
    address: str
    lease_s: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    sequence: int
    seen: ShardState
    kind: Literal["claim"] = "claim"


class RenewalRecord(NamedTuple):
    """Extends the holder's lease; the fields have the same meaning as in a claim."""

    holder: Name
    epoch: Offset
    sequence: int
    seen: ShardState
    kind: Literal["renewal"] = "renewal"


class ReleaseRecord(NamedTuple):
    """Releases the shard before its lease ends."""

    holder: Name
    epoch: Offset
    kind: Literal["release"] = "release"


class IntentRecord(NamedTuple):
    """Announces an order, whose memory counts as used from this record on."""

    intent: Intent
    kind: Literal["intent"] = "intent"


class SettlementRecord(NamedTuple):
    """Settles orders: none of them is in flight any more.

    Attributes
    ----------
    writer : str
        The incarnation that appends the record.
    epoch : int
        The epoch of the writer's lease; ignored if the orders are the writer's own.
    about : str
        The incarnation that sent the orders.
    numbers : tuple of int
        The numbers of the settled orders.
    """

    writer: Name
    epoch: Offset
    about: Name
    numbers: tuple[int, ...]
    kind: Literal["settlement"] = "settlement"


ShardRecord = (
    ClaimRecord | RenewalRecord | ReleaseRecord | IntentRecord | SettlementRecord
)

CONFIG_KINDS: Final[Mapping[str, type]] = {
    "manifest": ManifestRecord,
    "withdrawal": WithdrawalRecord,
    "snapshot": SnapshotRecord,
}
SHARD_KINDS: Final[Mapping[str, type]] = {
    "claim": ClaimRecord,
    "renewal": RenewalRecord,
    "release": ReleaseRecord,
    "intent": IntentRecord,
    "settlement": SettlementRecord,
}


def read_record(
    kinds: Mapping[str, type], payload: str
) -> Result[Any, tuple[str, ...]]:
    """Parse and validate a record.

    Parameters
    ----------
    kinds : mapping of str to type
        The kinds of record allowed in the stream.
    payload : str
        The record as it was appended.

    Returns
    -------
    Result
        The typed record, or one line for each fault.
    """
    try:
        plain = json.loads(payload)
    except (ValueError, RecursionError) as error:
        return Err((f"not valid JSON ({error}); correct the text and try again",))
    kind = plain.get("kind") if isinstance(plain, dict) else None
    if not isinstance(kind, str) or kind not in kinds:
        return Err((f"$.kind: expected one of {', '.join(kinds)}; set it",))
    return from_plain(kinds[kind], plain)
