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
    runs : dict of (str, str) to int
        Requests by server and model.
    demand : dict of str to dict
        By service, the running and waiting requests of each model and adapter.
    doubtful : frozenset of str
        Servers that at least half of the members have ejected.
    """

    load: dict[str, int]
    runs: dict[tuple[str, str], int]
    demand: dict[str, dict[ModelRef, ModelDemand]]
    doubtful: frozenset[str]


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
    runs: dict[tuple[str, str], int] = {}
    demand: dict[str, dict[ModelRef, ModelDemand]] = {}
    doubts: Counter[str] = Counter()
    for report in reports:
        for name, count in report["load"].items():
            load[name] = load.get(name, 0) + count
        doubts.update(report["doubtful"])
        for server, model, count in report["runs"]:
            runs[(server, model)] = runs.get((server, model), 0) + count
        for use in report["models"]:
            model_ref = ModelRef(use["service"], use["model"], use["adapter"])
            add_demand(demand, model_ref, ModelDemand(use["running"], use["waiting"]))
    half = max(1, len(reports) / 2)
    doubtful = frozenset(name for name, count in doubts.items() if count >= half)
    return Totals(load, runs, demand, doubtful)
