"""``pond check``, ``pond publish`` and ``pond withdraw``."""

import uuid
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Result

from _pistachiopond.cli.config_log import ConfigLog, LogUnreachable, RecordFound
from _pistachiopond.cli.fleet import VmRollout, describe_rollouts, wait_until_in_force
from _pistachiopond.cli.report import ExitCode, Report, refused_report
from _pistachiopond.clients.log import make_log_client
from _pistachiopond.clients.reply_client import (
    MAX_LOG_REPLY_BYTES,
    make_reply_client,
)
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


class PublishTarget(NamedTuple):
    """The log that a command writes to and the control daemons that it asks.

    Attributes
    ----------
    log_url : str
        The platform's log.
    control : tuple of str
        Control daemons, ``IP:port``; if empty, the rollout is not checked.
    tls : TlsFiles or None
        The files for mutual TLS with them.
    wait_s : float
        The time limit for the log, and again for the rollout.
    """

    log_url: str
    control: tuple[str, ...]
    tls: TlsFiles | None
    wait_s: float


class PublishResult(NamedTuple):
    """The data in the report of a publication."""

    result: str
    revision: int | None
    publication_id: str
    errors: tuple[str, ...]
    places: tuple[VmRollout, ...]


class WithdrawResult(NamedTuple):
    """The data in the report of a withdrawal."""

    result: str
    digests: tuple[str, ...]
    offset: int | None
    errors: tuple[str, ...]
    places: tuple[VmRollout, ...]


class CheckResult(NamedTuple):
    """The data in the report of a manifest check."""

    deployment: str
    models: int
    adapters: int
    customers: int
    backend_servers: int


def read_manifest(path: Path) -> Result[Manifest, tuple[str, ...]]:
    """Read and validate a manifest file on its own."""
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
    """Report whether a manifest is valid."""
    read = read_manifest(path)
    if read.is_err():
        return refused_report(read.unwrap_err())
    manifest = read.unwrap()
    data = CheckResult(
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


async def publish_manifest(
    path: Path, target: PublishTarget, replaces: int | None
) -> Report:
    """Publish a manifest and report the result and where it is in force."""
    read = read_manifest(path)
    if read.is_err():
        return refused_report(read.unwrap_err())
    manifest = read.unwrap()
    if replaces is not None:
        manifest = manifest._replace(replaces_revision=replaces)
    record = ManifestRecord(uuid.uuid4().hex, manifest)
    async with make_reply_client(MAX_LOG_REPLY_BYTES, target.wait_s) as http:
        log = ConfigLog(make_log_client(http, target.log_url), target.wait_s)
        before = await log.read_to_end()
        if before.is_err():
            return _publish_failed(record, before.unwrap_err())
        refusal = judge_manifest(before.unwrap(), record)
        if refusal is not None:
            return _publish_refused(record, refusal)
        recorded = await log.append(to_json(record), _matches_publication(record))
    if recorded.is_err():
        return _publish_failed(record, recorded.unwrap_err())
    return await _publish_done(record, recorded.unwrap(), target)


def _matches_publication(record: ManifestRecord) -> Any:
    def is_own_record(step: Step[ConfigState]) -> bool:
        outcome = step.outcome
        if not isinstance(outcome, Accepted | Refused):
            return False
        return outcome.publication_id == record.publication_id

    return is_own_record


def _publish_refused(record: ManifestRecord, refusal: Refused) -> Report:
    data = PublishResult(
        refusal.reason, None, record.publication_id, refusal.details, ()
    )
    lines = (f"refused ({refusal.reason}); nothing has changed", *refusal.details)
    return Report(ExitCode.REFUSED, lines, data)


def _publish_failed(record: ManifestRecord, failure: LogUnreachable) -> Report:
    if not failure.may_have_taken_effect:
        text = f"not published: the log does not answer ({failure.detail}); try again"
        data = PublishResult("not_published", None, record.publication_id, (text,), ())
        return Report(ExitCode.REFUSED, (text,), data)
    text = (
        f"unknown: the record may or may not be in the log ({failure.detail}); "
        "run `pond status`, then publish again if it is not in force"
    )
    data = PublishResult("unknown", None, record.publication_id, (text,), ())
    return Report(ExitCode.UNKNOWN, (text,), data)


async def _publish_done(
    record: ManifestRecord, recorded: RecordFound, target: PublishTarget
) -> Report:
    outcome = recorded.outcome
    if isinstance(outcome, Refused):
        return _publish_refused(record, outcome)
    rollouts = await _wait_for_rollout(target, recorded.offset)
    data = PublishResult(
        "accepted", outcome.number, record.publication_id, (), rollouts
    )
    lines = (f"accepted as revision {outcome.number}", *_rollout_lines(rollouts))
    return Report(_rollout_exit_code(rollouts), lines, data)


async def withdraw_keys(digests: tuple[Digest, ...], target: PublishTarget) -> Report:
    """Withdraw keys and report where the withdrawal is in force."""
    record = WithdrawalRecord(digests)
    checked = from_json(WithdrawalRecord, to_json(record))
    if checked.is_err():
        return refused_report(checked.unwrap_err())

    def is_own_record(step: Step[ConfigState]) -> bool:
        return isinstance(step.outcome, Withdrawn) and step.outcome.digests == digests

    async with make_reply_client(MAX_LOG_REPLY_BYTES, target.wait_s) as http:
        log = ConfigLog(make_log_client(http, target.log_url), target.wait_s)
        before = await log.read_to_end()
        if before.is_err():
            return _withdraw_failed(digests, before.unwrap_err())
        recorded = await log.append(to_json(record), is_own_record)
    if recorded.is_err():
        return _withdraw_failed(digests, recorded.unwrap_err())
    offset = recorded.unwrap().offset
    rollouts = await _wait_for_rollout(target, offset)
    data = WithdrawResult("withdrawn", digests, offset, (), rollouts)
    line = f"withdrawn: {len(digests)} key(s), record {offset}"
    return Report(_rollout_exit_code(rollouts), (line, *_rollout_lines(rollouts)), data)


def _withdraw_failed(digests: tuple[Digest, ...], failure: LogUnreachable) -> Report:
    text = (
        f"not known to be withdrawn: the log does not answer ({failure.detail}); "
        "run the command again, which is safe"
    )
    data = WithdrawResult("unknown", digests, None, (text,), ())
    return Report(ExitCode.UNKNOWN, (text,), data)


async def _wait_for_rollout(
    target: PublishTarget, offset: int
) -> tuple[VmRollout, ...]:
    if not target.control:
        return ()
    return await wait_until_in_force(target.control, target.tls, offset, target.wait_s)


def _rollout_lines(rollouts: tuple[VmRollout, ...]) -> tuple[str, ...]:
    if not rollouts:
        return ("where it is in force is unknown: no --control was given",)
    return describe_rollouts(rollouts)


def _rollout_exit_code(rollouts: tuple[VmRollout, ...]) -> ExitCode:
    if all(rollout.state == "in_force" for rollout in rollouts):
        return ExitCode.DONE
    return ExitCode.NOT_EVERYWHERE
