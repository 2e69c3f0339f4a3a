"""How the process stops: the balancer notices, then requests end, then it exits."""

from collections.abc import Callable
from typing import Final

import anyio

from _pistachiopond.http1.server import ServerConnection
from _pistachiopond.observe.logs import log_change

# The balancer asks each second and takes a VM out after two misses; new callers come
# until then.
NOTICE_S: Final = 3.2
# Left of the grace for the exit itself.
EXIT_MARGIN_S: Final = 0.6
CHECK_S: Final = 0.05


async def drain(
    connections: set[ServerConnection], grace_s: float, now_s: Callable[[], float]
) -> None:
    """Return once all requests have ended, or the grace is almost over.

    Parameters
    ----------
    connections : set of ServerConnection
        Those of callers.
    grace_s : float
        From SIGTERM to SIGKILL.
    now_s : callable
        The monotonic time in seconds.
    """
    began_s = now_s()
    while now_s() - began_s < grace_s - EXIT_MARGIN_S:
        await anyio.sleep(CHECK_S)
        if now_s() - began_s < min(NOTICE_S, grace_s / 2):
            continue
        for connection in list(connections):
            if connection.is_idle():
                connection.close_after_answer()
        if not connections:
            break
    log_change("drained", seconds=round(now_s() - began_s, 2), cut_off=len(connections))
