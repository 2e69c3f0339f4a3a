"""A VM's connection to the one that leads."""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.leadership import Claim, Leadership
from _pistachiopond.decisions.retry_share import RetryShare
from _pistachiopond.decisions.usage import UsageTaker
from _pistachiopond.http1.messages import parse_address
from _pistachiopond.observe.logs import log_trouble
from _pistachiopond.schema.deployment import CustomerSpec
from _pistachiopond.schema.peer_messages import (
    HeldUpdate,
    LeaderAnswer,
    MemberMessage,
    MemberReport,
    PaceQuestion,
    RelayedRecord,
    decode_line,
    encode_line,
)
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet, HeldModels, WantedModel
from _pistachiopond.vm.pacing import PromptPacing
from _pistachiopond.vm.relay import RELAY_AGE_S, TopicShelf, from_relayed
from _pistachiopond.vm.suspects import Suspects
from _pistachiopond.vm.wants import Wants

CONNECT_LIMIT_S: Final = 0.5
# A leader that does not answer a report for this long is tried anew.
ANSWER_LIMIT_S: Final = 0.6
RECONNECT_S: Final = 0.1
FIRST_PERIOD_S: Final = 0.2
# Questions for one customer's tokens are at least this far apart.
MIN_ASK_PAUSE_S: Final = 0.01
# Over all VMs, as far as they lack the same customer's tokens at the same time.
ASKS_PER_S: Final = 600.0
# Tries of a store that does not answer, over all VMs that have a leader.
OWN_TRIES_PER_S: Final = 40.0
# Without a proof for this many reports, the store is read.
RELAY_PERIODS: Final = 2.5
MAX_LINE_BYTES: Final = 16 * 1024 * 1024


class LinkParts(NamedTuple):
    """What the link reports and updates.

    Attributes
    ----------
    name : str
        This VM.
    fleet : Fleet
        Servers, their load and what they hold.
    usage : UsageTaker
        This VM's balances.
    retries : RetryShare
        This VM's part of the retry budget.
    customers : callable
        Returns the customers of the configuration in force.
    shelves : dict of str to TopicShelf
        What this VM knows of the store's topics.
    suspects : Suspects
        Requests that may have crashed their servers.
    """

    name: str
    fleet: Fleet
    usage: UsageTaker
    retries: RetryShare
    customers: Callable[[], dict[str, CustomerSpec]]
    shelves: dict[str, TopicShelf]
    suspects: Suspects


@final
class LeaderLink:
    """Reports to the leader and takes its answers."""

    def __init__(self, parts: LinkParts, leadership: Leadership) -> None:
        self._parts = parts
        self._leadership = leadership
        self._answered = asyncio.Event()
        self._number = 0
        self._answered_s = float("-inf")
        self._relayed_s = float("-inf")
        self._sent_s = 0.0
        self._serving: asyncio.Timeout | None = None
        self._resigned_fence = -1
        self._refused_fence = -1
        self._connected_fence = -1
        self._period_s = FIRST_PERIOD_S
        self._members = 1
        self._writer: asyncio.StreamWriter | None = None
        self._asked_tokens_s: dict[str, float] = {}
        self.wants = Wants(self._tell_lack)
        self.pacing = PromptPacing(parts.fleet, self._ask_pace)

    def ask_tokens(self, customer: str) -> None:
        """Ask for what the customer's requests lack, unless that was asked just now."""
        now_s = boot_s()
        pause_s = max(MIN_ASK_PAUSE_S, self._members / ASKS_PER_S)
        if now_s - self._asked_tokens_s.get(customer, float("-inf")) < pause_s:
            return
        self._asked_tokens_s[customer] = now_s
        parts = self._parts
        usage = parts.usage.report_of(customer, now_s)
        self._tell(
            {
                "tokens": {
                    "member": parts.name,
                    "customer": customer,
                    "usage": tuple(usage),
                }
            }
        )

    def _tell_lack(self, wanted: WantedModel) -> None:
        self._tell(
            {
                "lack": {
                    "member": self._parts.name,
                    "service": wanted.service,
                    "model": wanted.model,
                    "adapter": wanted.adapter,
                }
            }
        )

    def _ask_pace(self, question: PaceQuestion) -> bool:
        return self._tell({"pace": question})

    def _tell(self, message: MemberMessage) -> bool:
        """Send a line to the leader; return whether there is one."""
        if self._writer is None or self._leadership.is_leader_lost():
            return False
        self._writer.write(encode_line(message))
        return True

    def members(self) -> int:
        """Return how many VMs the leader last counted."""
        return self._members

    def answer_age_s(self) -> float:
        """Return how long ago the leader answered."""
        return boot_s() - self._answered_s

    def has_resigned(self) -> bool:
        """Return whether the known leader has said that it leads no more."""
        claim = self._leadership.claim
        return claim is not None and claim.fence == self._resigned_fence

    def is_refused(self) -> bool:
        """Return whether nobody seems to listen where the known leader did."""
        claim = self._leadership.claim
        return claim is not None and claim.fence == self._refused_fence

    async def run(self) -> None:
        """Keep a connection to the leader until cancelled."""
        while True:
            claim = self._leadership.claim
            if claim is not None:
                await self._serve_until_changed(claim)
                if self._leadership.claim != claim:
                    continue
            self._leadership.leader_lost(boot_s())
            self._parts.fleet.peer_load.clear()
            self._parts.usage.allow_isolated(
                self._parts.customers(), self._members, boot_s()
            )
            await asyncio.sleep(RECONNECT_S)

    def claim_changed(self) -> None:
        """Turn to the new leader at once, also while the old one does not answer."""
        if self._serving is not None:
            self._serving.reschedule(asyncio.get_running_loop().time())

    async def _serve_until_changed(self, claim: Claim) -> None:
        try:
            async with asyncio.timeout(None) as self._serving:
                await self._serve(claim)
        except TimeoutError:
            return
        finally:
            self._serving = None

    async def _serve(self, claim: Claim) -> None:
        address = parse_address(claim.address)
        self._connected_fence = claim.fence
        self._parts.suspects.leader_changed()
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    *address, limit=MAX_LINE_BYTES
                )
            self._writer = writer
            writer.write(encode_line({"known": self._known()}))
            async with asyncio.TaskGroup() as group:
                reading = group.create_task(self._read(reader))
                group.create_task(self._report(writer, claim, reading))
        except (OSError, TimeoutError) as error:
            if isinstance(error, ConnectionRefusedError):
                self._refused_fence = claim.fence
            self._log_lost(claim, error)
        except ExceptionGroup as errors:
            _, rest = errors.split((OSError, TimeoutError, ValueError))
            if rest is not None:
                raise
            self._log_lost(claim, errors.exceptions[0])
        finally:
            self._writer = None
            if writer is not None:
                writer.transport.abort()

    async def _report(
        self,
        writer: asyncio.StreamWriter,
        claim: Claim,
        reading: "asyncio.Task[None]",
    ) -> None:
        try:
            while self._leadership.claim == claim:
                self._number += 1
                self._answered.clear()
                self._sent_s = boot_s()
                writer.write(encode_line({"report": self._make_report()}))
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    await self._answered.wait()
                if self.has_resigned():
                    return
                await asyncio.sleep(self._period_s)
        finally:
            reading.cancel()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while line := await reader.readline():
            decoded = decode_line(line)
            if decoded.is_err():
                raise ValueError(f"the leader sent no message: {decoded.err()}")
            message = decoded.ok()
            for plain in message.get("records", ()):
                self._take_record(plain)
            for update in message.get("held", ()):
                self._take_held(update)
            if "given" in message:
                self._take_tokens(message["given"])
            if "paced" in message:
                self.pacing.answered(message["paced"])
            if "suspects" in message:
                self._parts.suspects.take_list(message["suspects"])
            if "answer" in message:
                self._take_answer(message["answer"])
        raise ConnectionResetError("the leader closed the connection")

    def _known(self) -> dict[str, int]:
        shelves = self._parts.shelves.items()
        return {topic: shelf.proof()["next_offset"] for topic, shelf in shelves}

    def _make_report(self) -> MemberReport:
        parts = self._parts
        wants = self.wants
        cutoffs, cleared = parts.suspects.take_news()
        return {
            "member": parts.name,
            "number": self._number,
            "usage": {
                name: tuple(report)
                for name, report in parts.usage.reports(boot_s()).items()
            },
            "load": dict(parts.fleet.own_load),
            "models": [
                {
                    "service": wanted.service,
                    "model": wanted.model,
                    "adapter": wanted.adapter,
                    "running": wants.running.get(wanted, 0),
                    "waiting": wants.lacking.get(wanted, 0),
                }
                for wanted in wants.take_used() | set(wants.lacking)
            ],
            "runs": [
                (server, model, count)
                for (server, model), count in wants.at_servers.items()
            ],
            "doubtful": sorted(parts.fleet.doubtful()),
            "cut_off": [tuple(cutoff) for cutoff in cutoffs],
            "cleared": cleared,
        }

    def _take_answer(self, answer: LeaderAnswer) -> None:
        if answer["number"] != self._number:
            return
        parts = self._parts
        now_s = boot_s()
        self._answered.set()
        if answer["leads"]:
            self._leadership.leader_answered(now_s)
        else:
            # The claim may have changed since the connection was made.
            self._resigned_fence = self._connected_fence
        self._answered_s = now_s
        self._period_s = answer["period_s"]
        self._members = max(1, answer["members"])
        parts.retries.set_members(self._members)
        self._leadership.set_members(self._members)
        if answer["leads"] and not self._leadership.is_mine():
            self._take_proofs(answer)
        self._take_tokens(answer["given"])
        own = parts.fleet.own_load
        parts.fleet.peer_load = {
            name: max(0, total - own.get(name, 0))
            for name, total in answer["load"].items()
        }

    def _take_tokens(self, given: dict[str, float]) -> None:
        now_s = boot_s()
        for name, amount in given.items():
            self._parts.usage.add(name, amount, now_s)

    def _take_record(self, plain: RelayedRecord) -> None:
        shelf = self._parts.shelves.get(plain["topic"])
        if shelf is not None and not self._leadership.is_mine():
            shelf.apply(from_relayed(plain))

    def _take_proofs(self, answer: LeaderAnswer) -> None:
        for topic, proof in answer["topics"].items():
            shelf = self._parts.shelves.get(topic)
            if shelf is not None:
                shelf.take_proof(proof, self._sent_s)
        if all(proof["age_s"] < RELAY_AGE_S for proof in answer["topics"].values()):
            self._relayed_s = boot_s()

    def is_relayed(self) -> bool:
        """Return whether the leader passes the store's records on."""
        limit_s = max(ANSWER_LIMIT_S, RELAY_PERIODS * self._period_s)
        is_mine = self._leadership.is_mine()
        return not is_mine and boot_s() - self._relayed_s < limit_s

    def spare_s(self) -> float:
        """Return how far apart this VM's own tries of a lost store should be.

        The leader's tries serve all VMs that it answers, so the tries of the others
        together stay below a rate; they only matter where the leader alone is cut off.
        """
        is_led = self.answer_age_s() < ANSWER_LIMIT_S + self._period_s
        if self._leadership.is_mine() or not is_led:
            return 0.0
        return self._members / OWN_TRIES_PER_S

    def _take_held(self, update: HeldUpdate) -> None:
        models = {
            name: frozenset(adapters) for name, adapters in update["models"].items()
        }
        held = HeldModels(update["started_ms"], models)
        self._parts.fleet.set_held(update["server"], held)

    def _log_lost(self, claim: Claim, error: BaseException) -> None:
        self._parts.fleet.forget_held()
        log_trouble(
            "leader does not answer",
            leader=claim.leader,
            fence=claim.fence,
            reason=f"{type(error).__name__}: {error}",
        )
