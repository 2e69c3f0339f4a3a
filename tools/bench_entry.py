"""Measures what an entry daemon adds, and what one of them carries.

``python -m tools.bench_entry latency`` compares calls through an entry daemon with
calls to the stand-in engines themselves, by turns in one run.
``python -m tools.bench_entry capacity`` raises the number of streams until 95 in
100 gaps between tokens exceed the target, and shows the daemon's processor time.

The load is made by processes of their own, which read raw sockets, so that the
measuring takes little time.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
import uuid
from pathlib import Path
from typing import Any, Final, NamedTuple

import anyio
import cyclopts
import httpx

from _pistachiopond.entry.headers import digest_key
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.manifest import (
    BackendServer,
    Customer,
    Manifest,
    Model,
    Route,
)
from _pistachiopond.schema.records import ManifestRecord
from tools.fleet import Fleet, FleetOptions
from tools.make_examples import demo_key

TARGET_GAP_S: Final = 0.029
SHARE_TOKENS_PER_S: Final = 1_600
TOKENS: Final = 246
PROMPT_WORDS: Final = 120
LOAD_LIMIT_S: Final = 120.0
CUSTOMER: Final = "bench"
MODEL: Final = "bench-model"

app = cyclopts.App(name="bench_entry", help=__doc__)


class Load(NamedTuple):
    """One load on one address.

    Attributes
    ----------
    addresses : list of str
        Streams are dealt out over them.
    streams : int
        Open at any time.
    duration_s : float
        How long new ones are begun.
    tokens : int
        Of each.
    """

    addresses: list[str]
    streams: int
    duration_s: float
    tokens: int


class Measured(NamedTuple):
    """What one load saw; all times in seconds."""

    first_s: list[float]
    gaps_s: list[float]
    requests: int
    failures: int
    tokens: int
    took_s: float


@app.command
def latency(*, streams: int = 8, rounds: int = 4, duration_s: float = 4.0) -> None:
    """Compare calls through the daemon with direct ones."""
    with _deployment(engines=2) as parts:
        direct: list[Measured] = []
        through: list[Measured] = []
        for _ in range(rounds):
            load = Load(parts.engines, streams, duration_s, 64)
            direct.append(_run([load])[0])
            through.append(_run([load._replace(addresses=[parts.entry])])[0])
        _show("direct", _join(direct))
        _show("through the entry daemon", _join(through))


@app.command
def capacity(
    *, engines: int = 6, steps: str = "40,80,120,160,200", duration_s: float = 12.0
) -> None:
    """Raise the load until the target between tokens is missed."""
    with _deployment(engines=engines) as parts:
        print(f"entry daemon idle: {parts.entry_mb():.1f} MB resident")
        for streams in (int(step) for step in steps.split(",")):
            direct = _measure(parts.engines, streams, duration_s)
            before_s = parts.entry_cpu_s()
            started_s = time.monotonic()
            through = _measure([parts.entry], streams, duration_s)
            cores = (parts.entry_cpu_s() - before_s) / (time.monotonic() - started_s)
            print(f"-- {streams} streams; entry daemon used {cores:.2f} cores")
            _show("direct", direct)
            _show("through the entry daemon", through)
            rate = through.tokens / through.took_s
            share = rate / SHARE_TOKENS_PER_S
            print(f"   {rate:.0f} tokens/s, {share:.2f} times its share at the target")
            if _quantile(through.gaps_s, 0.95) > TARGET_GAP_S:
                print("   95 in 100 gaps are above the target")
                break


@app.command
def generate(load_json: str) -> None:
    """Run one load and print what it saw; started by the other commands."""
    plain = json.loads(load_json)
    measured = anyio.run(_generate, Load(**plain))
    print(json.dumps(measured._asdict()))


def _measure(addresses: list[str], streams: int, duration_s: float) -> Measured:
    processes = 4 if streams >= 40 else 1
    loads = [
        Load(addresses, streams // processes, duration_s, TOKENS)
        for _ in range(processes)
    ]
    return _join(_run(loads))


def _run(loads: list[Load]) -> list[Measured]:
    command = [sys.executable, "-m", "tools.bench_entry", "generate"]
    running = [
        subprocess.Popen(
            [*command, json.dumps(load._asdict())], stdout=subprocess.PIPE, text=True
        )
        for load in loads
    ]
    texts = [process.communicate()[0] for process in running]
    return [Measured(**json.loads(text)) for text in texts]


def _join(parts: list[Measured]) -> Measured:
    return Measured(
        first_s=[value for part in parts for value in part.first_s],
        gaps_s=[value for part in parts for value in part.gaps_s],
        requests=sum(part.requests for part in parts),
        failures=sum(part.failures for part in parts),
        tokens=sum(part.tokens for part in parts),
        took_s=max(part.took_s for part in parts),
    )


def _show(name: str, measured: Measured) -> None:
    first, gaps = measured.first_s, measured.gaps_s
    print(
        f"   {name}: {measured.requests} requests, {measured.failures} failed; "
        f"first token p50 {_ms(first, 0.5)} p95 {_ms(first, 0.95)} ms; "
        f"between tokens p50 {_ms(gaps, 0.5)} p95 {_ms(gaps, 0.95)} ms"
    )


def _ms(values_s: list[float], share: float) -> str:
    return f"{_quantile(values_s, share) * 1000:.2f}"


def _quantile(values_s: list[float], share: float) -> float:
    ordered = sorted(values_s)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def _generate(load: Load) -> Measured:
    measured = Measured([], [], 0, 0, 0, 0.0)
    counts = [0, 0, 0]
    started_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for number in range(load.streams):
            group.start_soon(_keep_streaming, load, number, started_s, measured, counts)
    took_s = time.monotonic() - started_s
    return measured._replace(
        requests=counts[0], failures=counts[1], tokens=counts[2], took_s=took_s
    )


async def _keep_streaming(
    load: Load, number: int, started_s: float, measured: Measured, counts: list[int]
) -> None:
    # Streams start one after another, as callers do, and not all at once.
    await anyio.sleep(number * 1.0 / load.streams)
    turn = number
    while time.monotonic() - started_s < load.duration_s:
        address = load.addresses[turn % len(load.addresses)]
        turn += 1
        counts[0] += 1
        try:
            tokens = await _stream_once(address, load.tokens, measured)
            counts[2] += tokens
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            counts[1] += 1


async def _stream_once(address: str, tokens: int, measured: Measured) -> int:
    host, port = address.rsplit(":", 1)
    sent_s = time.monotonic()
    last_s = sent_s
    seen = 0
    tail = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(_request(tokens))
        while b"[DONE]" not in tail:
            chunk = await stream.receive()
            now_s = time.monotonic()
            count = chunk.count(b"data: {")
            if count and seen == 0:
                measured.first_s.append(now_s - sent_s)
            elif count:
                measured.gaps_s.append(now_s - last_s)
                measured.gaps_s.extend([0.0] * (count - 1))
            if count:
                last_s = now_s
                seen += count
            tail = tail[-16:] + chunk
    if seen < tokens:
        raise OSError("the answer was not whole")
    return tokens


def _request(tokens: int) -> bytes:
    prompt = f"{uuid.uuid4().hex} " + "word " * PROMPT_WORDS
    body = json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {demo_key(CUSTOMER)}\r\n"
        f"X-Request-Id: {uuid.uuid4().hex}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


class _Deployment:
    """Engines, a control daemon and an entry daemon, until the block ends."""

    def __init__(self, engines: int) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="pond-bench-")
        options = ("--token-gap-s", "0.02", "--batch-slowdown", "0")
        self._fleet = Fleet(
            Path(self._folder.name),
            _manifest(engines),
            FleetOptions(vms=1, engine_options=(*options, "--max-batch", "256")),
        )
        self.engines: list[str] = []
        self.entry = ""

    def __enter__(self) -> "_Deployment":
        fleet = self._fleet
        try:
            fleet.start_vms()
            _publish(fleet)
            fleet.wait_until_ready()
            fleet.wait_for_models(LOAD_LIMIT_S)
            self._wait_for_replicas()
        except BaseException:
            self.__exit__()
            raise
        self.engines = [program.address for program in fleet.backends.values()]
        self.entry = fleet.vms[0].entry.address
        return self

    def _wait_for_replicas(self) -> None:
        until_s = time.monotonic() + LOAD_LIMIT_S
        for name in self._fleet.backends:
            while not any(
                model["state"] == "ready"
                for model in self._fleet.get_json(name, "/state")["models"]
            ):
                if time.monotonic() > until_s:
                    raise TimeoutError(f"{name} did not load the model")
                time.sleep(0.1)

    def __exit__(self, *unused: Any) -> None:
        self._fleet.close()
        self._folder.cleanup()

    def entry_mb(self) -> float:
        """Return the daemon's resident memory."""
        return self._fleet.vms[0].entry.resident_mb()

    def entry_cpu_s(self) -> float:
        """Return the processor time that the daemon has used."""
        pid = self._fleet.vms[0].entry.pid
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _deployment(engines: int) -> _Deployment:
    return _Deployment(engines)


def _manifest(engines: int) -> Manifest:
    servers = tuple(
        BackendServer(
            f"bench-engine-{number}",
            "http://127.0.0.1:1",
            "dc-a",
            "region",
            f"rack-{number}",
            "bench-service",
            1,
            80_000,
            True,
        )
        for number in range(engines)
    )
    digest = digest_key(demo_key(CUSTOMER))
    return Manifest(
        replaces_revision=0,
        deployment="bench",
        objective="attainment_per_accelerator",
        models=(Model(MODEL, "1", 10_000, (), engines),),
        backend_servers=servers,
        routes=(Route("/v1", "bench-service", "engine"),),
        customers=(Customer(CUSTOMER, 1e9, 1e9, 1.0, (digest,)),),
    )


def _publish(fleet: Fleet) -> None:
    record = ManifestRecord(uuid.uuid4().hex, fleet.manifest)
    url = f"{fleet.platform.url}/streams/config/records"
    answer = httpx.post(url, json={"payload": to_json(record)}, timeout=10)
    answer.raise_for_status()


if __name__ == "__main__":
    app()
