"""Parts of prompts that this VM knows as sound, suspects or has to refuse."""

import asyncio
import hashlib
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.part_suspects import (
    MAX_PARTS_PER_REQUEST,
    TRIAL_PHASE_S,
    LostRequest,
    SoundParts,
)
from _pistachiopond.schema.caller_request import CallerRequest
from _pistachiopond.schema.deployment import BackendServer, Incarnation
from _pistachiopond.schema.peer_messages import (
    LostParts,
    SuspectList,
    TrialReply,
    TrialRequest,
)
from _pistachiopond.vm.clock import boot_s

# Callers choose the ids of parts, so only digests of this size are kept and sent.
PART_DIGEST_BYTES: Final = 8
# Of a prompt, only so many parts are looked at: a head can name thousands, each of
# which would take the place of a part that is known as sound.
MAX_PROMPT_PARTS: Final = 64
# Lost requests are kept for this long, to be reported again to a new leader.
LOST_RETENTION_S: Final = 60.0
MAX_LOST: Final = 256
MAX_LOST_PER_REPORT: Final = 64
# A request asks the leader for a trial at most this often, and waits this long.
TRIAL_ASK_PERIOD_S: Final = 1.0
TRIAL_REPLY_TIMEOUT_S: Final = 0.3
# Retry-After while only trials may run.
MIN_REFUSAL_S: Final = 1.0


class PartBlock(NamedTuple):
    """Why a request must not reach a server.

    Attributes
    ----------
    part : str
        Digest of the refused part.
    for_s : float
        How long the refusal still lasts.
    """

    part: str
    for_s: float


class _Refused(NamedTuple):
    until_s: float
    level: int
    is_tied: bool


def digest_parts(caller: CallerRequest) -> tuple[str, ...]:
    """Return digests of the parts of a prompt that requests may share.

    The last part belongs to the request itself. Parts beyond the first
    `MAX_PROMPT_PARTS` are left out.
    """
    return tuple(
        hashlib.blake2b(
            part.part_id.encode(), digest_size=PART_DIGEST_BYTES
        ).hexdigest()
        for part in caller.prompt[:-1][:MAX_PROMPT_PARTS]
    )


def digest_request(fingerprint: str, caller: CallerRequest) -> str:
    """Return a digest that retries of one request have in common."""
    own = caller.prompt[-1].part_id if caller.prompt else ""
    text = f"{fingerprint}/{own}".encode()
    return hashlib.blake2b(text, digest_size=PART_DIGEST_BYTES).hexdigest()


@final
class PartWatch:
    """The VM's evidence on parts of prompts, and the leader's list of all VMs'."""

    def __init__(self) -> None:
        self._sound = SoundParts()
        self._lost: dict[tuple[Incarnation, str], LostRequest] = {}
        self._unreported: dict[tuple[Incarnation, str], LostRequest] = {}
        self._watched: frozenset[str] = frozenset()
        self._told: set[str] = set()
        self._refused: dict[str, _Refused] = {}
        self._has_new_leader = True
        self._is_leader_aware = False
        self._send: Callable[[TrialRequest], bool] = lambda _: False
        self._trial_number = 0
        self._trial_asked_s = float("-inf")
        self._trial_reply: asyncio.Future[bool] | None = None

    def set_sender(self, send: Callable[[TrialRequest], bool]) -> None:
        """Set how a trial is requested of the leader."""
        self._send = send

    def record_sound(self, parts: Sequence[str]) -> None:
        """Record that a request with these parts ran well."""
        now_s = boot_s()
        for part in parts:
            self._sound.add(part, now_s)

    def record_lost(
        self, request: str, parts: Sequence[str], server: BackendServer
    ) -> None:
        """Record that a server ended the connection of a request."""
        now_s = boot_s()
        unknown = [part for part in parts if not self._sound.knows(part, now_s)]
        if not unknown:
            return
        if len(self._lost) >= MAX_LOST:
            self._forget_old()
        key = (server.incarnation(), request)
        if len(self._lost) >= MAX_LOST or key in self._lost:
            return
        distinct = tuple(dict.fromkeys(unknown))[:MAX_PARTS_PER_REQUEST]
        self._lost[key] = LostRequest(request, distinct, now_s)
        self._unreported[key] = self._lost[key]

    def take_report(self) -> tuple[list[LostParts], list[str]]:
        """Return what the leader has to know of new lost requests and sound parts."""
        now_s = boot_s()
        lost: list[LostParts] = []
        for key in list(self._unreported)[:MAX_LOST_PER_REPORT]:
            (server_id, started_ms), _ = key
            item = self._unreported.pop(key)
            parts = [p for p in item.parts if not self._sound.knows(p, now_s)]
            age_s = round(now_s - item.lost_s, 3)
            if parts:
                lost.append((server_id, started_ms, item.request, age_s, parts))
        sound = [
            part
            for part in sorted(self._watched - self._told)
            if self._sound.knows(part, now_s)
        ]
        self._told.update(sound)
        return lost, sound

    def take_refusals(self) -> dict[str, tuple[float, int]]:
        """Return the refusals in force, once for each leader."""
        if not self._has_new_leader:
            return {}
        self._has_new_leader = False
        now_s = boot_s()
        self._drop_expired(now_s)
        return {
            part: (round(refused.until_s - now_s, 1), refused.level)
            for part, refused in self._refused.items()
        }

    def leader_changed(self) -> None:
        """Report the recent evidence and the refusals again, to a new leader."""
        self._forget_old()
        self._unreported = dict(self._lost)
        self._told.clear()
        self._has_new_leader = True
        self._is_leader_aware = False

    def apply_list(self, plain: SuspectList) -> None:
        """Apply the leader's list; what it does not know stays refused here."""
        if "watched_parts" not in plain:
            return
        now_s = boot_s()
        self._is_leader_aware = True
        self._watched = frozenset(plain["watched_parts"])
        self._told &= self._watched
        tied = frozenset(plain.get("tied_parts", ()))
        for part in plain.get("cleared_parts", ()):
            self._refused.pop(part, None)
            self._sound.add(part, now_s)
        for part, (for_s, level) in plain.get("refused_parts", {}).items():
            self._refused[part] = _Refused(now_s + for_s, level, part in tied)
        self._drop_expired(now_s)

    def has_refused(self) -> bool:
        """Return whether any part is refused."""
        return bool(self._refused)

    def block_of(self, parts: Sequence[str]) -> PartBlock | None:
        """Return why a request with these parts must not run; None if it may."""
        now_s = boot_s()
        self._drop_expired(now_s)
        blocks = [
            PartBlock(part, max(MIN_REFUSAL_S, self._refused[part].until_s - now_s))
            for part in parts
            if part in self._refused
        ]
        return max(blocks, key=lambda block: block.for_s, default=None)

    async def may_try(self, parts: Sequence[str]) -> bool:
        """Ask the leader whether one request with refused parts may run."""
        now_s = boot_s()
        refused = [self._refused[part] for part in parts if part in self._refused]
        is_due = all(item.is_tied or item.until_s <= now_s for item in refused)
        is_recent = now_s - self._trial_asked_s < TRIAL_ASK_PERIOD_S
        if not is_due or is_recent or not self._is_leader_aware:
            return False
        self._trial_asked_s = now_s
        self._trial_number += 1
        if not self._send({"number": self._trial_number, "parts": list(parts)}):
            return False
        reply = asyncio.get_running_loop().create_future()
        self._trial_reply = reply
        try:
            async with asyncio.timeout(TRIAL_REPLY_TIMEOUT_S):
                return await reply
        except TimeoutError:
            return False

    def take_trial_reply(self, reply: TrialReply) -> None:
        """Pass the leader's reply to the request that waits for it."""
        waiting = self._trial_reply
        is_last = reply["number"] == self._trial_number
        if waiting is not None and is_last and not waiting.done():
            waiting.set_result(reply["may_run"])

    def counts(self) -> tuple[int, int]:
        """Return how many parts are refused, and how many are known as sound."""
        return len(self._refused), len(self._sound)

    def _drop_expired(self, now_s: float) -> None:
        if any(now_s >= r.until_s + TRIAL_PHASE_S for r in self._refused.values()):
            self._refused = {
                part: refused
                for part, refused in self._refused.items()
                if now_s < refused.until_s + TRIAL_PHASE_S
            }

    def _forget_old(self) -> None:
        now_s = boot_s()
        self._lost = {
            key: lost
            for key, lost in self._lost.items()
            if now_s - lost.lost_s < LOST_RETENTION_S
        }
