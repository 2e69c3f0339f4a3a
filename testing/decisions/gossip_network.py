"""Simulated network of control daemons that exchange heartbeats on a virtual clock."""

from collections.abc import Callable
from typing import final

from _pistachiopond.decisions.member_types import Identity, ListedDaemon
from _pistachiopond.decisions.membership import MemberTable
from _pistachiopond.schema.heartbeat import (
    MAX_HINTS,
    Heartbeat,
    LogStatement,
    OwnerHint,
)

OWNERS = tuple(
    OwnerHint(f"customers-{index}", 1234567, "10.0.0.1:7000")
    for index in range(MAX_HINTS)
)


def identity_of(index: int, centres: int = 2, start: int = 0) -> Identity:
    return Identity(
        f"10.0.{index // 250}.{index % 250}:7000",
        f"dc-{index % centres}",
        f"{start:013d}-{index}",
    )


def heartbeat_of(member_table: MemberTable, *, is_reply: bool) -> Heartbeat:
    """Return a heartbeat with all the parts that a real one may contain."""
    own = LogStatement(
        member_table.me.address, member_table.me.data_centre, True, 0.5, 7, 0.0
    )
    statements = tuple(
        own._replace(data_centre=name, age_s=1.25)
        for name in sorted(member_table.data_centres())
    )
    return Heartbeat(
        *member_table.me,
        beat=member_table.beat,
        own=own,
        statements=statements if is_reply else (),
        owners=OWNERS,
        rumours=member_table.rumours(),
        peers=member_table.peer_hints(),
    )


@final
class GossipNetwork:
    """Daemons that tick once a second; the test cuts links, hangs and kills daemons."""

    def __init__(self, count: int, centres: int = 2) -> None:
        self.now_s = 0.0
        self.member_tables = {
            item.address: MemberTable(item, (), 0.0)
            for item in (identity_of(index, centres) for index in range(count))
        }
        self.dead: set[str] = set()
        self.hung: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.messages = 0
        self.on_message: Callable[[Heartbeat], None] = lambda heartbeat: None
        self.list_all()

    def list_all(self) -> None:
        listed = [
            ListedDaemon(member_table.me.address, member_table.me.data_centre, False)
            for member_table in self.member_tables.values()
        ]
        for member_table in self.member_tables.values():
            member_table.take_list(listed, self.now_s)

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now_s += 1.0
            for address, member_table in self.member_tables.items():
                if address in self.dead:
                    continue
                makes_progress = address not in self.hung
                targets = member_table.tick(self.now_s, makes_progress=makes_progress)
                for target in targets:
                    self._exchange(address, target)

    def _exchange(self, sender: str, target: str) -> None:
        if target in self.dead or (sender, target) in self.cuts:
            return
        request = heartbeat_of(self.member_tables[sender], is_reply=False)
        self._count(request)
        self.member_tables[target].take_heartbeat(request, self.now_s)
        if (target, sender) in self.cuts:
            return
        reply = heartbeat_of(self.member_tables[target], is_reply=True)
        self._count(reply)
        self.member_tables[sender].take_heartbeat(reply, self.now_s)

    def _count(self, heartbeat: Heartbeat) -> None:
        self.messages += 1
        self.on_message(heartbeat)

    def members_seen_by(self, address: str) -> set[str]:
        members = self.member_tables[address].members(self.now_s)
        return {member.address for member in members}
