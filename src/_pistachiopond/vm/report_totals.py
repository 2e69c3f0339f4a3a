"""Sums of the members' reports on requests in progress."""

from collections import Counter
from typing import NamedTuple

from _pistachiopond.decisions.model_plan import ModelDemand, VersionWait, sum_demand
from _pistachiopond.schema.peer_messages import MemberReport, ModelWait
from _pistachiopond.vm.fleet import ModelRef


class Totals(NamedTuple):
    """Requests in progress, summed over all members.

    Attributes
    ----------
    load : dict of str to int
        Requests at each server.
    running_requests : dict of (str, str) to int
        Requests by server and model.
    demand : dict of str to dict
        By service, the running and waiting requests of each model and adapter.
    unhealthy_servers : frozenset of str
        Servers that at least half of the members have ejected.
    """

    load: dict[str, int]
    running_requests: dict[tuple[str, str], int]
    demand: dict[str, dict[ModelRef, ModelDemand]]
    unhealthy_servers: frozenset[str]


def add_demand(
    demand: dict[str, dict[ModelRef, ModelDemand]],
    model_ref: ModelRef,
    more: ModelDemand,
) -> None:
    """Add to the demand for a model or adapter."""
    of_service = demand.setdefault(model_ref.service, {})
    seen = of_service.get(model_ref)
    of_service[model_ref] = more if seen is None else sum_demand(seen, more)


def add_wait(demand: dict[str, dict[ModelRef, ModelDemand]], wait: ModelWait) -> None:
    """Add a request that begins to wait for a model or adapter."""
    model_ref = ModelRef(wait["service"], wait["model"], wait["adapter"])
    waiting_at: dict[str, VersionWait] = {}
    if "software_version" in wait:
        waiting_at[wait["software_version"]] = VersionWait(1.0)
    add_demand(demand, model_ref, ModelDemand(0.0, 1.0, waiting_at=waiting_at))


def sum_reports(reports: list[MemberReport]) -> Totals:
    """Return the sums over the members' newest reports."""
    load: dict[str, int] = {}
    running_requests: dict[tuple[str, str], int] = {}
    demand: dict[str, dict[ModelRef, ModelDemand]] = {}
    ejection_counts: Counter[str] = Counter()
    for report in reports:
        for name, count in report["load"].items():
            load[name] = load.get(name, 0) + count
        ejection_counts.update(report["doubtful"])
        for server, model, count in report["runs"]:
            running_requests[(server, model)] = (
                running_requests.get((server, model), 0) + count
            )
        for use in report["models"]:
            model_ref = ModelRef(use["service"], use["model"], use["adapter"])
            waiting_at = {
                version: VersionWait(count)
                for version, count in use.get("waiting_at", {}).items()
            }
            more = ModelDemand(use["running"], use["waiting"], waiting_at=waiting_at)
            add_demand(demand, model_ref, more)
    half = max(1, len(reports) / 2)
    unhealthy_servers = frozenset(
        name for name, count in ejection_counts.items() if count >= half
    )
    return Totals(load, running_requests, demand, unhealthy_servers)
