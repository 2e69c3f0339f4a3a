"""Takes over settings that change while the process runs."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Final, final

import anyio

from _pistachiopond.observe.logs import log_change, log_trouble
from _pistachiopond.platform.settings import read_vm_settings
from _pistachiopond.schema.vm_settings import VmBounds, VmSettings

# The file may also change without a signal.
LOOK_PERIOD_S: Final = 1.0


@final
class SettingsWatch:
    """The settings in force and those that wait for the next start."""

    def __init__(
        self,
        path: Path,
        settings: VmSettings,
        take_bounds: Callable[[VmBounds], None],
    ) -> None:
        self._path = path
        self._known = settings
        self._take_bounds = take_bounds
        self._reason = ""
        self._asked = anyio.Event()

    def ask(self) -> None:
        """Look at the file at once."""
        log_change("asked to read the settings again", path=str(self._path))
        self._asked.set()

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            with anyio.move_on_after(LOOK_PERIOD_S):
                await self._asked.wait()
                self._asked = anyio.Event()
            self.look()

    def look(self) -> None:
        """Take what has changed in the file."""
        answer = read_vm_settings(self._path)
        if answer.is_err():
            if answer.err() != self._reason:
                log_trouble("settings cannot be read", reason=answer.err())
            self._reason = answer.err()
            return
        self._reason = ""
        known, new = self._known, answer.ok()
        if new == known:
            return
        self._known = new
        if new.bounds != known.bounds:
            self._take_bounds(new.bounds)
            log_change("bounds changed", **new.bounds._asdict())
        waiting = [
            name
            for name, value in new._asdict().items()
            if name != "bounds" and value != getattr(known, name)
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
