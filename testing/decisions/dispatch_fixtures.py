"""Builds request facts, server views and dispatchers for dispatcher tests."""

from collections.abc import Sequence

from _pistachiopond.decisions.dispatch import Dispatcher, make_dispatcher
from _pistachiopond.decisions.dispatch_options import DispatchOptions
from _pistachiopond.decisions.dispatch_types import (
    Action,
    Arrived,
    AttemptFailed,
    Refuse,
    RequestFacts,
    StartAttempt,
    ViewReceived,
)
from _pistachiopond.decisions.failure_kinds import FailureKind
from _pistachiopond.decisions.routing import Place
from _pistachiopond.schema.routing import ResidentModel, RoutingView, ServerView
from _pistachiopond.schema.verdict import Verdict

MODEL = "mini"
SERVICE = "drafting"
HERE = Place("bergen-a", "norge-vest")


def make_facts(request_id: str, **changes: object) -> RequestFacts:
    facts = RequestFacts(
        request_id=request_id,
        customer="office",
        service=SERVICE,
        model=MODEL,
        adapter=None,
        prompt_tokens=100,
        max_tokens=100,
        prefix_ids=(),
        urgency="normal",
        idempotent=True,
        fingerprint=f"print-{request_id}",
    )
    return facts._replace(**changes)


def make_server(name: str, **changes: object) -> ServerView:
    view = ServerView(
        name=name,
        url=f"http://10.0.0.1:{len(name)}",
        data_centre="bergen-a",
        service=SERVICE,
        availability="serving",
        residents=(ResidentModel(MODEL, "1", ("nynorsk",), "ready"),),
        queued_tokens=0.0,
        report_age_s=0.0,
    )
    return view._replace(**changes)


def make_ready_dispatcher(
    servers: Sequence[ServerView], **changes: object
) -> Dispatcher:
    options = DispatchOptions("10.0.0.9:1", HERE)._replace(**changes)
    dispatcher = make_dispatcher(options, seed=1)
    dispatcher.handle(ViewReceived(RoutingView(1, tuple(servers))), 0.0)
    return dispatcher


def starts(actions: list[Action]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]


def refusals(actions: list[Action]) -> list[Refuse]:
    return [action for action in actions if isinstance(action, Refuse)]


def arrive(dispatcher: Dispatcher, facts: RequestFacts, now_s: float) -> list[Action]:
    return dispatcher.handle(Arrived(facts), now_s)


def failure(
    start: StartAttempt,
    verdict: Verdict,
    kind: FailureKind,
    *,
    output_began: bool = False,
) -> AttemptFailed:
    return AttemptFailed(
        start.request_id, start.attempt, verdict, kind, None, output_began
    )
