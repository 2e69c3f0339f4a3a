"""Sends a trace to a running entry daemon, bounded in count and time.

Prompts are made of filler words, so that a trace without content can be sent.
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


class LiveAnswer(NamedTuple):
    """How one request ended.

    Attributes
    ----------
    status : int
        The HTTP status; 0 when no answer came.
    verdict : str
        What the error body says; empty for a whole answer.
    """

    status: int
    verdict: str
    first_token_s: float
    gap_s: float
    is_whole: bool


class LiveSummary(NamedTuple):
    """What the callers saw."""

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
    """Send engine requests of a trace at their times, to the daemons in turn.

    Parameters
    ----------
    records : tuple of TraceRecord
        At most `MAX_LIVE_REQUESTS` of the first `MAX_LIVE_S` seconds are sent.
    urls : tuple of str
        Base addresses of entry daemons.
    key : str
        The caller's key.
    timer : Timer
        The timer service.
    """
    chosen = [r for r in records if r.model and r.arrival_s <= MAX_LIVE_S]
    chosen = chosen[:MAX_LIVE_REQUESTS]
    answers: list[LiveAnswer] = []
    start_s = timer.now_s()

    async with httpx.AsyncClient(timeout=REQUEST_TIMEOUT_S) as client:

        async def send(record: TraceRecord, url: str) -> None:
            answers.append(await _send(client, record, url, key, timer))

        async with anyio.create_task_group() as group:
            for number, record in enumerate(chosen):
                await timer.sleep_until(start_s + record.arrival_s)
                group.start_soon(send, record, urls[number % len(urls)])
    return _summarise(answers)


async def _send(
    client: httpx.AsyncClient, record: TraceRecord, url: str, key: str, timer: Timer
) -> LiveAnswer:
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
                return _refused(response)
            return await _read_stream(response, sent_s, timer)
    except httpx.HTTPError:
        return LiveAnswer(0, "", 0.0, 0.0, False)


def _refused(response: httpx.Response) -> LiveAnswer:
    try:
        plain: Any = response.json()
    except ValueError:
        plain = {}
    verdict = str(plain.get("verdict", "")) if isinstance(plain, dict) else ""
    return LiveAnswer(response.status_code, verdict, 0.0, 0.0, False)


async def _read_stream(
    response: httpx.Response, sent_s: float, timer: Timer
) -> LiveAnswer:
    times_s: list[float] = []
    is_whole = False
    async for line in response.aiter_lines():
        if line == "data: [DONE]":
            is_whole = True
        elif line.startswith("data:"):
            times_s.append(timer.now_s())
    if not times_s:
        return LiveAnswer(200, "", 0.0, 0.0, False)
    gaps = max(1, len(times_s) - 1)
    gap_s = (times_s[-1] - times_s[0]) / gaps
    return LiveAnswer(200, "", times_s[0] - sent_s, gap_s, is_whole)


def _summarise(answers: list[LiveAnswer]) -> LiveSummary:
    whole = [answer for answer in answers if answer.is_whole]
    refused = [answer for answer in answers if answer.status >= 400]
    in_time = [
        answer
        for answer in whole
        if answer.first_token_s <= FIRST_TOKEN_TARGET_S
        and answer.gap_s <= TOKEN_GAP_TARGET_S
    ]
    delays = [answer.first_token_s for answer in whole]
    return LiveSummary(
        sent=len(answers),
        whole=len(whole),
        refused=len(refused),
        broken=len(answers) - len(whole) - len(refused),
        within_targets=len(in_time),
        first_token_p50_s=quantile(delays, 0.50),
        first_token_p95_s=quantile(delays, 0.95),
    )
