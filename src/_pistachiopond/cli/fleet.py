"""Gets the status of control daemons, and finds further daemons through them."""

import time
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

import anyio
from result import Err, Result

from _pistachiopond.schema.codec import from_json
from _pistachiopond.schema.settings import TlsFiles
from _pistachiopond.schema.status import ControlStatus
from _pistachiopond.transport.channels import Channels, call
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc

STATUS_TIMEOUT_S: Final = 3.0
# VMs whose status is asked for; the others are reported as not asked.
MAX_ASKED_VMS: Final = 1000
POLL_PERIOD_S: Final = 0.3
GONE_STATES: Final = frozenset({"dead"})


class VmStatus(NamedTuple):
    """One VM's reply to a status request.

    Attributes
    ----------
    address : str
        The address of the VM's control daemon.
    status : ControlStatus or None
        None if the daemon did not answer.
    error : str
        The reason for a missing status.
    """

    address: str
    status: ControlStatus | None
    error: str = ""


class VmRollout(NamedTuple):
    """Whether a record of the ``config`` stream is in force on one VM.

    Attributes
    ----------
    state : {"in_force", "behind", "unknown"}
        ``unknown`` if the VM did not answer.
    revision : int or None
        The revision in force on the VM.
    """

    address: str
    state: str
    revision: int | None
    detail: str = ""


async def fetch_fleet_status(
    addresses: Iterable[str], tls: TlsFiles | None
) -> tuple[VmStatus, ...]:
    """Return the status of each VM, including the live ones that VMs report."""
    channels = Channels(tls)
    try:
        return await _fetch_all(channels, tuple(dict.fromkeys(addresses)))
    finally:
        await channels.close()


async def wait_until_in_force(
    addresses: Iterable[str],
    tls: TlsFiles | None,
    offset: int,
    wait_s: float,
) -> tuple[VmRollout, ...]:
    """Return where a record is in force, once it is on all VMs or the time is up.

    Parameters
    ----------
    addresses : iterable of str
        Control daemons to ask; the members that they report are asked as well.
    tls : TlsFiles or None
        The files for mutual TLS.
    offset : int
        The record's offset in the ``config`` stream.
    wait_s : float
        How long to wait for all VMs.
    """
    channels = Channels(tls)
    known = tuple(dict.fromkeys(addresses))
    deadline_s = time.monotonic() + wait_s
    try:
        while True:
            answers = await _fetch_all(channels, known)
            rollouts = tuple(_rollout_of(answer, offset) for answer in answers)
            if all(rollout.state == "in_force" for rollout in rollouts):
                return rollouts
            if time.monotonic() >= deadline_s:
                return rollouts
            await anyio.sleep(POLL_PERIOD_S)
    finally:
        await channels.close()


async def _fetch_all(
    channels: Channels, addresses: tuple[str, ...]
) -> tuple[VmStatus, ...]:
    found: dict[str, VmStatus] = {}
    waiting = list(addresses)
    while waiting and len(found) < MAX_ASKED_VMS:
        asked = waiting[: MAX_ASKED_VMS - len(found)]
        async with anyio.create_task_group() as group:
            for address in asked:
                group.start_soon(_fetch_into, channels, address, found)
        waiting = waiting[len(asked) :] or [
            address
            for address in _listed_members(found.values())
            if address not in found
        ]
    if waiting:
        text = (
            f"not asked, nor {len(waiting) - 1} others: more than {MAX_ASKED_VMS} "
            "VMs are listed"
        )
        found[waiting[0]] = VmStatus(waiting[0], None, text)
    return tuple(found[address] for address in sorted(found))


async def _fetch_into(
    channels: Channels, address: str, found: dict[str, VmStatus]
) -> None:
    stub = pond_pb2_grpc.ControlStub(channels.get(address))
    reply = await call(stub.Status, pond_pb2.StatusRequest(), STATUS_TIMEOUT_S)
    if reply.is_err():
        found[address] = VmStatus(address, None, reply.unwrap_err().detail)
        return
    status = _parse(reply.unwrap().status_json)
    if status.is_err():
        found[address] = VmStatus(address, None, "; ".join(status.unwrap_err()))
        return
    found[address] = VmStatus(address, status.unwrap())


def _parse(text: bytes) -> Result[ControlStatus, tuple[str, ...]]:
    if not text:
        return Err(("the answer is empty",))
    return from_json(ControlStatus, text)


def _listed_members(answers: Iterable[VmStatus]) -> list[str]:
    listed: dict[str, None] = {}
    for answer in answers:
        if answer.status is None:
            continue
        for member in answer.status.members:
            if member.state not in GONE_STATES:
                listed[member.address] = None
    return list(listed)


def _rollout_of(answer: VmStatus, offset: int) -> VmRollout:
    if answer.status is None:
        return VmRollout(answer.address, "unknown", None, answer.error)
    follows = answer.status.config_offset >= offset
    state = "in_force" if follows else "behind"
    return VmRollout(answer.address, state, answer.status.revision_number)


def describe_rollouts(rollouts: tuple[VmRollout, ...]) -> tuple[str, ...]:
    """Return one line for each VM."""
    texts: dict[str, Callable[[VmRollout], str]] = {
        "in_force": lambda rollout: f"in force, revision {rollout.revision}",
        "behind": lambda rollout: f"not yet, revision {rollout.revision} in force",
        "unknown": lambda rollout: f"unknown: not reached ({rollout.detail})",
    }
    return tuple(
        f"  {rollout.address}: {texts[rollout.state](rollout)}" for rollout in rollouts
    )
