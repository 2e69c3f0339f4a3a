"""Callers under load: what each sent, and what it was told.

Every request carries its own tag, so that what the backend servers really ran can
be compared with what the caller was told.
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
from _pistachiopond.standin.text import count_prompt_tokens, generate_text, seed_of

REQUEST_TIMEOUT_S: Final = 60.0
Kind = Literal["stream", "plain", "booking"]
End = Literal["whole", "refused", "broken", "wrong"]


class Caller(NamedTuple):
    """One customer's traffic.

    Attributes
    ----------
    customer, key : str
        Who, and with which key.
    requests_per_s : float
        Sent whether or not earlier ones have been answered.
    kinds : tuple of str
        Sent in turn.
    max_tokens : int
        Of each generation.
    models : tuple of str
        Asked for in turn.
    """

    customer: str
    key: str
    requests_per_s: float
    kinds: tuple[Kind, ...]
    max_tokens: int
    models: tuple[str, ...]


class Sent(NamedTuple):
    """One request and its end, as its caller saw it.

    Attributes
    ----------
    tag : str
        Stands in the request's content.
    url : str
        Which VM it was sent to.
    end : str
        ``whole``: the whole answer to this very request. ``refused``: a problem
        with a verdict. ``broken``: the connection broke, or an answer without
        an end. ``wrong``: another text than the request's.
    status : int
        0 where none came.
    code, verdict : str
        From the problem; empty otherwise.
    tokens, prompt_tokens : int
        Generated tokens that the caller got, and those of a stream's prompt.
    first_s, last_s : float
        First and last part of the answer, on the monotonic clock.
    """

    tag: str
    customer: str
    kind: Kind
    url: str
    began_s: float
    end: End
    status: int = 0
    code: str = ""
    verdict: str = ""
    tokens: int = 0
    first_s: float = 0.0
    last_s: float = 0.0
    detail: str = ""
    prompt_tokens: int = 0


class Told(NamedTuple):
    """The end of a request, before it is put on record."""

    end: End
    status: int = 0
    code: str = ""
    verdict: str = ""
    tokens: int = 0
    first_s: float = 0.0
    detail: str = ""
    prompt_tokens: int = 0


@final
class Load:
    """Sends requests to whichever VMs there are, as a balancer would."""

    def __init__(self, manifest: Manifest, urls: Callable[[], tuple[str, ...]]) -> None:
        self._versions = _versions(manifest)
        self._booking_path = _booking_path(manifest)
        self._urls = urls
        self._turn = itertools.count()
        self._run = f"{time.time_ns():x}"
        self.sent: list[Sent] = []
        self.stopping = anyio.Event()

    async def run(self, callers: tuple[Caller, ...], duration_s: float) -> None:
        """Send for a time, and return once every request has ended."""
        async with anyio.create_task_group() as group:
            for caller in callers:
                group.start_soon(self._run_caller, caller, duration_s)

    async def _run_caller(self, caller: Caller, duration_s: float) -> None:
        began_s = time.monotonic()
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=50)
        headers = {"authorization": f"Bearer {caller.key}"}
        async with (
            httpx.AsyncClient(
                headers=headers, timeout=REQUEST_TIMEOUT_S, limits=limits
            ) as http,
            anyio.create_task_group() as group,
        ):
            for number in itertools.count():
                due_s = began_s + number / caller.requests_per_s
                if due_s - began_s >= duration_s or self.stopping.is_set():
                    return
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                group.start_soon(self.send, http, caller, number)

    async def send(self, http: httpx.AsyncClient, caller: Caller, number: int) -> Sent:
        """Send one request and put its end on record."""
        tag = f"{self._run}-{caller.customer}-{next(self._turn)}"
        kind = caller.kinds[number % len(caller.kinds)]
        model = caller.models[number % len(caller.models)]
        urls = self._urls()
        url = urls[next(self._turn) % len(urls)]
        began_s = time.monotonic()
        try:
            if kind == "booking":
                told = await self._book(http, url, tag)
            else:
                told = await self._generate(http, url, tag, kind, model, caller)
        except httpx.HTTPError as error:
            told = Told("broken", detail=f"{type(error).__name__}: {error}")
        sent = Sent(
            tag,
            caller.customer,
            kind,
            url,
            began_s,
            told.end,
            told.status,
            told.code,
            told.verdict,
            told.tokens,
            told.first_s,
            time.monotonic(),
            told.detail,
            told.prompt_tokens,
        )
        self.sent.append(sent)
        return sent

    async def _book(self, http: httpx.AsyncClient, url: str, tag: str) -> Told:
        body = {"note": f"[[tag={tag}]]"}
        answer = await http.post(f"{url}{self._booking_path}{tag}", json=body)
        if answer.status_code != 200:
            return _problem(answer.status_code, answer.text)
        is_own = answer.json().get("path", "").endswith(tag)
        return Told("whole" if is_own else "wrong", 200, detail=answer.text)

    async def _generate(
        self,
        http: httpx.AsyncClient,
        url: str,
        tag: str,
        kind: Kind,
        model: str,
        caller: Caller,
    ) -> Told:
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
            for version in self._versions[model]
        )
        path = f"{url}/v1/chat/completions"
        if kind == "plain":
            answer = await http.post(path, json=body)
            if answer.status_code != 200:
                return _problem(answer.status_code, answer.text)
            text = answer.json()["choices"][0]["message"]["content"]
            return _judge(text, expected, caller.max_tokens, 0.0)
        async with http.stream("POST", path, json=body) as answer:
            if answer.status_code != 200:
                text = (await answer.aread()).decode()
                return _problem(answer.status_code, text)
            told = await _read_stream(answer, expected)
            return told._replace(prompt_tokens=count_prompt_tokens(prompt))

    def add_version(self, model: str, version: str) -> None:
        """Expect answers of another version as well."""
        self._versions[model].add(version)


async def _read_stream(answer: httpx.Response, expected: tuple[str, ...]) -> Told:
    text = ""
    tokens = 0
    first_s = 0.0
    async for line in answer.aiter_lines():
        if not line.startswith("data: "):
            continue
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            return _judge(text, expected, tokens, first_s)
        chunk = json.loads(data)
        if "error" in chunk:
            told = _problem(200, data)
            return told._replace(tokens=tokens, first_s=first_s)
        first_s = first_s or time.monotonic()
        piece = _piece(chunk)
        text += piece
        tokens += bool(piece)
    return Told("broken", 200, tokens=tokens, first_s=first_s, detail="no end marker")


def _piece(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""


def _judge(text: str, expected: tuple[str, ...], tokens: int, first_s: float) -> Told:
    end: End = "whole" if text in expected else "wrong"
    return Told(end, 200, tokens=tokens, first_s=first_s, detail=text[:80])


def _problem(status: int, text: str) -> Told:
    try:
        problem = json.loads(text)
        code = problem["error"]["code"]
        return Told("refused", status, code, problem["verdict"], detail=text[:200])
    except (ValueError, KeyError, TypeError):
        return Told("broken", status, detail=f"no problem details: {text[:120]}")


def _versions(manifest: Manifest) -> dict[str, set[str]]:
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
