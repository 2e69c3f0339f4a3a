"""Applies settings that change while the process runs."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Final, final

import anyio

from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.settings import read_vm_settings
from _pistachiopond.schema.vm_settings import VmBounds, VmSettings

# The settings file is checked periodically, since it may change without a SIGHUP.
CHECK_PERIOD_S: Final = 1.0


@final
class SettingsWatch:
    """Watches the settings file and applies changed bounds.

    Other changed settings are logged and take effect at the next start.
    """

    def __init__(
        self,
        path: Path,
        settings: VmSettings,
        apply_bounds: Callable[[VmBounds], None],
    ) -> None:
        self._path = path
        self._current = settings
        self._apply_bounds = apply_bounds
        self._last_error = ""
        self._check_requested = anyio.Event()

    def request_check(self) -> None:
        """Check the file without awaiting the next period."""
        log_change("settings reload requested", path=str(self._path))
        self._check_requested.set()

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            with anyio.move_on_after(CHECK_PERIOD_S):
                await self._check_requested.wait()
                self._check_requested = anyio.Event()
            self.check()

    def check(self) -> None:
        """Read the file and apply what has changed."""
        result = read_vm_settings(self._path)
        if result.is_err():
            if result.err() != self._last_error:
                log_warning("settings cannot be read", reason=result.err())
            self._last_error = result.err()
            return
        self._last_error = ""
        current, new = self._current, result.ok()
        if new == current:
            return
        self._current = new
        if new.bounds != current.bounds:
            self._apply_bounds(new.bounds)
            log_change("bounds changed", **new.bounds._asdict())
        waiting = [
            name
            for name, value in new._asdict().items()
            if name != "bounds" and value != getattr(current, name)
        ]
        if waiting:
            log_change("settings take effect at the next start", names=waiting)


async def watch_signals(stopping: anyio.Event, on_hangup: Callable[[], None]) -> None:
    """Set `stopping` at SIGTERM and SIGINT, and call `on_hangup` at SIGHUP."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*numbers) as received:
        async for number in received:
            if number == signal.SIGHUP:
                on_hangup()
            else:
                stopping.set()
