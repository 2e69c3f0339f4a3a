"""Sums of the members' reports on requests in progress."""

from collections import Counter
from typing import NamedTuple

from _pistachiopond.decisions.model_plan import ModelDemand
from _pistachiopond.schema.peer_messages import MemberReport
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
    if seen is not None:
        more = ModelDemand(seen.running + more.running, seen.waiting + more.waiting)
    of_service[model_ref] = more


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
            add_demand(demand, model_ref, ModelDemand(use["running"], use["waiting"]))
    half = max(1, len(reports) / 2)
    unhealthy_servers = frozenset(
        name for name, count in ejection_counts.items() if count >= half
    )
    return Totals(load, running_requests, demand, unhealthy_servers)
