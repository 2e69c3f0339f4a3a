"""The command line of ``pond-entry``."""

import sys
from pathlib import Path

import anyio
import cyclopts

from _pistachiopond.entry.admission_services import make_admission_services
from _pistachiopond.entry.process import print_address, run_entry
from _pistachiopond.observe.logs import set_up_logs
from _pistachiopond.schema.settings import EntrySettings, read_settings

app = cyclopts.App(
    name="pond-entry",
    help="The caller-facing daemon: keys, limits, queueing, dispatch, streaming.",
)


@app.default
def run(settings: Path) -> None:
    """Run the daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Path
        A JSON file; its fields are described in docs/settings.md.
    """
    checked = read_settings(EntrySettings, settings)
    if checked.is_err():
        for line in checked.err():
            sys.stderr.write(f"{settings}: {line}\n")
        sys.exit(2)
    set_up_logs()
    anyio.run(run_entry, checked.ok(), make_admission_services, print_address)
