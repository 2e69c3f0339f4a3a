"""Bodies of requests to an engine and of its responses."""

from typing import Annotated, Any, NamedTuple

from pydantic import Field

from _pistachiopond.standin.ledger import OrderEntry
from _pistachiopond.standin.orders import OrderParameters
from _pistachiopond.standin.resident_models import ModelReport

MAX_TOKENS_LIMIT = 100_000
TokenCount = Annotated[int, Field(gt=0, le=MAX_TOKENS_LIMIT)]


class StreamOptions(NamedTuple):
    """OpenAI's ``stream_options``."""

    include_usage: bool = False


class GenerateBody(NamedTuple):
    """The fields of a generation request that the engine supports.

    Other fields are removed before the body is parsed.
    """

    model: str
    messages: list[dict[str, Any]] | None = None
    prompt: str | list[str] | None = None
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    priority: int = 0
    cache_salt: str = ""


class ModelOrderBody(NamedTuple):
    """Body of an order to load or unload a model."""

    parameters: OrderParameters = OrderParameters()


class AdapterOrderBody(NamedTuple):
    """Body of an order to load or unload an adapter."""

    lora_name: str
    base_model: str
    lora_path: str = ""
    parameters: OrderParameters = OrderParameters()


class RoleBody(NamedTuple):
    """Body of an order to change the engine's role."""

    role: str
    parameters: OrderParameters = OrderParameters()


class CancelBody(NamedTuple):
    """Body of ``POST /v1/cancel``."""

    request_id: str


class OrderResponse(NamedTuple):
    """Response to an order."""

    fencing_number: int
    order_number: int
    state: str
    detail: str


class IndexItem(NamedTuple):
    """One model version in the index of the model repository."""

    name: str
    version: str
    state: str
    reason: str = ""


class CacheBlock(NamedTuple):
    """One block of the prefix cache, as exported and imported."""

    prefix_id: str
    model: str


class ExportBody(NamedTuple):
    """Body of ``POST /kv/export``."""

    prefix_ids: tuple[str, ...]


class ImportBody(NamedTuple):
    """Body of ``POST /kv/import``, and the response to an export."""

    blocks: tuple[CacheBlock, ...]
    size_mb: int = 0


class StateReport(NamedTuple):
    """Response to ``GET /state``."""

    server: str
    incarnation: str
    role: str
    leaving: bool
    checks_fencing: bool
    memory_mb: int
    used_mb: int
    models: tuple[ModelReport, ...]
    running: int
    queued: int
    running_tokens: int
    queued_tokens: int
    load_age_s: float
    highest_fencing_number: int
    orders: tuple[OrderEntry, ...]


def prompt_text(body: GenerateBody) -> str:
    """Return the prompt as one string, from which tokens and prefixes are computed."""
    if body.messages is not None:
        return "".join(
            f"{message.get('role', '')}\n{message.get('content', '')}\n"
            for message in body.messages
        )
    if isinstance(body.prompt, list):
        return "".join(body.prompt)
    return body.prompt or ""
