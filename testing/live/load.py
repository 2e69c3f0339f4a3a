"""Load generator that records each request and its response.

Every request contains a unique tag, by which its response is compared with the
executions in the backend servers' ledgers.
"""

import itertools
import json
import time
from collections.abc import Callable
from typing import Any, Final, Literal, NamedTuple, final

import anyio
import httpx

from _pistachiopond.schema.manifest import Manifest
from _pistachiopond.standin.engine_types import GenerateBody, prompt_text
from _pistachiopond.standin.generated_text import (
    count_prompt_tokens,
    generate_text,
    seed_of,
)

REQUEST_TIMEOUT_S: Final = 60.0
Kind = Literal["stream", "plain", "booking"]
End = Literal["whole", "refused", "broken", "wrong"]


class Caller(NamedTuple):
    """Traffic that one customer sends.

    Attributes
    ----------
    customer, key : str
        Name and API key of the customer.
    requests_per_s : float
        Fixed request rate, independent of the responses (open loop).
    kinds : tuple of str
        Kinds of request, used in turn.
    max_tokens : int
        Number of tokens that each generation asks for.
    models : tuple of str
        Models that the requests name, used in turn.
    """

    customer: str
    key: str
    requests_per_s: float
    kinds: tuple[Kind, ...]
    max_tokens: int
    models: tuple[str, ...]


class RequestResult(NamedTuple):
    """One request and its result, as the caller observed it.

    Attributes
    ----------
    tag : str
        Unique text in the request body, which the backend servers log.
    url : str
        Base URL of the VM that the request was sent to.
    started_s : float
        When the request was sent, on the monotonic clock.
    end : str
        ``whole``: complete response to this request. ``refused``: problem details
        with a verdict. ``broken``: lost connection, or a response without an end
        marker. ``wrong``: a complete response with unexpected content.
    status : int
        HTTP status; 0 without a response.
    code, verdict : str
        From the problem details; empty for other responses.
    tokens, prompt_tokens : int
        Generated tokens that the caller received, and tokens of the prompt (counted
        for streams only).
    first_s, last_s : float
        When the first token arrived (0 if unknown) and when the request ended, on
        the monotonic clock.
    """

    tag: str
    customer: str
    kind: Kind
    url: str
    started_s: float
    end: End
    status: int = 0
    code: str = ""
    verdict: str = ""
    tokens: int = 0
    first_s: float = 0.0
    last_s: float = 0.0
    detail: str = ""
    prompt_tokens: int = 0


class Outcome(NamedTuple):
    """Result of a request without the request's own data (see `RequestResult`)."""

    end: End
    status: int = 0
    code: str = ""
    verdict: str = ""
    tokens: int = 0
    first_s: float = 0.0
    detail: str = ""
    prompt_tokens: int = 0


@final
class LoadGenerator:
    """Sends requests to the VMs in turn, as a load balancer would."""

    def __init__(self, manifest: Manifest, urls: Callable[[], tuple[str, ...]]) -> None:
        self._versions_by_name = _versions_by_name(manifest)
        self._booking_path = _booking_path(manifest)
        self._urls = urls
        self._counter = itertools.count()
        self._run_id = f"{time.time_ns():x}"
        self.results: list[RequestResult] = []
        self.stop_requested = anyio.Event()

    async def run(self, callers: tuple[Caller, ...], duration_s: float) -> None:
        """Send requests for a time and return when all of them have ended."""
        async with anyio.create_task_group() as group:
            for caller in callers:
                group.start_soon(self._run_caller, caller, duration_s)

    async def _run_caller(self, caller: Caller, duration_s: float) -> None:
        started_s = time.monotonic()
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=50)
        headers = {"authorization": f"Bearer {caller.key}"}
        async with (
            httpx.AsyncClient(
                headers=headers, timeout=REQUEST_TIMEOUT_S, limits=limits
            ) as http,
            anyio.create_task_group() as group,
        ):
            for number in itertools.count():
                due_s = started_s + number / caller.requests_per_s
                if due_s - started_s >= duration_s or self.stop_requested.is_set():
                    return
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                group.start_soon(self.send, http, caller, number)

    async def send(
        self, http: httpx.AsyncClient, caller: Caller, number: int
    ) -> RequestResult:
        """Send one request and record its result."""
        tag = f"{self._run_id}-{caller.customer}-{next(self._counter)}"
        kind = caller.kinds[number % len(caller.kinds)]
        model = caller.models[number % len(caller.models)]
        # The counter also numbers the tags, so that with an even number of VMs every
        # second VM gets no request.
        urls = self._urls()
        url = urls[next(self._counter) % len(urls)]
        started_s = time.monotonic()
        try:
            if kind == "booking":
                outcome = await self._book(http, url, tag)
            else:
                outcome = await self._generate(http, url, tag, kind, model, caller)
        except httpx.HTTPError as error:
            outcome = Outcome("broken", detail=f"{type(error).__name__}: {error}")
        result = RequestResult(
            tag,
            caller.customer,
            kind,
            url,
            started_s,
            outcome.end,
            outcome.status,
            outcome.code,
            outcome.verdict,
            outcome.tokens,
            outcome.first_s,
            time.monotonic(),
            outcome.detail,
            outcome.prompt_tokens,
        )
        self.results.append(result)
        return result

    async def _book(self, http: httpx.AsyncClient, url: str, tag: str) -> Outcome:
        body = {"note": f"[[tag={tag}]]"}
        response = await http.post(f"{url}{self._booking_path}{tag}", json=body)
        if response.status_code != 200:
            return _parse_problem(response.status_code, response.text)
        is_own = response.json().get("path", "").endswith(tag)
        return Outcome("whole" if is_own else "wrong", 200, detail=response.text)

    async def _generate(
        self,
        http: httpx.AsyncClient,
        url: str,
        tag: str,
        kind: Kind,
        model: str,
        caller: Caller,
    ) -> Outcome:
        messages = [{"role": "user", "content": f"[[tag={tag}]] Summarise this."}]
        body = {
            "model": model,
            "messages": messages,
            "max_tokens": caller.max_tokens,
            "stream": kind == "stream",
        }
        prompt = prompt_text(GenerateBody(model, messages))
        expected = tuple(
            generate_text(seed_of(model, version, prompt), caller.max_tokens)
            for version in self._versions_by_name[model]
        )
        path = f"{url}/v1/chat/completions"
        if kind == "plain":
            response = await http.post(path, json=body)
            if response.status_code != 200:
                return _parse_problem(response.status_code, response.text)
            text = response.json()["choices"][0]["message"]["content"]
            return _check_text(text, expected, caller.max_tokens, 0.0)
        async with http.stream("POST", path, json=body) as response:
            if response.status_code != 200:
                text = (await response.aread()).decode()
                return _parse_problem(response.status_code, text)
            outcome = await _read_stream(response, expected)
            return outcome._replace(prompt_tokens=count_prompt_tokens(prompt))

    def add_version(self, model: str, version: str) -> None:
        """Accept responses of another version of the model as well."""
        self._versions_by_name[model].add(version)


async def _read_stream(response: httpx.Response, expected: tuple[str, ...]) -> Outcome:
    text = ""
    tokens = 0
    first_s = 0.0
    async for line in response.aiter_lines():
        if not line.startswith("data: "):
            continue
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            return _check_text(text, expected, tokens, first_s)
        chunk = json.loads(data)
        if "error" in chunk:
            outcome = _parse_problem(200, data)
            return outcome._replace(tokens=tokens, first_s=first_s)
        first_s = first_s or time.monotonic()
        piece = _delta_text(chunk)
        text += piece
        tokens += bool(piece)
    return Outcome(
        "broken", 200, tokens=tokens, first_s=first_s, detail="no end marker"
    )


def _delta_text(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""


def _check_text(
    text: str, expected: tuple[str, ...], tokens: int, first_s: float
) -> Outcome:
    end: End = "whole" if text in expected else "wrong"
    return Outcome(end, 200, tokens=tokens, first_s=first_s, detail=text[:80])


def _parse_problem(status: int, text: str) -> Outcome:
    try:
        problem = json.loads(text)
        code = problem["error"]["code"]
        return Outcome("refused", status, code, problem["verdict"], detail=text[:200])
    except (ValueError, KeyError, TypeError):
        return Outcome(
            "broken", status, detail=f"body is not problem details: {text[:120]}"
        )


def _versions_by_name(manifest: Manifest) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for model in manifest.models:
        found[model.name] = {model.version}
        for adapter in model.adapters:
            found[adapter.name] = {model.version}
    return found


def _booking_path(manifest: Manifest) -> str:
    for route in manifest.routes:
        if route.kind == "plain" and not route.is_open:
            return route.path_prefix
    return "/"
