"""The requests that are open, so that a withdrawn key stops them."""

from collections.abc import Callable
from typing import Final, final

import anyio

from _pistachiopond.entry.caller import CallerLink
from _pistachiopond.entry.exchange import Exchange
from _pistachiopond.schema.verdict import Failure, Verdict

WRITE_TIMEOUT_S: Final = 10.0

IsInForce = Callable[[str], bool]


@final
class ActiveRequest:
    """One open request.

    Attributes
    ----------
    digest : str or None
        Of the key that it came with; None on an open route.
    scope : CancelScope
        Of the request's task.
    link : CallerLink
        To the caller.
    exchange : Exchange or None
        Once it has been admitted.
    stopped_by : Failure or None
        Why it was stopped from outside.
    """

    def __init__(
        self, digest: str | None, scope: anyio.CancelScope, link: CallerLink
    ) -> None:
        self.digest = digest
        self.scope = scope
        self.link = link
        self.exchange: Exchange | None = None
        self.stopped_by: Failure | None = None

    def stop(self, failure: Failure) -> None:
        """End the request now; its caller is told why."""
        if self.stopped_by is not None:
            return
        self.stopped_by = failure
        if self.exchange is None:
            self.scope.cancel()
            return
        self.exchange.fail(failure)
        self.exchange.cancel_attempts()


@final
class ActiveRequests:
    """All open requests of the process."""

    def __init__(self) -> None:
        self._open: set[ActiveRequest] = set()

    def __len__(self) -> int:
        return len(self._open)

    def add(self, request: ActiveRequest) -> None:
        """Count a request as open."""
        self._open.add(request)

    def remove(self, request: ActiveRequest) -> None:
        """Count a request as closed."""
        self._open.discard(request)

    def stop_withdrawn(self, is_in_force: IsInForce, keys_closed: bool) -> int:
        """Stop each request whose key is not in force, or not known to be.

        Returns
        -------
        int
            How many were stopped.
        """
        stopped = 0
        for request in tuple(self._open):
            if request.digest is None or request.stopped_by is not None:
                continue
            if keys_closed:
                request.stop(_unknown_key(request))
                stopped += 1
            elif not is_in_force(request.digest):
                request.stop(_withdrawn_key(request))
                stopped += 1
        return stopped

    def stop_stalled(self, now_s: float) -> int:
        """Close the connections of callers that don't read their answers."""
        stopped = 0
        for request in tuple(self._open):
            since_s = request.link.writing_since_s
            if since_s is not None and now_s - since_s > WRITE_TIMEOUT_S:
                request.scope.cancel()
                stopped += 1
        return stopped


def _withdrawn_key(request: ActiveRequest) -> Failure:
    return Failure(
        _verdict_of(request),
        "key_withdrawn",
        "The key has been withdrawn; use another one.",
        401,
    )


def _unknown_key(request: ActiveRequest) -> Failure:
    return Failure(
        _verdict_of(request),
        "keys_not_confirmed",
        "This daemon can't tell whether the key is still in force; try again.",
        503,
        2.0,
    )


def _verdict_of(request: ActiveRequest) -> Verdict:
    exchange = request.exchange
    if exchange is None or not exchange.was_dispatched:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN
