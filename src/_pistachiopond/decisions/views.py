"""Builds the routing view that entry daemons use to choose servers."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from _pistachiopond.decisions.memory import EngineReport
from _pistachiopond.schema.engine import EngineModel
from _pistachiopond.schema.heartbeat import DrainedReplica
from _pistachiopond.schema.manifest import BackendServer, Manifest
from _pistachiopond.schema.routing import (
    Availability,
    ResidentModel,
    RoutingView,
    ServerView,
)

GONE_AFTER_S: Final = 10.0
# Loads are rounded to multiples of this, so that small changes need no new view.
LOAD_STEP_TOKENS: Final = 64.0


class ViewInput(NamedTuple):
    """The facts that a view is built from.

    Attributes
    ----------
    manifest : Manifest
        The manifest in force.
    reports : mapping of str to EngineReport
        The engines' newest reports.
    leaving : frozenset of str
        Servers that any source reports as leaving.
    draining : frozenset of DrainedReplica
        Replicas that must get no new work.
    """

    manifest: Manifest
    reports: Mapping[str, EngineReport]
    leaving: frozenset[str]
    draining: frozenset[DrainedReplica]


def make_view(facts: ViewInput, sequence: int, now_s: float) -> RoutingView:
    """Return the present view.

    Parameters
    ----------
    facts : ViewInput
        The present facts.
    sequence : int
        The view's sequence number.
    now_s : float
        The time by this daemon's clock.
    """
    return RoutingView(
        sequence,
        tuple(
            _server_view(server, facts, now_s)
            for server in facts.manifest.backend_servers
        ),
    )


def _server_view(server: BackendServer, facts: ViewInput, now_s: float) -> ServerView:
    report = facts.reports.get(server.name)
    age_s = 0.0 if report is None else now_s - report.asked_s
    residents: tuple[ResidentModel, ...] = ()
    queued_tokens = 0.0
    if report is not None:
        residents = _residents(server.name, report, facts)
        state = report.state
        queued_tokens = _round_load(state.queued_tokens + state.running_tokens)
        age_s += state.load_age_s
    return ServerView(
        name=server.name,
        url=server.url,
        data_centre=server.data_centre,
        service=server.service,
        availability=_availability(server, report, facts, now_s),
        residents=residents,
        queued_tokens=queued_tokens,
        report_age_s=round(age_s, 1),
    )


def _round_load(tokens: float) -> float:
    return round(tokens / LOAD_STEP_TOKENS) * LOAD_STEP_TOKENS


def _availability(
    server: BackendServer, report: EngineReport | None, facts: ViewInput, now_s: float
) -> Availability:
    if server.name in facts.leaving:
        return "draining"
    if server.memory_mb == 0:
        return "serving"
    if report is None or now_s - report.asked_s > GONE_AFTER_S:
        return "gone"
    return "draining" if report.state.leaving else "serving"


def _residents(
    server: str, report: EngineReport, facts: ViewInput
) -> tuple[ResidentModel, ...]:
    listed_versions = {model.name: model.version for model in facts.manifest.models}
    residents = []
    for model in report.state.models:
        if model.state not in ("ready", "unloading"):
            continue
        # An engine serves only one version of a model: the last one that became ready.
        if _is_replaced(model, report, listed_versions):
            continue
        has_drain_notice = (
            DrainedReplica(server, model.name, model.version) in facts.draining
        )
        is_draining = has_drain_notice or model.state == "unloading"
        residents.append(
            ResidentModel(
                model.name,
                model.version,
                tuple(item.name for item in model.adapters if item.state == "ready"),
                "draining" if is_draining else "ready",
            )
        )
    return tuple(residents)


def _is_replaced(
    model: EngineModel, report: EngineReport, listed_versions: Mapping[str, str]
) -> bool:
    return any(
        other.name == model.name
        and other.version != model.version
        and other.version == listed_versions.get(model.name)
        and other.state == "ready"
        for other in report.state.models
    )


def has_changed(before: RoutingView | None, after: RoutingView) -> bool:
    """Return whether the views differ in more than sequence number and report age."""
    if before is None:
        return True
    return _without_ages(before) != _without_ages(after)


def _without_ages(view: RoutingView) -> tuple[ServerView, ...]:
    return tuple(server._replace(report_age_s=0.0) for server in view.servers)
