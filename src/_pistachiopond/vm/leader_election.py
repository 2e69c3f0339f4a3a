"""Leader election by conditional appends to a topic of the platform's store.

The store appends a claim only if the topic still ends at the offset that the claiming
VM has read, so only one of several competing claims succeeds. The position of the
newest claim is the leader's fencing token.

A claim's record says in which era of the store it was made. A claim that the store
appends only after it has come back from an older copy carries the earlier era, and no
VM takes it for valid.
"""

import json
from collections.abc import Callable
from typing import Final, NotRequired, TypedDict, final

import anyio
from result import Err, Ok, Result

from _pistachiopond.decisions.leader_reach import claim_handicap_s, should_hand_over
from _pistachiopond.decisions.leadership import Claim, Leadership
from _pistachiopond.http1.messages import parse_address
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.store import OWN_TOPIC, KeyedRecord, StoreClient
from _pistachiopond.schema.json_decoding import Count, make_decoder
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.schema.vm_settings import VmSettings
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.server_reach import ServerReach
from _pistachiopond.vm.store_calls import StoreContact
from _pistachiopond.vm.topic_follower import page_current_as_of_s

LEADER_KEY: Final = "leader"
# Each read of the claims confirms the leader's authority for `AUTHORITY_S` of
# `decisions.leadership`, so two reads must fit into that time.
AUTHORITY_READ_WAIT_S: Final = 0.4
AUTHORITY_READ_TIMEOUT_S: Final = 0.9
STORE_TIMEOUT_S: Final = 1.0
# Period of claim reads while the leader does not answer; longer with many VMs, so
# that all VMs together stay below the rate.
CLAIM_READ_PERIOD_S: Final = 0.4
MAX_CLAIM_READS_PER_S: Final = 100.0
# While the store turns this VM away, the pause between reads grows up to this.
MAX_CLAIM_READ_PAUSE_S: Final = 1.6
# Least pause after a read or claim that failed, also of the leader's reads. Several
# tries fit into the time after which it gives up.
FAILED_READ_PAUSE_S: Final = 0.2
# Before a VM claims, it reads the newest claim unless its last read is younger.
MAX_CLAIM_READ_AGE_S: Final = 0.1
LOOP_PAUSE_S: Final = 0.05


@final
class LeaderElection:
    """Claims the lead for this VM when it is free, and renews its authority."""

    def __init__(
        self,
        store: StoreClient,
        leadership: Leadership,
        settings: VmSettings,
        incarnation: str,
        has_resigned: Callable[[], bool],
        is_connection_refused: Callable[[], bool],
        on_change: Callable[[], None],
        member_count: Callable[[], int],
        reach: ServerReach,
        members_unreachable: Callable[[], list[frozenset[str]]],
        contact: StoreContact,
    ) -> None:
        self._store = store
        self._leadership = leadership
        self._settings = settings
        self._incarnation = incarnation
        self._has_resigned = has_resigned
        self._is_connection_refused = is_connection_refused
        self._on_change = on_change
        self._member_count = member_count
        self._reach = reach
        self._members_unreachable = members_unreachable
        self._contact = contact
        # When the last read that succeeded, or the last read at all, was sent.
        self._claims_read_s = float("-inf")
        self._read_sent_s = float("-inf")
        self._failed_reads = 0
        self._has_renewal_failed = False
        # Called with the records and the newest claim of each snapshot.
        self.on_snapshot: Callable[
            [tuple[KeyedRecord, ...], Claim | None, int], None
        ] = _ignore_snapshot
        self.is_stopping = False

    async def run(self) -> None:
        """Take part in the election until cancelled."""
        while True:
            self._leadership.set_handicap_s(claim_handicap_s(self._reach.unreachable()))
            if self._leadership.is_leading(boot_s()) and not self.is_stopping:
                if self._hand_over_if_cut_off():
                    continue
                await self._renew_authority()
                if self._leadership.is_void():
                    await self._claim_if_due()
                continue
            is_lost = self._leadership.is_leader_lost()
            if is_lost and boot_s() - self._read_sent_s >= self._read_period_s():
                await self._read_claims()
            await self._claim_if_due()
            if self._failed_reads and is_lost:
                pause_s = self._read_period_s() * min(self._failed_reads, 4)
                await self._contact.pause(
                    FAILED_READ_PAUSE_S, min(pause_s, MAX_CLAIM_READ_PAUSE_S)
                )
            await anyio.sleep(LOOP_PAUSE_S)

    def _read_period_s(self) -> float:
        return max(CLAIM_READ_PERIOD_S, self._member_count() / MAX_CLAIM_READS_PER_S)

    async def resign(self) -> None:
        """Give up the lead, so that another VM can claim it without a timeout."""
        self.is_stopping = True
        if self._leadership.is_mine():
            self._leadership.resign()
            log_change("lead given up", fence=self._fence())

    def _hand_over_if_cut_off(self) -> bool:
        unreachable = self._reach.unreachable()
        if not should_hand_over(
            unreachable, self._reach.unreachable_for_s(), self._members_unreachable()
        ):
            return False
        self._leadership.resign()
        log_change(
            "lead given up", fence=self._fence(), unreachable=sorted(unreachable)
        )
        return True

    async def _read_claims(self) -> None:
        sent_s = self._read_sent_s = boot_s()
        result = await self._store.read_newest(OWN_TOPIC, STORE_TIMEOUT_S)
        if result.is_err():
            failure = result.err()
            if failure.kind != "absent":
                self._failed_reads += 1
            else:
                self._claims_read_s, self._failed_reads = sent_s, 0
                self.on_snapshot((), None, failure.era)
                self._record_claim(None, StorePosition(failure.era, 0), sent_s)
            return
        self._claims_read_s, self._failed_reads = sent_s, 0
        snapshot = result.ok()
        claim = _newest_claim(snapshot.records)
        self.on_snapshot(snapshot.records, claim, snapshot.end.era)
        self._record_claim(claim, snapshot.end, sent_s)

    async def _renew_authority(self) -> None:
        position = self._leadership.end
        assert position is not None
        sent_s = boot_s()
        # After a failure the read does not wait for records, so that a standstill of
        # this process or a refusal of one read does not cost the lead.
        wait_s = 0.0 if self._has_renewal_failed else AUTHORITY_READ_WAIT_S
        result = await self._store.read_tail(
            OWN_TOPIC, position, wait_s, AUTHORITY_READ_TIMEOUT_S
        )
        self._has_renewal_failed = result.is_err()
        if result.is_err():
            if result.err().kind in ("expired", "restored"):
                await self._read_claims()
                await anyio.sleep(LOOP_PAUSE_S)
                return
            passed_s = boot_s() - sent_s
            await anyio.sleep(max(LOOP_PAUSE_S, FAILED_READ_PAUSE_S - passed_s))
            return
        page = result.ok()
        read_s = page_current_as_of_s(page, sent_s, wait_s)
        end = max(page.end, position)
        self._record_claim(_newest_claim(page.records), end, read_s)

    def _record_claim(
        self, claim: Claim | None, end: StorePosition, read_s: float
    ) -> None:
        known = self._leadership.claim
        was_void = self._leadership.is_void()
        self._leadership.read(claim, end, read_s)
        if known is not None and self._leadership.is_void() and not was_void:
            log_warning(
                "claim void, the store came back from an older copy",
                leader=known.leader,
                fence=known.fence,
                era=end.era,
            )
        if self._leadership.claim != known and claim is not None:
            log_change("leader seen", leader=claim.leader, fence=claim.fence)
            self._on_change()

    async def _claim_if_due(self) -> None:
        leadership = self._leadership
        if not self._may_claim():
            return
        if boot_s() - self._claims_read_s > MAX_CLAIM_READ_AGE_S:
            await self._read_claims()
            if self._failed_reads or not self._may_claim():
                return
        now_s = boot_s()
        has_resigned = self._has_resigned()
        end = leadership.end
        assert end is not None
        leadership.claim_sent(now_s)
        address = self._settings.peer_address
        value = {
            "leader": self._settings.name,
            "incarnation": self._incarnation,
            "address": f"{address.ip}:{address.port}",
        }
        holders = leadership.turns.earlier_holders(end.era, now_s)
        extras: dict[str, object] = {"era": end.era}
        if holders is not None:
            extras["earlier_holders"] = holders
        encoded = json.dumps(value | extras).encode()
        result = await self._store.append(
            OWN_TOPIC, LEADER_KEY, encoded, end, STORE_TIMEOUT_S
        )
        if result.is_ok() and result.ok().era == end.era:
            claim = Claim(result.ok(), *value.values(), holders)
            leadership.claimed(claim, now_s, has_resigned=has_resigned)
            log_change("lead claimed", fence=claim.fence)
            self._on_change()
            return
        if result.is_ok():
            detail = f"appended in era {result.ok().era} for era {end.era}"
            log_warning("claim of the lead failed", kind="restored", detail=detail)
        else:
            failure = result.err()
            log_warning(
                "claim of the lead failed", kind=failure.kind, detail=failure.detail
            )
        if result.is_err() and result.err().kind == "moved":
            # Another VM has claimed. Without its claim this VM has no leader.
            await self._read_claims()
            return
        # The store turns this VM away. A read precedes its next claim.
        self._read_sent_s, self._claims_read_s = now_s, float("-inf")

    def _may_claim(self) -> bool:
        # A refused connection does not prove that the leader's process has ended,
        # since a broken network may refuse connections too. So the lead may be
        # claimed at once, but this VM acts on it only after the handover time.
        is_lead_free = self._has_resigned() or self._is_connection_refused()
        return not self.is_stopping and self._leadership.may_claim(
            boot_s(), has_resigned=is_lead_free
        )

    def _fence(self) -> int:
        return -1 if self._leadership.claim is None else self._leadership.claim.fence


def _ignore_snapshot(
    records: tuple[KeyedRecord, ...], claim: Claim | None, era: int
) -> None:
    """Ignore the records; this VM keeps no others than claims."""


class _PlainClaim(TypedDict):
    leader: str
    incarnation: str
    address: str
    # Builds that do not know eras write none.
    era: NotRequired[Count]
    # Builds that do not know turns write none.
    earlier_holders: NotRequired[tuple[str, ...]]


_decode_claim: Final = make_decoder(_PlainClaim)


def _newest_claim(records: tuple[KeyedRecord, ...]) -> Claim | None:
    claims = [claim for claim in map(_decode, records) if claim is not None]
    return claims[-1] if claims else None


def _decode(record: KeyedRecord) -> Claim | None:
    if record.key != LEADER_KEY or not record.value:
        return None
    offset = record.position.offset
    decoded = _decode_claim(record.value).and_then(_check_address)
    if decoded.is_err():
        log_warning("claim cannot be read", offset=offset, reason=decoded.err())
        return None
    plain = decoded.ok()
    position = StorePosition(plain.get("era", 0), offset)
    return Claim(
        position,
        plain["leader"],
        plain["incarnation"],
        plain["address"],
        plain.get("earlier_holders"),
    )


def _check_address(plain: _PlainClaim) -> Result[_PlainClaim, str]:
    try:
        parse_address(plain["address"])
    except ValueError as error:
        return Err(str(error))
    return Ok(plain)
