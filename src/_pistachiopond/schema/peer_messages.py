"""Messages between the VMs and their elected leader, as lines of JSON."""

import json
from typing import Any, NotRequired, TypedDict

from result import Err, Ok, Result

from _pistachiopond.schema.place_messages import (
    ColdServer,
    PlaceReply,
    PlaceRequest,
    ServerRate,
)


class ModelUse(TypedDict):
    """The number of requests of one VM for a model or adapter.

    `waiting_at` has, by software version, those of the `waiting` that may run at this
    version only. It is missing where there are none, and from builds that refuse such
    requests.
    """

    service: str
    model: str
    adapter: str
    running: int
    waiting: int
    waiting_at: NotRequired[dict[str, int]]


class RelayedRecord(TypedDict):
    """A record of the platform's store; the value's bytes are decoded as Latin-1.

    Builds that do not know eras send none, as in `TopicProof`.
    """

    topic: str
    offset: int
    era: NotRequired[int]
    key: str
    value: str


class TopicProof(TypedDict):
    """The age of the leader's copy of a topic, and the next position to read.

    Builds that relay only the versioned records of a versioned topic do not send
    `relays_deletions`.
    """

    age_s: float
    next_offset: int
    era: NotRequired[int]
    relays_deletions: NotRequired[bool]


# The id of a stream, the software version that began it, and the time since it was
# last seen, in seconds.
StreamOrigin = tuple[str, str, float]


class VersionHistoryMessage(TypedDict):
    """Which software versions were in service, with ages in seconds.

    `known_s` is for how long the sender has known the servers. `services` has how long
    ago each version was first and last in service. `models` lists a service, a model,
    and for each of its sets of versions the weights and how long ago it was in force.
    """

    known_s: float
    services: dict[str, dict[str, tuple[float, float]]]
    models: list[tuple[str, str, list[tuple[dict[str, int], float]]]]


# A request whose server ended the connection: the server and its incarnation, a digest
# of the request, how long ago, and digests of the parts of its prompt that the VM does
# not know as sound.
LostParts = tuple[str, int, str, float, list[str]]


# A request that was running in crashes: its digest, for how many seconds it is refused,
# and the crashes that count against it, each named by the server and its start.
RequestCrashes = tuple[str, float, list[str]]


# A server and its incarnation, what the measured requests have in common, their number,
# and the sums of the logarithms of their times in seconds and of the squares.
SpeedSampleMessage = tuple[str, int, str, int, float, float]
# A server, its incarnation, and its speed, 1 for the mean of its service.
ServerSpeed = tuple[str, int, float]


class MemberReport(TypedDict):
    """A VM's report to the leader.

    `usage` maps each customer to its token balance, its demand per second, the tokens
    that waiting requests are short of and the tokens returned. `load` has the requests
    in progress at each server, and `runs` those for each of its models. `doubtful`
    lists the servers that failed for this VM recently. `cut_off` lists the requests
    whose server ended the connection, each with the server and its incarnation.
    `cleared` lists suspected requests that ran without a crash. `fence` is the token of
    the claim by which the member takes the receiver for the leader; builds that do not
    know eras send none. `relay_address` is where the member takes other VMs' requests,
    and `unreachable` lists the services whose servers it cannot reach; both are missing
    from builds that do not pass requests on. `refusing` lists the incarnations of
    servers that refuse the member's connections while others accept them; builds that
    do not look for crashed servers send none. `versions_known_s` is for how long the
    member has known the servers' versions, and asks for those of before. `lost_parts`
    are requests whose server ended the connection, `sound_parts` watched parts of
    prompts that ran well here, and `refused_parts` those that are refused here, as in
    `SuspectList`. Builds that count crashes by whole requests only send none of the
    three. `request_crashes` is what earlier leaders have told of whole requests; builds
    that leave this to the leader send none. `lists_waiting` says that the member
    lists in `TokenRequest` the requests that wait for tokens, so that `usage` asks for
    none for them. `ended` has the number of answered requests that have ended at each
    server since the last report; builds that don't count them send none.
    """

    member: str
    number: int
    fence: NotRequired[int]
    usage: dict[str, tuple[float, float, float, float]]
    load: dict[str, int]
    models: list[ModelUse]
    runs: list[tuple[str, str, int]]
    doubtful: list[str]
    cut_off: list[tuple[str, str, int]]
    cleared: list[str]
    relay_address: NotRequired[str]
    unreachable: NotRequired[list[str]]
    refusing: NotRequired[list[tuple[str, int]]]
    versions_known_s: NotRequired[float]
    lost_parts: NotRequired[list[LostParts]]
    sound_parts: NotRequired[list[str]]
    refused_parts: NotRequired[dict[str, tuple[float, int]]]
    request_crashes: NotRequired[list[RequestCrashes]]
    lists_waiting: NotRequired[bool]
    ended: NotRequired[dict[str, int]]
    speeds: NotRequired[list[SpeedSampleMessage]]


class LeaderReply(TypedDict):
    """The leader's reply to a report.

    `given` has the tokens to add to each customer's balance, and `load` the requests of
    all VMs at each server. `period_s` is the time until the next report. `topics` says
    how fresh each topic's relayed records are. `relays` lists the addresses of VMs
    that forward requests for the member: for each service that it cannot reach, and
    under an empty name for all services. `is_allocating` says whether parts of the
    customers' whole rates are allocated; a sender that does not lead does so only while
    all VMs that have reported to it still do. `origins_known_s` is for how long any VM
    has known the servers' software versions. Older builds send none of these.
    `to_check` lists incarnations of servers that refuse the leader and that the member
    is to try; a leader that sends it takes `RefusingUpdate`. `versions` answers
    `versions_known_s` and is missing while the leader itself may lack some.
    `deals_places` is sent by a leader that takes `PlaceRequest` and rates of servers.
    `room_s` has the customers whose refused callers are expected to return, with the
    time until there is room behind them. `stores_origins` is false if the
    sender can't write streams' records to the store; one that sends it also sends
    `origins_stored`.
    """

    number: int
    leads: bool
    given: dict[str, float]
    is_allocating: NotRequired[bool]
    load: dict[str, int]
    members: int
    period_s: float
    topics: dict[str, TopicProof]
    origins_known_s: NotRequired[float]
    relays: NotRequired[dict[str, list[str]]]
    to_check: NotRequired[list[tuple[str, int]]]
    versions: NotRequired[VersionHistoryMessage]
    deals_places: NotRequired[bool]
    room_s: NotRequired[dict[str, float]]
    stores_origins: NotRequired[bool]


class RefusingUpdate(TypedDict):
    """Sent when a server is proved to refuse connections; as in a report."""

    member: str
    refusing: list[tuple[str, int]]


class LoadedModelsUpdate(TypedDict):
    """The models and adapters loaded on one engine server."""

    server: str
    started_ms: int
    models: dict[str, list[str]]


class ModelWait(TypedDict):
    """A model or adapter that is not loaded and for which a request starts to wait.

    `software_version` is the only version at which the request may run; it is missing
    if the request may run at any.
    """

    member: str
    service: str
    model: str
    adapter: str
    software_version: NotRequired[str]


class TokenRequest(TypedDict):
    """Sent when a member runs short of tokens of a customer.

    `usage` is the customer's entry in a report. `waiting` lists the requests without
    tokens: a number, a digest that a refused request and its return have in common, its
    tokens, those that the member lacks for it, and the longest time after which the
    caller would return. Builds that don't send it get tokens for all of their requests
    together.
    """

    member: str
    customer: str
    usage: tuple[float, float, float, float]
    waiting: NotRequired[list[tuple[int, str, float, float, float]]]


class WaitingAnswer(TypedDict):
    """The reply to `waiting` of a `TokenRequest`.

    `granted` has the number and tokens of each request that gets them, and `waits_s`
    the time until each of the others should return.
    """

    customer: str
    granted: list[tuple[int, float]]
    waits_s: list[tuple[int, float]]


class PacingRequest(TypedDict):
    """A request to choose the server for a prompt and the time to send it.

    `places` lists the candidate servers, the preferred first. Each has the time that it
    needs to process the prompt, its slots and a bias that is added to its load, as a
    share of its slots. `most_s` is the longest time that the prompt may be delayed.
    `patience` is sent for a stream that no server has had: the time until its caller
    leaves, its objective, its urgency, and its route and customer. Without it the
    prompt is not refused.
    """

    number: int
    places: list[tuple[str, float, int, float]]
    gap_aim_s: float
    most_s: float
    patience: NotRequired[tuple[float, float, int, str]]


class TrialRequest(TypedDict):
    """A question whether one request with refused parts of prompts may run."""

    number: int
    parts: list[str]


class TrialReply(TypedDict):
    """The leader's reply to a trial request."""

    number: int
    may_run: bool


class MemberMessage(TypedDict, total=False):
    """One line from a member: its report, or a message too urgent to wait for it.

    `known` is the first message of a connection. It has the next offset that the
    member has to read of each store topic, or -1 if it has read none; `known_eras` has
    the eras of these offsets, and `origins_age_s` how long ago a leader last replied.
    `origins` are streams whose version other VMs can't compute. `refusing` is sent only
    to a leader that takes it, and `trial` only to one that lists refused parts. `place`
    and `rates`, what servers have said of their rates, are sent only to a leader that
    deals places. `cold` is sent beside `rates`, which a leader needs that does not know
    cold servers.
    """

    known: dict[str, int]
    known_eras: dict[str, int]
    origins_age_s: float
    origins: list[StreamOrigin]
    report: MemberReport
    pace: PacingRequest
    lack: ModelWait
    tokens: TokenRequest
    refusing: RefusingUpdate
    trial: TrialRequest
    place: NotRequired[PlaceRequest]
    rates: NotRequired[list[ServerRate]]
    cold: NotRequired[list[ColdServer]]


class PacingReply(TypedDict):
    """The server chosen for a prompt, and the time to wait before sending it.

    `return_s` is sent for a prompt that can't start before its caller leaves: it is to
    be refused, with the time after which its caller should return.
    """

    number: int
    place: int
    wait_s: float
    return_s: NotRequired[float]


class SuspectList(TypedDict):
    """Fingerprints of requests that were running when servers crashed.

    `refused` has the number of seconds for which each request must not run; `cleared`
    lists those cleared by the last reports. The other fields are on parts of prompts,
    by their digests, and are missing from builds that don't know them: `watched_parts`
    are those that VMs should report if they ran well; `refused_parts` has the number of
    seconds until trials begin, below zero after that, and how often the refusal has
    been renewed; `tied_parts` are refused parts that a trial may tell apart before;
    `cleared_parts` are no longer refused. `request_crashes` are the requests that are
    refused or were running in more than one crash, which members keep for the next
    leader; builds whose members keep none don't send it.
    """

    watched: list[str]
    refused: dict[str, float]
    cleared: list[str]
    watched_parts: NotRequired[list[str]]
    refused_parts: NotRequired[dict[str, tuple[float, int]]]
    tied_parts: NotRequired[list[str]]
    cleared_parts: NotRequired[list[str]]
    request_crashes: NotRequired[list[RequestCrashes]]


class LeaderMessage(TypedDict, total=False):
    """One line from the leader: a reply, or updates since the last line.

    `speeds` has the servers whose speed has changed; older builds send none.
    `origins_stored` has the streams of this member, by id and version, whose records
    the store has.
    """

    answer: LeaderReply
    held: list[LoadedModelsUpdate]
    records: list[RelayedRecord]
    suspects: SuspectList
    paced: PacingReply
    tried: TrialReply
    given: dict[str, float]
    waiting: NotRequired[WaitingAnswer]
    origins: list[StreamOrigin]
    origins_stored: NotRequired[list[tuple[str, str]]]
    placed: NotRequired[PlaceReply]
    rates: NotRequired[list[ServerRate]]
    cold: NotRequired[list[ColdServer]]
    speeds: NotRequired[list[ServerSpeed]]


def encode_line(message: Any) -> bytes:
    """Return a message as one line."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def decode_line(line: bytes) -> Result[dict[str, Any], str]:
    """Return the message in a line, or an error text."""
    try:
        plain = json.loads(line)
    except (ValueError, RecursionError) as error:
        return Err(str(error))
    if not isinstance(plain, dict):
        return Err("the message is not a JSON object")
    return Ok(plain)
