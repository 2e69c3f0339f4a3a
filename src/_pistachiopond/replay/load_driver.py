"""Sends the requests of a trace to running entry daemons.

The number of requests and the time are limited. Prompts are made of filler words,
because a trace has no content.
"""

from typing import Any, Final, NamedTuple

import anyio
import httpx

from _pistachiopond.decisions.deadlines import (
    FIRST_TOKEN_TARGET_S,
    TOKEN_GAP_TARGET_S,
)
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.replay.measures import quantile
from _pistachiopond.replay.trace import TraceRecord

MAX_LIVE_REQUESTS: Final = 5_000
MAX_LIVE_S: Final = 600.0
REQUEST_TIMEOUT_S: Final = 120.0
WORDS_PER_TOKEN: Final = 0.75


class LiveResponse(NamedTuple):
    """The outcome of one request.

    Attributes
    ----------
    status : int
        The HTTP status; 0 if there was no response.
    verdict : str
        The verdict in the error body; empty for a complete response.
    first_token_s, gap_s : float
        Delay of the first token, and mean time between tokens.
    is_whole : bool
        Whether the response was received completely.
    """

    status: int
    verdict: str
    first_token_s: float
    gap_s: float
    is_whole: bool


class LiveSummary(NamedTuple):
    """A summary of the responses of a run.

    Attributes
    ----------
    sent, whole, refused, broken : int
        Requests sent; of these the ones that got a complete response, the ones
        refused with an error status, and all others.
    within_targets : int
        Complete responses within the targets for first token and token gap.
    first_token_p50_s, first_token_p95_s : float
        Quantiles of the first-token delay of complete responses.
    """

    sent: int
    whole: int
    refused: int
    broken: int
    within_targets: int
    first_token_p50_s: float
    first_token_p95_s: float


async def drive_load(
    records: tuple[TraceRecord, ...], urls: tuple[str, ...], key: str, timer: Timer
) -> LiveSummary:
    """Send the engine requests of a trace at their arrival times.

    Parameters
    ----------
    records : tuple of TraceRecord
        At most `MAX_LIVE_REQUESTS` of the first `MAX_LIVE_S` seconds are sent.
    urls : tuple of str
        Base URLs of entry daemons, used in turn.
    key : str
        The caller's API key.
    timer : Timer
        The timer service.
    """
    selected = [r for r in records if r.model and r.arrival_s <= MAX_LIVE_S]
    selected = selected[:MAX_LIVE_REQUESTS]
    responses: list[LiveResponse] = []
    start_s = timer.now_s()

    async with httpx.AsyncClient(timeout=REQUEST_TIMEOUT_S) as client:

        async def send(record: TraceRecord, url: str) -> None:
            responses.append(await _send(client, record, url, key, timer))

        async with anyio.create_task_group() as group:
            for number, record in enumerate(selected):
                await timer.sleep_until(start_s + record.arrival_s)
                group.start_soon(send, record, urls[number % len(urls)])
    return _summarise(responses)


async def _send(
    client: httpx.AsyncClient, record: TraceRecord, url: str, key: str, timer: Timer
) -> LiveResponse:
    body = {
        "model": record.adapter or record.model,
        "prompt": "word " * int(record.prompt_tokens * WORDS_PER_TOKEN),
        "max_tokens": record.output_tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {key}"}
    sent_s = timer.now_s()
    try:
        async with client.stream(
            "POST", f"{url}/v1/completions", json=body, headers=headers
        ) as response:
            if response.status_code != 200:
                await response.aread()
                return _make_error_response(response)
            return await _read_stream(response, sent_s, timer)
    except httpx.HTTPError:
        return LiveResponse(0, "", 0.0, 0.0, False)


def _make_error_response(response: httpx.Response) -> LiveResponse:
    try:
        body: Any = response.json()
    except ValueError:
        body = {}
    verdict = str(body.get("verdict", "")) if isinstance(body, dict) else ""
    return LiveResponse(response.status_code, verdict, 0.0, 0.0, False)


async def _read_stream(
    response: httpx.Response, sent_s: float, timer: Timer
) -> LiveResponse:
    times_s: list[float] = []
    is_whole = False
    async for line in response.aiter_lines():
        if line == "data: [DONE]":
            is_whole = True
        elif line.startswith("data:"):
            times_s.append(timer.now_s())
    if not times_s:
        return LiveResponse(200, "", 0.0, 0.0, False)
    gaps = max(1, len(times_s) - 1)
    gap_s = (times_s[-1] - times_s[0]) / gaps
    return LiveResponse(200, "", times_s[0] - sent_s, gap_s, is_whole)


def _summarise(responses: list[LiveResponse]) -> LiveSummary:
    whole = [response for response in responses if response.is_whole]
    refused = [response for response in responses if response.status >= 400]
    met_targets = [
        response
        for response in whole
        if response.first_token_s <= FIRST_TOKEN_TARGET_S
        and response.gap_s <= TOKEN_GAP_TARGET_S
    ]
    delays = [response.first_token_s for response in whole]
    return LiveSummary(
        sent=len(responses),
        whole=len(whole),
        refused=len(refused),
        broken=len(responses) - len(whole) - len(refused),
        within_targets=len(met_targets),
        first_token_p50_s=quantile(delays, 0.50),
        first_token_p95_s=quantile(delays, 0.95),
    )
