"""Records of the log's streams, as JSON objects that carry their kind."""

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
    """What the ``config`` stream says up to one offset.

    Attributes
    ----------
    covers_offset : int
        The last offset that has been taken into account; -1 for none.
    number : int
        The revision in force; 0 for none.
    publication_id : str
        The publication that brought it.
    manifest : Manifest or None
        None before the first.
    withdrawn_digests : frozenset of str
        Key digests that are refused whatever a manifest lists.
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
        Unique for each attempt to publish; a repeated append keeps it.
    manifest : Manifest
        Names the revision that it replaces.
    """

    publication_id: Annotated[str, Field(min_length=1, max_length=128)]
    manifest: Manifest
    kind: Literal["manifest"] = "manifest"


class WithdrawalRecord(NamedTuple):
    """Keys that stop working, for good."""

    digests: Annotated[tuple[Digest, ...], Field(min_length=1)]
    kind: Literal["withdrawal"] = "withdrawal"


class SnapshotRecord(NamedTuple):
    """The whole state at an offset, for readers that start after retention."""

    state: ConfigState
    kind: Literal["snapshot"] = "snapshot"


ConfigRecord = ManifestRecord | WithdrawalRecord | SnapshotRecord


OrderVerb = Literal["load", "unload", "load_adapter", "unload_adapter"]


class Order(NamedTuple):
    """One change of what a backend server holds.

    Attributes
    ----------
    number : int
        Unique for the incarnation that gives the order.
    server : str
        The backend server's name in the manifest.
    verb : str
        What is to be done.
    model, version : str
        Of the model, or of the adapter's model.
    adapter : str
        Empty unless the verb concerns an adapter.
    memory_mb : int
        Accelerator memory that it takes; 0 for unloading.
    """

    number: Annotated[int, Field(ge=0)]
    server: Name
    verb: OrderVerb
    model: Name
    version: Name
    adapter: str
    memory_mb: Annotated[int, Field(ge=0)]


class Intent(NamedTuple):
    """An order that may be in effect, or in flight.

    Attributes
    ----------
    holder : str
        The incarnation that gives the order.
    address : str
        Where that incarnation answers, so that others can see that it is gone.
    epoch : int
        The claim under which it does; the order's fencing number.
    order : Order
        What it sends.
    """

    holder: Name
    address: str
    epoch: Offset
    order: Order


class ShardState(NamedTuple):
    """What a shard's stream says up to one offset.

    Attributes
    ----------
    covers_offset : int
        The last offset that has been taken into account; -1 for none.
    epoch : int
        The offset of the claim in force; -1 for none.
    authority_offset : int
        The last claim or renewal in force; the next one must name it.
    holder, address : str
        Who claimed, and where it answers by gRPC.
    lease_s : float
        How long the holder keeps the shard after that record.
    is_released : bool
        The holder has given the shard back.
    intents : tuple of Intent
        Those that are not settled, the oldest first.
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
    """Takes a shard over.

    Attributes
    ----------
    holder : str
        The incarnation that claims.
    address : str
        Where it answers by gRPC.
    lease_s : float
        How long it holds without renewal.
    sequence : int
        Unique among the claims and renewals of this incarnation in the stream.
    seen : ShardState
        What the claimer has read; also a snapshot for later readers.
    """

    holder: Name
    address: str
    lease_s: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    sequence: int
    seen: ShardState
    kind: Literal["claim"] = "claim"


class RenewalRecord(NamedTuple):
    """Extends the holder's lease; the fields are those of a claim."""

    holder: Name
    epoch: Offset
    sequence: int
    seen: ShardState
    kind: Literal["renewal"] = "renewal"


class ReleaseRecord(NamedTuple):
    """Gives the shard back before its lease ends."""

    holder: Name
    epoch: Offset
    kind: Literal["release"] = "release"


class IntentRecord(NamedTuple):
    """Announces an order; its memory counts from here on."""

    intent: Intent
    kind: Literal["intent"] = "intent"


class SettlementRecord(NamedTuple):
    """Says that orders are over: none of them is in flight any more.

    Attributes
    ----------
    writer : str
        The incarnation that says so.
    epoch : int
        The claim under which it does; of no account where it is its own orders.
    about : str
        The incarnation that gave the orders.
    numbers : tuple of int
        Its orders.
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
    """Check one record's text.

    Parameters
    ----------
    kinds : mapping of str to type
        The kinds that the stream may hold.
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
