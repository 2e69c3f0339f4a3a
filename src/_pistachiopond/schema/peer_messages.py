"""What VMs and the one that leads tell each other, as lines of JSON."""

import json
from typing import Any, TypedDict

from result import Err, Ok, Result


class ModelUse(TypedDict):
    """Requests of one VM for a model or adapter."""

    service: str
    model: str
    adapter: str
    running: int
    waiting: int


class RelayedRecord(TypedDict):
    """A record of the platform's store; the value's bytes as Latin-1."""

    topic: str
    offset: int
    key: str
    value: str


class TopicProof(TypedDict):
    """How old the leader's knowledge of a topic is, and from where to read on."""

    age_s: float
    next_offset: int


class MemberReport(TypedDict):
    """A VM's report to the leader.

    `usage` has for each customer the balance, the demand a second, what waiting
    requests lack and what is given back; `load` the requests in progress at each
    server, `runs` those for each of its models; `doubtful` the servers that have
    failed this VM lately; `cut_off` the requests whose server ended the connection,
    each with the server and its incarnation; `cleared` suspected ones that ran well.
    """

    member: str
    number: int
    usage: dict[str, tuple[float, float, float, float]]
    load: dict[str, int]
    models: list[ModelUse]
    runs: list[tuple[str, str, int]]
    doubtful: list[str]
    cut_off: list[tuple[str, str, int]]
    cleared: list[str]


class LeaderAnswer(TypedDict):
    """The leader's answer to a report.

    `given` has what each customer's balance grows by; `load` the requests of all VMs
    at each server; `period_s` is the time until the next report; `topics` proves
    what was relayed.
    """

    number: int
    leads: bool
    given: dict[str, float]
    load: dict[str, int]
    members: int
    period_s: float
    topics: dict[str, TopicProof]


class HeldUpdate(TypedDict):
    """What one engine server holds and serves."""

    server: str
    started_ms: int
    models: dict[str, list[str]]


class Lack(TypedDict):
    """A model or adapter for which a request of the member begins to wait."""

    member: str
    service: str
    model: str
    adapter: str


class TokenQuestion(TypedDict):
    """A customer for whom the member lacks tokens, with its part of a report."""

    member: str
    customer: str
    usage: tuple[float, float, float, float]


class PaceQuestion(TypedDict):
    """The question where and when a prompt may be sent.

    `places` has the servers that may get it, with how long each reads it, its slots and
    what its load is seen as more; `most_s` is how long it may be held back.
    """

    number: int
    places: list[tuple[str, float, int, float]]
    gap_aim_s: float
    most_s: float


class MemberMessage(TypedDict, total=False):
    """One line from a member: its report, or something that cannot wait for it.

    `known` begins a connection: up to where each topic of the store is known, -1 for
    not at all.
    """

    known: dict[str, int]
    report: MemberReport
    pace: PaceQuestion
    lack: Lack
    tokens: TokenQuestion


class PaceAnswer(TypedDict):
    """To which of the places a prompt is to be sent, and how soon."""

    number: int
    place: int
    wait_s: float


class SuspectList(TypedDict):
    """Requests that were running in crashes of servers, by their fingerprints.

    `refused` says for how many seconds each must not run; `cleared` those that the
    last reports have cleared.
    """

    watched: list[str]
    refused: dict[str, float]
    cleared: list[str]


class LeaderMessage(TypedDict, total=False):
    """One line from the leader: an answer, or updates since the last line."""

    answer: LeaderAnswer
    held: list[HeldUpdate]
    records: list[RelayedRecord]
    suspects: SuspectList
    paced: PaceAnswer
    given: dict[str, float]


def encode_line(message: Any) -> bytes:
    """Return a message as one line."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def decode_line(line: bytes) -> Result[dict[str, Any], str]:
    """Return the message in a line, or what is wrong with it."""
    try:
        plain = json.loads(line)
    except ValueError as error:
        return Err(str(error))
    if not isinstance(plain, dict):
        return Err("a message is not an object")
    return Ok(plain)
