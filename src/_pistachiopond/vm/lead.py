"""Claims the lead in the platform's store, and keeps its authority proved."""

import json
from collections.abc import Callable
from typing import Final, final

import anyio

from _pistachiopond.decisions.leadership import Claim, Leadership
from _pistachiopond.observe.logs import log_change, log_trouble
from _pistachiopond.platform.store import OWN_TOPIC, KeyedRecord, StoreClient
from _pistachiopond.schema.vm_settings import VmSettings
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.follow import proved_s

LEADER_KEY: Final = "leader"
# The leader's reads prove its authority, so two must fit into it.
PROOF_WAIT_S: Final = 0.4
PROOF_LIMIT_S: Final = 0.9
CALL_LIMIT_S: Final = 1.0
# While the leader does not answer, its claim is read again this often, or less often so
# that all VMs together stay below a rate.
LOOK_PERIOD_S: Final = 0.4
LOOKS_PER_S: Final = 100.0
# A claim follows a look at the newest one, unless that is younger than this.
FRESH_LOOK_S: Final = 0.1
IDLE_S: Final = 0.05


@final
class LeadService:
    """One VM's part in choosing the leader."""

    def __init__(
        self,
        store: StoreClient,
        leadership: Leadership,
        settings: VmSettings,
        incarnation: str,
        has_resigned: Callable[[], bool],
        is_refused: Callable[[], bool],
        on_change: Callable[[], None],
        members: Callable[[], int],
    ) -> None:
        self._store = store
        self._leadership = leadership
        self._settings = settings
        self._incarnation = incarnation
        self._has_resigned = has_resigned
        self._is_refused = is_refused
        self._on_change = on_change
        self._members = members
        self._looked_s = float("-inf")
        self.is_stopping = False

    async def run(self) -> None:
        """Follow the claims until cancelled."""
        while True:
            if self._leadership.leads(boot_s()) and not self.is_stopping:
                await self._prove()
                continue
            now_s = boot_s()
            is_lost = self._leadership.is_leader_lost()
            period_s = max(LOOK_PERIOD_S, self._members() / LOOKS_PER_S)
            if is_lost and now_s - self._looked_s >= period_s:
                await self._look()
            await self._claim_if_due()
            await anyio.sleep(IDLE_S)

    async def resign(self) -> None:
        """Give the lead up, so that another VM takes it at once."""
        self.is_stopping = True
        if self._leadership.is_mine():
            self._leadership.resign()
            log_change("lead given up", fence=self._fence())

    async def _look(self) -> None:
        sent_s = self._looked_s = boot_s()
        answer = await self._store.read_newest(OWN_TOPIC, CALL_LIMIT_S)
        if answer.is_err():
            if answer.err().kind == "absent":
                self._leadership.read(None, 0, sent_s)
            return
        snapshot = answer.ok()
        self._note(_newest_claim(snapshot.records), snapshot.end, sent_s)

    async def _prove(self) -> None:
        offset = self._leadership.end_offset
        assert offset is not None
        sent_s = boot_s()
        answer = await self._store.read_tail(
            OWN_TOPIC, offset, PROOF_WAIT_S, PROOF_LIMIT_S
        )
        if answer.is_err():
            if answer.err().kind == "expired":
                await self._look()
            await anyio.sleep(IDLE_S)
            return
        page = answer.ok()
        read_s = proved_s(page, sent_s, PROOF_WAIT_S)
        self._note(_newest_claim(page.records), max(page.end, offset), read_s)

    def _note(self, claim: Claim | None, end_offset: int, read_s: float) -> None:
        known = self._leadership.claim
        self._leadership.read(claim, end_offset, read_s)
        if self._leadership.claim != known and claim is not None:
            log_change("leader seen", leader=claim.leader, fence=claim.fence)
            self._on_change()

    async def _claim_if_due(self) -> None:
        leadership = self._leadership
        if not self._may_claim():
            return
        if boot_s() - self._looked_s > FRESH_LOOK_S:
            await self._look()
            if not self._may_claim():
                return
        now_s = boot_s()
        has_resigned = self._has_resigned()
        offset = leadership.end_offset
        assert offset is not None
        leadership.claim_sent(now_s)
        address = self._settings.peer_address
        value = {
            "leader": self._settings.name,
            "incarnation": self._incarnation,
            "address": f"{address.ip}:{address.port}",
        }
        answer = await self._store.append(
            OWN_TOPIC, LEADER_KEY, json.dumps(value).encode(), offset, CALL_LIMIT_S
        )
        if answer.is_ok():
            claim = Claim(answer.ok(), *value.values())
            leadership.claimed(claim, now_s, has_resigned=has_resigned)
            log_change("lead claimed", fence=claim.fence)
            self._on_change()
            return
        log_trouble(
            "claim of the lead failed",
            kind=answer.err().kind,
            detail=answer.err().detail,
        )
        await self._look()

    def _may_claim(self) -> bool:
        # A refused connection is no proof that the leader has ended, since a broken
        # network may refuse too: its lead is claimed, but not acted on at once.
        is_free = self._has_resigned() or self._is_refused()
        return not self.is_stopping and self._leadership.may_claim(
            boot_s(), has_resigned=is_free
        )

    def _fence(self) -> int:
        return -1 if self._leadership.claim is None else self._leadership.claim.fence


def _newest_claim(records: tuple[KeyedRecord, ...]) -> Claim | None:
    claims = [claim for claim in map(_decode, records) if claim is not None]
    return claims[-1] if claims else None


def _decode(record: KeyedRecord) -> Claim | None:
    if record.key != LEADER_KEY or not record.value:
        return None
    try:
        plain = json.loads(record.value)
        return Claim(
            record.offset, plain["leader"], plain["incarnation"], plain["address"]
        )
    except (KeyError, TypeError, ValueError) as error:
        log_trouble("claim cannot be read", offset=record.offset, reason=str(error))
        return None
