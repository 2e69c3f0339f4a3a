"""Answers the reports of all VMs; only the leader's answers carry anything."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

from _pistachiopond.decisions.crash_counts import CrashCounts, Cutoff
from _pistachiopond.decisions.leadership import Leadership
from _pistachiopond.decisions.model_plan import ModelDemand
from _pistachiopond.decisions.prompt_pacing import PromptPace, PromptPlace, PromptTerms
from _pistachiopond.decisions.usage import UsageGiver, UsageReport
from _pistachiopond.observe.logs import log_change, log_trouble
from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.deployment import CustomerSpec
from _pistachiopond.schema.peer_messages import (
    HeldUpdate,
    Lack,
    LeaderAnswer,
    LeaderMessage,
    MemberMessage,
    MemberReport,
    PaceAnswer,
    PaceQuestion,
    SuspectList,
    TokenQuestion,
    decode_line,
    encode_line,
)
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import WantedModel
from _pistachiopond.vm.relay import TopicShelf, to_relayed
from _pistachiopond.vm.totals import Totals, add_demand, add_up

# Members that are silent for this long are counted no more.
MEMBER_KEPT_S: Final = 10.0
# The leader answers about this many reports a second, over all members.
REPORTS_PER_S: Final = 250.0
# Adding up the members' reports takes some 0.02 ms a member; at this age of the sums
# for each member, it is below a twentieth of the time.
TOTALS_AGE_PER_MEMBER_S: Final = 0.0005
# Members that have reported within this time are there.
RECENT_S: Final = 1.0
MIN_PERIOD_S: Final = 0.2
MAX_LINE_BYTES: Final = 4 * 1024 * 1024


class HubParts(NamedTuple):
    """What the hub uses.

    Attributes
    ----------
    leadership : Leadership
        Whether this VM leads.
    customers : callable
        Returns the customers of the configuration in force.
    held : callable
        Returns what all engine servers hold.
    on_demand : callable
        Called when a report shows requests that wait.
    shelves : dict of str to TopicShelf
        What this VM knows of the store's topics.
    incarnations : callable
        Returns when each server was started.
    """

    leadership: Leadership
    customers: Callable[[], dict[str, CustomerSpec]]
    held: Callable[[], list[HeldUpdate]]
    on_demand: Callable[[], None]
    shelves: dict[str, TopicShelf]
    incarnations: Callable[[], dict[str, int]]


class _Member(NamedTuple):
    report: MemberReport
    at_s: float


@final
class Hub:
    """What the members have reported, and the connections to them."""

    def __init__(self, parts: HubParts) -> None:
        self._parts = parts
        self._members: dict[str, _Member] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._giver: UsageGiver | None = None
        self._giver_fence = -1
        self._totals = Totals({}, {}, {}, frozenset())
        self._totals_s = float("-inf")
        self._lacks: dict[str, list[WantedModel]] = {}
        self._crashes = CrashCounts()
        self._pace = PromptPace()

    async def run(self, ip: str, port: int) -> None:
        """Listen until cancelled."""
        server = await asyncio.start_server(
            self._serve, ip, port, limit=MAX_LINE_BYTES, reuse_address=True
        )
        async with server:
            await server.serve_forever()

    def push_held(self, updates: list[HeldUpdate]) -> None:
        """Tell all members what has changed at servers."""
        if not updates:
            return
        self._push({"held": updates})

    def push_records(self, topic: str, records: list[KeyedRecord]) -> None:
        """Tell all members what has changed in the store."""
        if self._parts.leadership.is_mine():
            self._push({"records": [to_relayed(topic, item) for item in records]})

    def _push(self, message: LeaderMessage) -> None:
        line = encode_line(message)
        for writer in self._writers:
            writer.write(line)

    def totals(self) -> Totals:
        """Return the requests in progress at servers, over all members."""
        now_s = boot_s()
        if now_s - self._totals_s > TOTALS_AGE_PER_MEMBER_S * len(self._members):
            self._totals_s = now_s
            self._totals = add_up([m.report for m in self._members.values()])
            for lacks in self._lacks.values():
                for wanted in lacks:
                    add_demand(self._totals.demand, wanted, ModelDemand(0.0, 1.0))
        return self._totals

    def drop_silent(self) -> None:
        """Forget the members that have been silent for long."""
        now_s = boot_s()
        self._pace.forget_old(now_s)
        for name, member in list(self._members.items()):
            if now_s - member.at_s > MEMBER_KEPT_S:
                del self._members[name]
                self._lacks.pop(name, None)
                if self._giver is not None:
                    self._giver.forget_member(name)
                log_change("member silent", member=name, members=len(self._members))

    def settle_crashes(self) -> None:
        """Count the servers' crashes that have become certain."""
        now_s = boot_s()
        if self._crashes.settle(self._parts.incarnations(), now_s):
            self._push({"suspects": self._suspects([])})

    def _suspects(self, cleared: list[str]) -> SuspectList:
        suspects = self._crashes.view(boot_s()).suspects
        return {
            "watched": [suspect.fingerprint for suspect in suspects],
            "refused": {
                suspect.fingerprint: round(suspect.expires_in_s, 1)
                for suspect in suspects
                if suspect.standing == "refused"
            },
            "cleared": cleared,
        }

    def _take_crashes(self, report: MemberReport, now_s: float) -> None:
        for plain in report["cut_off"]:
            self._crashes.cut_off(Cutoff(*plain), now_s)
        for fingerprint in report["cleared"]:
            self._crashes.cleared(fingerprint, now_s)
        if report["cleared"]:
            self._push({"suspects": self._suspects(report["cleared"])})

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                decoded = decode_line(line)
                if decoded.is_err():
                    log_trouble("report cannot be read", reason=decoded.err())
                    break
                answer = self._take(decoded.ok())
                if answer:
                    writer.write(encode_line(answer))
        except (KeyError, OSError, TypeError, ValueError) as error:
            reason = f"{type(error).__name__}: {error}"
            log_trouble("member's connection ended", reason=reason)
        except asyncio.CancelledError:
            # The process ends; the streams' own callback would log it as an error.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def _take(self, plain: dict[str, Any]) -> LeaderMessage:
        message: MemberMessage = plain  # type: ignore[assignment]
        if "known" in message:
            return self._greeting(message["known"])
        if "pace" in message:
            return {"paced": self._pace_prompt(message["pace"])}
        if "tokens" in message:
            return {"given": self._give_tokens(message["tokens"])}
        if "lack" in message:
            self._take_lack(message["lack"])
            return {}
        return {"answer": self._answer(message["report"])}

    def report_period_s(self) -> float:
        """Return the time between two reports of a member."""
        return max(MIN_PERIOD_S, len(self._members) / REPORTS_PER_S)

    def _take_lack(self, lack: Lack) -> None:
        wanted = WantedModel(lack["service"], lack["model"], lack["adapter"])
        self._lacks.setdefault(lack["member"], []).append(wanted)
        add_demand(self._totals.demand, wanted, ModelDemand(0.0, 1.0))
        self._parts.on_demand()

    def _give_tokens(self, question: TokenQuestion) -> dict[str, float]:
        usage = {question["customer"]: question["usage"]}
        return self._give(question["member"], usage, boot_s())

    def _pace_prompt(self, question: PaceQuestion) -> PaceAnswer:
        places = [PromptPlace(*place) for place in question["places"]]
        terms = PromptTerms(question["gap_aim_s"], question["most_s"])
        load = self.totals().load
        paced = self._pace.book(places, terms, load, self.report_period_s(), boot_s())
        return {
            "number": question["number"],
            "place": paced.place,
            "wait_s": round(paced.wait_s, 3),
        }

    def _greeting(self, known: dict[str, int]) -> LeaderMessage:
        """Return what a new member cannot know yet."""
        if not self._parts.leadership.is_mine():
            return {}
        records = [
            to_relayed(topic, record)
            for topic, shelf in self._parts.shelves.items()
            for record in shelf.records()
            if record.offset >= known.get(topic, -1)
        ]
        return {
            "held": self._parts.held(),
            "records": records,
            "suspects": self._suspects([]),
        }

    def _answer(self, report: MemberReport) -> LeaderAnswer:
        now_s = boot_s()
        leadership = self._parts.leadership
        if report["member"] not in self._members:
            log_change("member seen", member=report["member"])
        self._members[report["member"]] = _Member(report, now_s)
        self._take_crashes(report, now_s)
        self._lacks.pop(report["member"], None)
        leads = leadership.leads(now_s)
        if any(use["waiting"] for use in report["models"]):
            self._parts.on_demand()
        return {
            "number": report["number"],
            "leads": leads,
            "given": self._give(report["member"], report["usage"], now_s),
            "load": self.totals().load,
            "members": len(self._members),
            "period_s": self.report_period_s(),
            "topics": {
                topic: shelf.proof() for topic, shelf in self._parts.shelves.items()
            },
        }

    def _give(
        self,
        member: str,
        usages: dict[str, tuple[float, float, float, float]],
        now_s: float,
    ) -> dict[str, float]:
        leadership = self._parts.leadership
        if not leadership.is_mine():
            return {}
        assert leadership.claim is not None
        if self._giver is None or self._giver_fence != leadership.claim.fence:
            self._giver = UsageGiver(now_s)
            self._giver_fence = leadership.claim.fence
        may_give = self._may_give(now_s)
        customers = self._parts.customers()
        given: dict[str, float] = {}
        for name, usage in usages.items():
            customer = customers.get(name)
            if customer is None or customer.rate_per_s <= 0:
                continue
            if not may_give:
                # Nothing may accrue meanwhile either.
                customer = customer._replace(rate_per_s=0.0, burst=0.0)
            amount = self._giver.give(
                member,
                customer,
                UsageReport(*usage),
                now_s,
            )
            if amount > 0:
                given[name] = round(amount, 1)
        return given

    def _may_give(self, now_s: float) -> bool:
        """Return whether this VM may give out parts of the limits.

        Without authority another leader may have been chosen by the members that do
        not report here any more, so nothing is given unless all of them still do.
        """
        if self._parts.leadership.may_act(now_s):
            return True
        return all(now_s - m.at_s < RECENT_S for m in self._members.values())
