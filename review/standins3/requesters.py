"""The platform's ingress, and requesters of resumable streams."""

import asyncio
import time
from collections.abc import Callable
from typing import Final, NamedTuple, final

from review.standins3.machines import FRONT_PORT, READY_PORT, Machine

# Misses in a row after which a machine gets no new channels.
MAX_MISSES: Final = 2
# Requesters abandon a stream after a gap of this length.
MAX_GAP_S: Final = 2.0


@final
class Ingress:
    """Asks the machines of one zone whether they are ready, and chooses among them."""

    def __init__(self, machines: list[Machine]) -> None:
        self._machines = machines
        self._misses = {machine.name: 0 for machine in machines}

    async def run(self) -> None:
        """Ask each machine once a second until cancelled."""
        while True:
            started_s = time.monotonic()
            await asyncio.gather(*map(self._ask, self._machines))
            await asyncio.sleep(max(0.0, started_s + 1.0 - time.monotonic()))

    async def _ask(self, machine: Machine) -> None:
        is_ready = False
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(machine.ip, READY_PORT)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                    is_ready = b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            pass
        self._misses[machine.name] = 0 if is_ready else self._misses[machine.name] + 1

    def in_rotation(self) -> list[str]:
        """Return the machines that get new channels because they are ready."""
        return [name for name, misses in self._misses.items() if misses < MAX_MISSES]

    def choose(self, number: int, excluded: str = "") -> Machine:
        """Return the machine for a new channel of a requester.

        Parameters
        ----------
        number : int
            Stands for the hash of the requester.
        excluded : str
            The machine of the try before; retries reach other machines.
        """
        ready = self.in_rotation()
        if 2 * len(ready) < len(self._machines):
            ready = [machine.name for machine in self._machines]
        names = [name for name in ready if name != excluded] or ready
        name = sorted(names)[number % len(names)]
        return next(machine for machine in self._machines if machine.name == name)


class Event(NamedTuple):
    """An event of a stream, as a requester got it."""

    number: int
    data: str
    attempt_id: str


class Try(NamedTuple):
    """One try of a request, and how it ended."""

    attempt_id: str
    machine: str
    sent_s: float
    ended_s: float
    status: int
    end: str


class Stream(NamedTuple):
    """What a requester got of one stream over its tries."""

    events: list[Event]
    tries: list[Try]


class StreamRequest(NamedTuple):
    """A stream that a requester wants.

    Attributes
    ----------
    name : str
        The beginning of its attempt ids.
    host, path : str
        Select the route.
    deadline_s : float
        How long the requester waits, over all tries.
    retries : int
        The tries after the first.
    """

    name: str
    host: str
    path: str
    deadline_s: float
    retries: int


async def get_stream(
    request: StreamRequest, first: Machine, next_machine: Callable[[str], Machine]
) -> Stream:
    """Ask for a stream, and take it up again where its channel breaks.

    Parameters
    ----------
    request : StreamRequest
        The stream.
    first : Machine
        Where the first try goes.
    next_machine : callable
        Returns the machine of a retry, given the name of the one before.
    """
    events: list[Event] = []
    tries: list[Try] = []
    started_s = time.monotonic()
    machine = first
    for number in range(request.retries + 1):
        left_s = started_s + request.deadline_s - time.monotonic()
        if left_s <= 0.05:
            break
        done = await _try(request, f"{request.name}-{number}", machine, events, left_s)
        tries.append(done)
        if done.end == "complete" or done.status in (400, 401, 404, 413, 431):
            break
        machine = next_machine(machine.name)
    return Stream(events, tries)


async def _try(
    request: StreamRequest,
    attempt_id: str,
    machine: Machine,
    events: list[Event],
    left_s: float,
) -> Try:
    lines = [
        f"POST {request.path} HTTP/1.1",
        f"Host: {request.host}",
        f"X-Attempt-Id: {attempt_id}",
        f"X-Deadline-Ms: {int(left_s * 1000)}",
        "Content-Length: 2",
    ]
    if events:
        lines += [
            f"Last-Event-Id: {events[-1].number}",
            f"Resumes: {events[0].attempt_id}",
        ]
    sent_s = time.monotonic()
    status, end = 0, "broken"
    try:
        async with asyncio.timeout(left_s):
            reader, writer = await asyncio.open_connection(machine.ip, FRONT_PORT)
            try:
                writer.write("\r\n".join([*lines, "", "{}"]).encode())
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(head.split(" ", 2)[1])
                if status == 200:
                    await _read_events(reader, attempt_id, events)
                end = "complete" if status == 200 else "answered"
            finally:
                writer.transport.abort()
    except TimeoutError:
        end = "gave up"
    except (OSError, asyncio.IncompleteReadError) as error:
        end = f"broken: {type(error).__name__}"
    return Try(attempt_id, machine.name, sent_s, time.monotonic(), status, end)


async def _read_events(
    reader: asyncio.StreamReader, attempt_id: str, events: list[Event]
) -> None:
    """Read chunks and the events in them up to the last chunk."""
    text = ""
    while True:
        async with asyncio.timeout(MAX_GAP_S):
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
        if not size:
            return
        text += chunk[:-2].decode()
        *whole, text = text.split("\n\n")
        for item in whole:
            fields = dict(line.split(": ", 1) for line in item.split("\n"))
            events.append(Event(int(fields["id"]), fields["data"], attempt_id))
