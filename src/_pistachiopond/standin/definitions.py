"""Builds the definitions of engines and plain services from their HTTP routes."""

import uuid

from _pistachiopond.standin.engine import StandinEngine
from _pistachiopond.standin.engine_control import EngineControl
from _pistachiopond.standin.engine_requests import EngineRequests
from _pistachiopond.standin.host import StandinDefinition
from _pistachiopond.standin.service import StandinService


def define_engine(engine: StandinEngine) -> StandinDefinition:
    """Return the definition of an engine."""

    def start_leaving() -> None:
        engine.leaving = True

    return StandinDefinition(
        "engine",
        engine.options.name,
        EngineControl(engine).routes() + EngineRequests(engine).routes(),
        engine.ledger,
        engine.restart,
        start_leaving,
        engine.reject_new_requests,
        lambda: engine.leaving,
    )


def define_service(service: StandinService) -> StandinDefinition:
    """Return the definition of a plain service."""

    def start_leaving() -> None:
        service.leaving = True

    def restart() -> None:
        service.incarnation = uuid.uuid4().hex

    return StandinDefinition(
        "service",
        service.name,
        service.routes(),
        service.ledger,
        restart,
        start_leaving,
        service.reject_new_requests,
        lambda: service.leaving,
    )
