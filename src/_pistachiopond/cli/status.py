"""The command ``pond status``."""

from typing import Any, NamedTuple

from _pistachiopond.cli.fleet import VmStatus, fetch_fleet_status
from _pistachiopond.cli.report import ExitCode, Report
from _pistachiopond.schema.routing import ServerView
from _pistachiopond.schema.settings import TlsFiles
from _pistachiopond.schema.status import ControlStatus


class FleetStatus(NamedTuple):
    """The data of ``pond status``.

    Attributes
    ----------
    revisions : tuple of int
        The revisions in force on any VM; more than one during a rollout.
    """

    revisions: tuple[int, ...]
    vms: tuple[VmStatus, ...]


async def show_status(control: tuple[str, ...], tls: TlsFiles | None) -> Report:
    """Get the status of each VM and report it."""
    answers = await fetch_fleet_status(control, tls)
    statuses = [answer.status for answer in answers if answer.status is not None]
    revisions = tuple(sorted({status.revision_number for status in statuses}))
    data = FleetStatus(revisions, answers)
    lines = [line for answer in answers for line in _vm_lines(answer)]
    if not statuses:
        lines.append("no control daemon answered; check the addresses given")
        return Report(ExitCode.UNKNOWN, tuple(lines), data)
    lines += _server_lines(_most_current(statuses))
    lines += _fleet_lines(_most_current(statuses))
    code = ExitCode.DONE if len(statuses) == len(answers) else ExitCode.NOT_EVERYWHERE
    return Report(code, tuple(lines), data)


def _most_current(statuses: list[ControlStatus]) -> ControlStatus:
    def rank(status: ControlStatus) -> Any:
        youngest_s = min(
            (server.report_age_s for server in status.servers), default=1e9
        )
        return (-status.revision_number, youngest_s)

    return min(statuses, key=rank)


def _vm_lines(answer: VmStatus) -> list[str]:
    if answer.status is None:
        return [f"{answer.address}: unknown, not reached ({answer.error})"]
    status = answer.status
    notes = [f"revision {status.revision_number}", status.data_centre]
    if status.config_fresh_age_s < 0:
        notes.append("freshness never proved")
    else:
        notes.append(f"fresh {status.config_fresh_age_s:.1f} s ago")
    if not status.log_reached:
        notes.append(f"LOG OUTAGE for {status.log_down_s:.0f} s")
    if not status.list_reached:
        notes.append("VM LIST OUTAGE")
    if status.keys_closed:
        notes.append("KEYED ROUTES CLOSED")
    held = sum(shard.held_here for shard in status.shards)
    notes.append(f"owns {held} shards")
    return [f"{answer.address}: {', '.join(notes)}"]


def _server_lines(status: ControlStatus) -> list[str]:
    lines = [f"backend servers, as {status.address} knows them:"]
    leaving = set(status.leaving)
    for server in status.servers:
        mark = ", LEAVING" if server.name in leaving else ""
        lines.append(
            f"  {server.name} ({server.data_centre}): {server.availability}{mark}, "
            f"{server.queued_tokens:.0f} tokens waiting, "
            f"reported {server.report_age_s:.1f} s ago"
        )
        lines += _resident_lines(server)
    return lines


def _resident_lines(server: ServerView) -> list[str]:
    return [
        f"    {resident.model} version {resident.version}: {resident.state}, "
        f"{len(resident.adapters)} adapters"
        for resident in server.residents
    ]


def _fleet_lines(status: ControlStatus) -> list[str]:
    lines = []
    if status.unplaced_models:
        names = ", ".join(status.unplaced_models)
        lines.append(f"NOT REACHABLE at present: {names}")
    unsettled = sum(shard.unsettled_intents for shard in status.shards)
    if unsettled:
        lines.append(f"orders not settled: {unsettled}")
    for member in status.members:
        if member.state != "alive":
            lines.append(f"control daemon {member.address}: {member.state}")
    lines += [
        f"publication {item.publication_id} at {item.offset}: {item.result}"
        for item in status.publications
    ]
    return lines
