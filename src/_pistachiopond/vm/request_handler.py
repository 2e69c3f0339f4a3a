"""Handles callers' requests: decodes, admits, forwards and counts them."""

import asyncio
from functools import partial
from typing import Final, NamedTuple, Self, final

from prometheus_client import Counter

from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from _pistachiopond.observe.logs import log_change
from _pistachiopond.observe.metrics import LatencyHistogram, Metrics
from _pistachiopond.platform.requests import decode_request
from _pistachiopond.vm.admission import Admission
from _pistachiopond.vm.forward import forward
from _pistachiopond.vm.forward_dependencies import ForwardDependencies
from _pistachiopond.vm.refusals import Refusal, send_refusal
from _pistachiopond.vm.suspects import make_fingerprint

# One of this many forwarded requests is logged.
LOG_SAMPLE_INTERVAL: Final = 200


class RequestMetrics(NamedTuple):
    """Metrics of callers' requests.

    Attributes
    ----------
    requests : Counter
        Requests by outcome.
    duration : LatencyHistogram
        Time from the end of a request to the end of its response.
    """

    requests: Counter
    duration: LatencyHistogram

    @classmethod
    def make(cls, metrics: Metrics) -> Self:
        """Register the metrics of a process and return them."""
        return cls(
            metrics.counter("pond_requests", "Requests.", ("outcome",)),
            metrics.histogram("pond_request_seconds", "From request to answer."),
        )


@final
class RequestHandler:
    """Handles the callers' requests of one VM."""

    def __init__(
        self, admission: Admission, deps: ForwardDependencies, metrics: RequestMetrics
    ) -> None:
        self._admission = admission
        self._deps = deps
        self._metrics = metrics
        self._forwarded_count = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request and record its outcome and duration."""
        arrival_s = asyncio.get_running_loop().time()
        # Remains if the caller disconnects, which cancels this task, or on an error.
        outcome = "left"
        try:
            outcome = await self._handle(request, responder, arrival_s)
        finally:
            elapsed_s = asyncio.get_running_loop().time() - arrival_s
            self._metrics.requests.labels(outcome).inc()
            self._metrics.duration.record_s(elapsed_s)

    async def _handle(
        self, request: Request, responder: Responder, arrival_s: float
    ) -> str:
        decoded = decode_request(request.head)
        if decoded.is_err():
            refusal = Refusal(400, "bad_request", None, {"reason": decoded.err()})
            await send_refusal(responder, "", refusal)
            return "refused"
        caller = decoded.ok()
        first_byte_s = arrival_s - responder.waited_s
        admitted = await self._admission.admit(
            caller, first_byte_s, partial(make_fingerprint, request)
        )
        if admitted.is_err():
            await send_refusal(responder, caller.attempt_id, admitted.err())
            return "refused"
        await forward(self._deps, request, admitted.ok(), responder)
        self._forwarded_count += 1
        if self._forwarded_count % LOG_SAMPLE_INTERVAL == 0:
            elapsed_s = asyncio.get_running_loop().time() - arrival_s
            log_change(
                "request sampled",
                request=caller.attempt_id,
                route=admitted.ok().route.name,
                seconds=round(elapsed_s, 3),
            )
        return "answered"
