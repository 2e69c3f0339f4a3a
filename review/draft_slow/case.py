"""Requesters that read slowly, and bookings whose answers they lose by that.

Run by `run.sh`. Each requester keeps a channel. Its first answer it reads at once; with
its second request it stops reading for a while, well within its deadline.
"""

import asyncio
import socket
import sys
import time
from pathlib import Path
from typing import Any, Final, NamedTuple

from review.standins3.http import Message, answer, listen, port_of
from review.standins3.machines import FRONT_PORT, Machine, free_ips
from review.standins3.play import Recorder, config, play
from review.standins3.store import Store
from review.standins3.stream_workers import entry

HOST: Final = "desk.example"
SERVICE: Final = "desk"
REQUESTERS: Final = 12
# The largest answer on the sheets.
BODY_BYTES: Final = 4_800
# "Small windows, so a peer that does not read blocks the writer."
WINDOW_BYTES: Final = 1_024
DEADLINE_S: Final = 6.0
PAUSE_S: Final = 2.5
LEAD_S: Final = 8.0
# More than three times break the rule.
MAX_LOST: Final = 3
ROUTE: Final[dict[str, Any]] = {
    "name": "r-booking",
    "host": HOST,
    "pathPrefix": "/booking/",
    "kind": "unsafe",
    "anonymous": True,
    "service": SERVICE,
    "maxAttempts": 1,
    "timeoutMs": 6_000,
    "targetLatencyMs": 300,
    "priority": 1,
}


class Got(NamedTuple):
    """What a requester got of one answer."""

    attempt_id: str
    sent_s: float
    ended_s: float
    body_bytes: int
    end: str


def ask(channel: socket.socket, attempt_id: str, pause_s: float) -> Got:
    """Send a request, wait, and read the answer by the deadline."""
    lines = [
        "POST /booking/1 HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt_id}",
        f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}",
        "Content-Length: 2",
    ]
    sent_s = time.monotonic()
    data, end = b"", "complete"
    try:
        channel.settimeout(DEADLINE_S)
        channel.sendall("\r\n".join([*lines, "", "{}"]).encode())
        time.sleep(pause_s)
        while len(data.partition(b"\r\n\r\n")[2]) < BODY_BYTES:
            channel.settimeout(max(0.01, sent_s + DEADLINE_S - time.monotonic()))
            piece = channel.recv(4_096)
            if not piece:
                end = "closed early"
                break
            data += piece
    except OSError as error:
        end = type(error).__name__
    status = data.split(b"\r\n", 1)[0].decode("latin-1")
    body_bytes = len(data.partition(b"\r\n\r\n")[2])
    return Got(attempt_id, sent_s, time.monotonic(), body_bytes, f"{status}, {end}")


def use_channel(ip: str, number: int, pause_s: float) -> list[Got]:
    """Send two requests on one channel."""
    with socket.socket() as channel:
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        channel.settimeout(1.0)
        channel.connect((ip, FRONT_PORT))
        return [
            ask(channel, f"r{number}-0", 0.0),
            ask(channel, f"r{number}-1", pause_s),
        ]


async def run(folder: Path, record: Recorder, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    runs: list[tuple[str, float]] = []

    async def serve(message: Message, writer: asyncio.StreamWriter) -> None:
        attempt_id = message.headers.get("x-attempt-id", "")
        if message.method == "GET":
            writer.write(answer(200, {"X-Instance-Id": "i-1"}, b""))
            return
        runs.append((attempt_id, time.monotonic()))
        echo = {"X-Attempt-Id": attempt_id, "X-Server-Seal": f"i-1.{attempt_id}"}
        writer.write(answer(200, echo, b"x" * BODY_BYTES))

    store = Store()
    store.put("keyed.op", "config", config(ROUTE, {"name": SERVICE}))
    worker = await listen(serve, "127.0.0.1")
    address = f"127.0.0.1:{port_of(worker)}"
    born_ms = int(time.time() * 1000)
    store.put("keyed.servers", "i-1", entry(SERVICE, address, "v1", born_ms, 1))
    machine = Machine(
        "front-0",
        free_ips(1)[0],
        "zone-a",
        await store.address_for(lambda: False),
        folder,
    )
    try:
        await asyncio.sleep(LEAD_S)
        pause_s = PAUSE_S if has_trouble else 0.0
        record.write(f"{REQUESTERS} requesters; the second answer waits {pause_s} s")
        channels = await asyncio.gather(
            *(
                asyncio.to_thread(use_channel, machine.ip, number, pause_s)
                for number in range(REQUESTERS)
            )
        )
    finally:
        machine.end()
        worker.close()
    return judge([got for item in channels for got in item], runs, record)


def judge(all_got: list[Got], runs: list[tuple[str, float]], record: Recorder) -> int:
    """Write what was run and answered, and return the exit code."""
    for attempt_id, at_s in runs:
        record.write(f"run {attempt_id}, answered with {BODY_BYTES} bytes", at_s)
    lost = 0
    ran = {attempt_id for attempt_id, _ in runs}
    for got in all_got:
        is_late = got.ended_s - got.sent_s >= DEADLINE_S
        is_lost = got.attempt_id in ran and got.body_bytes < BODY_BYTES and not is_late
        lost += is_lost
        record.write(
            f"request {got.attempt_id}: {got.end}, {got.body_bytes} bytes after "
            f"{got.ended_s - got.sent_s:.2f} s{', LOST' if is_lost else ''}",
            got.sent_s,
        )
    record.write(f"requests {len(all_got)}, ran {len(ran)}, lost {lost}")
    if len(all_got) < 2 * REQUESTERS or len(ran) < REQUESTERS:
        return 2
    return 1 if lost > MAX_LOST else 0


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, run))
