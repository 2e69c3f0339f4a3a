"""Tracks open requests, so that withdrawing an API key also stops running ones."""

from collections.abc import Callable
from typing import Final, final

import anyio

from _pistachiopond.entry.caller_connection import CallerConnection
from _pistachiopond.entry.exchange import Exchange
from _pistachiopond.schema.verdict import Failure, Verdict

WRITE_TIMEOUT_S: Final = 10.0

IsKeyActive = Callable[[str], bool]


@final
class ActiveRequest:
    """One open request.

    Attributes
    ----------
    digest : str or None
        The digest of its API key; None on a route that needs no key.
    scope : CancelScope
        The cancel scope of the request's task.
    caller : CallerConnection
        The connection to the caller.
    exchange : Exchange or None
        Set once the request has been admitted.
    stopped_by : Failure or None
        The reason for which `stop` ended it.
    """

    def __init__(
        self, digest: str | None, scope: anyio.CancelScope, caller: CallerConnection
    ) -> None:
        self.digest = digest
        self.scope = scope
        self.caller = caller
        self.exchange: Exchange | None = None
        self.stopped_by: Failure | None = None

    def stop(self, failure: Failure) -> None:
        """End the request now with a failure that is sent to its caller."""
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
        """Add an open request."""
        self._open.add(request)

    def remove(self, request: ActiveRequest) -> None:
        """Remove a request that has ended."""
        self._open.discard(request)

    def stop_unauthorized(self, is_key_active: IsKeyActive, keys_closed: bool) -> int:
        """Stop each request whose key is withdrawn or can no longer be verified.

        Parameters
        ----------
        is_key_active : callable
            Whether the key with a given digest is valid now.
        keys_closed : bool
            Whether no key can be verified now.

        Returns
        -------
        int
            The number of requests stopped.
        """
        stopped = 0
        for request in tuple(self._open):
            if request.digest is None or request.stopped_by is not None:
                continue
            if keys_closed:
                request.stop(_unverified_key_failure(request))
                stopped += 1
            elif not is_key_active(request.digest):
                request.stop(_withdrawn_key_failure(request))
                stopped += 1
        return stopped

    def stop_stalled(self, now_s: float) -> int:
        """Close the connections of callers that do not read their responses.

        Returns
        -------
        int
            The number of connections closed.
        """
        stopped = 0
        for request in tuple(self._open):
            since_s = request.caller.write_started_s
            if since_s is not None and now_s - since_s > WRITE_TIMEOUT_S:
                request.scope.cancel()
                stopped += 1
        return stopped


def _withdrawn_key_failure(request: ActiveRequest) -> Failure:
    return Failure(
        _verdict_of(request),
        "key_withdrawn",
        "The key has been withdrawn; use another one.",
        401,
    )


def _unverified_key_failure(request: ActiveRequest) -> Failure:
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
