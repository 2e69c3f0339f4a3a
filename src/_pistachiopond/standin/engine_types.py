"""Bodies of requests to an engine and the shapes of its answers."""

from typing import Annotated, Any, NamedTuple

from pydantic import Field

from _pistachiopond.standin.ledger import OrderEntry
from _pistachiopond.standin.orders import OrderParameters
from _pistachiopond.standin.residents import ModelReport

MAX_TOKENS_LIMIT = 100_000
TokenCount = Annotated[int, Field(gt=0, le=MAX_TOKENS_LIMIT)]


class StreamOptions(NamedTuple):
    """OpenAI's ``stream_options``."""

    include_usage: bool = False


class GenerateBody(NamedTuple):
    """What the engine honours of a request; other fields are dropped before."""

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
    """The body of a model order."""

    parameters: OrderParameters = OrderParameters()


class AdapterOrderBody(NamedTuple):
    """The body of an adapter order."""

    lora_name: str
    base_model: str
    lora_path: str = ""
    parameters: OrderParameters = OrderParameters()


class RoleBody(NamedTuple):
    """The body of an order to change role."""

    role: str
    parameters: OrderParameters = OrderParameters()


class CancelBody(NamedTuple):
    """The body of ``POST /v1/cancel``."""

    request_id: str


class OrderAnswer(NamedTuple):
    """The answer to an order."""

    fencing_number: int
    order_number: int
    state: str
    detail: str


class IndexItem(NamedTuple):
    """One line of the model repository's index."""

    name: str
    version: str
    state: str
    reason: str = ""


class CacheBlock(NamedTuple):
    """One cached block, as exported and imported."""

    prefix_id: str
    model: str


class ExportBody(NamedTuple):
    """The body of ``POST /kv/export``."""

    prefix_ids: tuple[str, ...]


class ImportBody(NamedTuple):
    """The body of ``POST /kv/import`` and the answer to an export."""

    blocks: tuple[CacheBlock, ...]
    size_mb: int = 0


class StateReport(NamedTuple):
    """The answer to ``GET /state``."""

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
    """Return the prompt as one text, which tokens and prefixes are counted on."""
    if body.messages is not None:
        return "".join(
            f"{message.get('role', '')}\n{message.get('content', '')}\n"
            for message in body.messages
        )
    if isinstance(body.prompt, list):
        return "".join(body.prompt)
    return body.prompt or ""
