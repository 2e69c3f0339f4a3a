"""A stand-in for the platform's list of VMs, which shows changes late."""

from typing import NamedTuple, final

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.clients.vmlist import ListedVm
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.http import bad_request, json_answer, read_body


class VmList(NamedTuple):
    """The body of both calls."""

    vms: tuple[ListedVm, ...]


class _Change(NamedTuple):
    visible_s: float
    vms: VmList


@final
class StandinVms:
    """The true list's history, as far as it is not shown yet."""

    def __init__(self, lag_s: float, timer: Timer) -> None:
        self._lag_s = lag_s
        self._timer = timer
        self._changes = [_Change(0.0, VmList(()))]

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the list."""
        return [
            Route("/vms", self._show, methods=["GET"]),
            Route("/vms", self._replace, methods=["POST"]),
        ]

    async def _replace(self, request: Request) -> Response:
        body = await read_body(VmList, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        visible_s = self._timer.now_s() + self._lag_s
        self._changes.append(_Change(visible_s, body.unwrap()))
        return json_answer({})

    async def _show(self, request: Request) -> Response:
        del request
        now_s = self._timer.now_s()
        while len(self._changes) > 1 and self._changes[1].visible_s <= now_s:
            self._changes.pop(0)
        return json_answer(self._changes[0].vms)
