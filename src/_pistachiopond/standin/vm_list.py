"""A stand-in for the platform's list of VMs, which shows changes after a delay."""

from typing import NamedTuple, final

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.clients.vm_list import ListedVm
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.http import bad_request, json_response, parse_body


class VmList(NamedTuple):
    """Body of ``POST /vms``, and the response to ``GET /vms``."""

    vms: tuple[ListedVm, ...]


class _TimedList(NamedTuple):
    visible_s: float
    vms: VmList


@final
class StandinVmList:
    """The visible list of VMs, and the later lists that are not visible yet."""

    def __init__(self, lag_s: float, timer: Timer) -> None:
        self._lag_s = lag_s
        self._timer = timer
        self._lists = [_TimedList(0.0, VmList(()))]

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the list."""
        return [
            Route("/vms", self._get_list, methods=["GET"]),
            Route("/vms", self._replace_list, methods=["POST"]),
        ]

    async def _replace_list(self, request: Request) -> Response:
        body = await parse_body(VmList, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        visible_s = self._timer.now_s() + self._lag_s
        self._lists.append(_TimedList(visible_s, body.unwrap()))
        return json_response({})

    async def _get_list(self, request: Request) -> Response:
        del request
        now_s = self._timer.now_s()
        while len(self._lists) > 1 and self._lists[1].visible_s <= now_s:
            self._lists.pop(0)
        return json_response(self._lists[0].vms)
