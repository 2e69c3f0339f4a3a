"""Asks control daemons for their status, and finds the others through them."""

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
POLL_S: Final = 0.3
GONE_STATES: Final = frozenset({"dead"})


class VmStatus(NamedTuple):
    """One VM's answer.

    Attributes
    ----------
    address : str
        Its control daemon.
    status : ControlStatus or None
        None when it did not answer.
    error : str
        Why not.
    """

    address: str
    status: ControlStatus | None
    error: str = ""


class Place(NamedTuple):
    """Whether one VM follows a record of the ``config`` stream.

    Attributes
    ----------
    state : {"in_force", "behind", "unknown"}
        Unknown when it did not answer.
    revision : int or None
        The revision in force there.
    """

    address: str
    state: str
    revision: int | None
    detail: str = ""


async def ask_fleet(
    addresses: Iterable[str], tls: TlsFiles | None
) -> tuple[VmStatus, ...]:
    """Return the status of each VM, and of those that they say are alive."""
    channels = Channels(tls)
    try:
        return await _ask_all(channels, tuple(dict.fromkeys(addresses)))
    finally:
        await channels.close()


async def wait_until_followed(
    addresses: Iterable[str],
    tls: TlsFiles | None,
    offset: int,
    wait_s: float,
) -> tuple[Place, ...]:
    """Return where a record is in force, once it is everywhere or time is up.

    Parameters
    ----------
    addresses : iterable of str
        Control daemons to ask; those that they name are asked as well.
    tls : TlsFiles or None
        For mutual TLS.
    offset : int
        The record's offset in the ``config`` stream.
    wait_s : float
        How long to wait for the last one.
    """
    channels = Channels(tls)
    known = tuple(dict.fromkeys(addresses))
    until_s = time.monotonic() + wait_s
    try:
        while True:
            answers = await _ask_all(channels, known)
            places = tuple(_place(answer, offset) for answer in answers)
            if all(place.state == "in_force" for place in places):
                return places
            if time.monotonic() >= until_s:
                return places
            await anyio.sleep(POLL_S)
    finally:
        await channels.close()


async def _ask_all(
    channels: Channels, addresses: tuple[str, ...]
) -> tuple[VmStatus, ...]:
    found: dict[str, VmStatus] = {}
    waiting = list(addresses)
    while waiting:
        async with anyio.create_task_group() as group:
            for address in waiting:
                group.start_soon(_ask_into, channels, address, found)
        waiting = [
            address for address in _named(found.values()) if address not in found
        ]
    return tuple(found[address] for address in sorted(found))


async def _ask_into(
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


def _named(answers: Iterable[VmStatus]) -> list[str]:
    named: dict[str, None] = {}
    for answer in answers:
        if answer.status is None:
            continue
        for member in answer.status.members:
            if member.state not in GONE_STATES:
                named[member.address] = None
    return list(named)


def _place(answer: VmStatus, offset: int) -> Place:
    if answer.status is None:
        return Place(answer.address, "unknown", None, answer.error)
    follows = answer.status.config_offset >= offset
    state = "in_force" if follows else "behind"
    return Place(answer.address, state, answer.status.revision_number)


def describe_places(places: tuple[Place, ...]) -> tuple[str, ...]:
    """Return one line for each VM."""
    texts: dict[str, Callable[[Place], str]] = {
        "in_force": lambda place: f"in force, revision {place.revision}",
        "behind": lambda place: f"not yet, revision {place.revision} in force",
        "unknown": lambda place: f"unknown: not reached ({place.detail})",
    }
    return tuple(f"  {place.address}: {texts[place.state](place)}" for place in places)
