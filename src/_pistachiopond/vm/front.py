"""Takes callers' requests: checks them, forwards them, and counts what came of it."""

import asyncio
from typing import Final, NamedTuple, Self, final

from prometheus_client import Counter

from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from _pistachiopond.observe.logs import log_change
from _pistachiopond.observe.metrics import LatencyHistogram, Metrics
from _pistachiopond.platform.requests import decode_request
from _pistachiopond.vm.admission import Admission
from _pistachiopond.vm.forward import ForwardParts, forward
from _pistachiopond.vm.refusals import Refusal, answer_refusal

# One of this many ordinary answers has a log line.
SAMPLE: Final = 200


class FrontMetrics(NamedTuple):
    """What is counted.

    Attributes
    ----------
    requests : Counter
        By outcome.
    duration : LatencyHistogram
        From a request's end to its answer's end.
    """

    requests: Counter
    duration: LatencyHistogram

    @classmethod
    def make(cls, metrics: Metrics) -> Self:
        """Return the counters of a process."""
        return cls(
            metrics.counter("pond_requests", "Requests.", ("outcome",)),
            metrics.histogram("pond_request_seconds", "From request to answer."),
        )


@final
class Front:
    """The handler of callers' requests."""

    def __init__(
        self, admission: Admission, parts: ForwardParts, metrics: FrontMetrics
    ) -> None:
        self._admission = admission
        self._parts = parts
        self._metrics = metrics
        self._seen = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        arrival_s = asyncio.get_running_loop().time()
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
            await answer_refusal(responder, "", refusal)
            return "refused"
        caller = decoded.ok()
        admitted = await self._admission.admit(caller, arrival_s)
        if admitted.is_err():
            await answer_refusal(responder, caller.attempt_id, admitted.err())
            return "refused"
        await forward(self._parts, request, admitted.ok(), responder)
        self._seen += 1
        if self._seen % SAMPLE == 0:
            elapsed_s = asyncio.get_running_loop().time() - arrival_s
            log_change(
                "request sampled",
                request=caller.attempt_id,
                route=admitted.ok().route.name,
                seconds=round(elapsed_s, 3),
            )
        return "answered"
