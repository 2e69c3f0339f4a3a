"""Puts engines and plain services together from their calls."""

import uuid

from _pistachiopond.standin.engine import StandinEngine
from _pistachiopond.standin.engine_control import EngineControl
from _pistachiopond.standin.engine_requests import EngineRequests
from _pistachiopond.standin.host import Part
from _pistachiopond.standin.service import StandinService


def make_engine_part(engine: StandinEngine) -> Part:
    """Return an engine with all its calls."""

    def leave() -> None:
        engine.leaving = True

    return Part(
        "engine",
        engine.options.name,
        EngineControl(engine).routes() + EngineRequests(engine).routes(),
        engine.ledger,
        engine.restart,
        leave,
        engine.refuse_new,
        lambda: engine.leaving,
    )


def make_service_part(service: StandinService) -> Part:
    """Return a plain service with all its calls."""

    def leave() -> None:
        service.leaving = True

    def restart() -> None:
        service.incarnation = uuid.uuid4().hex

    return Part(
        "service",
        service.name,
        service.routes(),
        service.ledger,
        restart,
        leave,
        service.refuse_new,
        lambda: service.leaving,
    )
