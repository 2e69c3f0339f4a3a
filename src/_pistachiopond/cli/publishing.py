"""``pond check``, ``pond publish`` and ``pond withdraw``."""

import uuid
from pathlib import Path
from typing import Any, NamedTuple

import httpx
from result import Err, Result

from _pistachiopond.cli.config_log import ConfigLog, Recorded, Unreachable
from _pistachiopond.cli.fleet import Place, describe_places, wait_until_followed
from _pistachiopond.cli.report import ExitCode, Report, refused
from _pistachiopond.clients.log import make_log_client
from _pistachiopond.decisions.config import (
    Accepted,
    Refused,
    Withdrawn,
    judge_manifest,
)
from _pistachiopond.decisions.manifest_check import find_faults, find_unplaceable
from _pistachiopond.decisions.stream_reader import Step
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.manifest import Digest, Manifest
from _pistachiopond.schema.records import (
    ConfigState,
    ManifestRecord,
    WithdrawalRecord,
)
from _pistachiopond.schema.settings import TlsFiles


class Target(NamedTuple):
    """Where a command publishes, and whom it asks afterwards.

    Attributes
    ----------
    log_url : str
        The platform's log.
    control : tuple of str
        Control daemons, ``IP:port``; none means that nobody is asked.
    tls : TlsFiles or None
        For mutual TLS with them.
    wait_s : float
        How long each of the two parts may take.
    """

    log_url: str
    control: tuple[str, ...]
    tls: TlsFiles | None
    wait_s: float


class Published(NamedTuple):
    """The data of a publication's report."""

    result: str
    revision: int | None
    publication_id: str
    errors: tuple[str, ...]
    places: tuple[Place, ...]


class WithdrawnKeys(NamedTuple):
    """The data of a withdrawal's report."""

    result: str
    digests: tuple[str, ...]
    offset: int | None
    errors: tuple[str, ...]
    places: tuple[Place, ...]


class Checked(NamedTuple):
    """The data of a check's report."""

    deployment: str
    models: int
    adapters: int
    customers: int
    backend_servers: int


def read_manifest(path: Path) -> Result[Manifest, tuple[str, ...]]:
    """Read and check a manifest file, by itself."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Err((f"{path}: {error.strerror}; name a readable manifest",))
    parsed = from_json(Manifest, text)
    if parsed.is_err():
        return parsed
    manifest = parsed.unwrap()
    faults = find_faults(manifest) or find_unplaceable(manifest, None)
    return Err(faults) if faults else parsed


def check_manifest(path: Path) -> Report:
    """Report whether a manifest would be valid."""
    read = read_manifest(path)
    if read.is_err():
        return refused(read.unwrap_err())
    manifest = read.unwrap()
    data = Checked(
        manifest.deployment,
        len(manifest.models),
        sum(len(model.adapters) for model in manifest.models),
        len(manifest.customers),
        len(manifest.backend_servers),
    )
    line = (
        f"{path}: valid; {data.models} models, {data.adapters} adapters, "
        f"{data.customers} customers, {data.backend_servers} backend servers"
    )
    return Report(ExitCode.DONE, (line,), data)


async def publish_manifest(path: Path, target: Target, replaces: int | None) -> Report:
    """Publish a manifest and report what became of it, and where it is in force."""
    read = read_manifest(path)
    if read.is_err():
        return refused(read.unwrap_err())
    manifest = read.unwrap()
    if replaces is not None:
        manifest = manifest._replace(replaces_revision=replaces)
    record = ManifestRecord(uuid.uuid4().hex, manifest)
    async with httpx.AsyncClient() as http:
        log = ConfigLog(make_log_client(http, target.log_url), target.wait_s)
        before = await log.read_to_tail()
        if before.is_err():
            return _publish_failed(record, before.unwrap_err())
        refusal = judge_manifest(before.unwrap(), record)
        if refusal is not None:
            return _publish_refused(record, refusal)
        recorded = await log.append(to_json(record), _publication(record))
    if recorded.is_err():
        return _publish_failed(record, recorded.unwrap_err())
    return await _publish_done(record, recorded.unwrap(), target)


def _publication(record: ManifestRecord) -> Any:
    def is_ours(step: Step[ConfigState]) -> bool:
        outcome = step.outcome
        if not isinstance(outcome, Accepted | Refused):
            return False
        return outcome.publication_id == record.publication_id

    return is_ours


def _publish_refused(record: ManifestRecord, refusal: Refused) -> Report:
    data = Published(refusal.reason, None, record.publication_id, refusal.details, ())
    lines = (f"refused ({refusal.reason}); nothing has changed", *refusal.details)
    return Report(ExitCode.REFUSED, lines, data)


def _publish_failed(record: ManifestRecord, failure: Unreachable) -> Report:
    if not failure.may_have_taken_effect:
        text = f"not published: the log does not answer ({failure.detail}); try again"
        data = Published("not_published", None, record.publication_id, (text,), ())
        return Report(ExitCode.REFUSED, (text,), data)
    text = (
        f"unknown: the log took the record or not ({failure.detail}); "
        "run `pond status`, then publish again if it is not in force"
    )
    data = Published("unknown", None, record.publication_id, (text,), ())
    return Report(ExitCode.UNKNOWN, (text,), data)


async def _publish_done(
    record: ManifestRecord, recorded: Recorded, target: Target
) -> Report:
    outcome = recorded.outcome
    if isinstance(outcome, Refused):
        return _publish_refused(record, outcome)
    places = await _follow(target, recorded.offset)
    data = Published("accepted", outcome.number, record.publication_id, (), places)
    lines = (f"accepted as revision {outcome.number}", *_describe(places))
    return Report(_code(places), lines, data)


async def withdraw_keys(digests: tuple[Digest, ...], target: Target) -> Report:
    """Withdraw keys and report where the withdrawal is in force."""
    record = WithdrawalRecord(digests)
    checked = from_json(WithdrawalRecord, to_json(record))
    if checked.is_err():
        return refused(checked.unwrap_err())

    def is_ours(step: Step[ConfigState]) -> bool:
        return isinstance(step.outcome, Withdrawn) and step.outcome.digests == digests

    async with httpx.AsyncClient() as http:
        log = ConfigLog(make_log_client(http, target.log_url), target.wait_s)
        before = await log.read_to_tail()
        if before.is_err():
            return _withdraw_failed(digests, before.unwrap_err())
        recorded = await log.append(to_json(record), is_ours)
    if recorded.is_err():
        return _withdraw_failed(digests, recorded.unwrap_err())
    offset = recorded.unwrap().offset
    places = await _follow(target, offset)
    data = WithdrawnKeys("withdrawn", digests, offset, (), places)
    line = f"withdrawn: {len(digests)} key(s), record {offset}"
    return Report(_code(places), (line, *_describe(places)), data)


def _withdraw_failed(digests: tuple[Digest, ...], failure: Unreachable) -> Report:
    text = (
        f"not known to be withdrawn: the log does not answer ({failure.detail}); "
        "run the command again, it does no harm twice"
    )
    data = WithdrawnKeys("unknown", digests, None, (text,), ())
    return Report(ExitCode.UNKNOWN, (text,), data)


async def _follow(target: Target, offset: int) -> tuple[Place, ...]:
    if not target.control:
        return ()
    return await wait_until_followed(target.control, target.tls, offset, target.wait_s)


def _describe(places: tuple[Place, ...]) -> tuple[str, ...]:
    if not places:
        return ("where it is in force is unknown: no --control was given",)
    return describe_places(places)


def _code(places: tuple[Place, ...]) -> ExitCode:
    if all(place.state == "in_force" for place in places):
        return ExitCode.DONE
    return ExitCode.NOT_EVERYWHERE
