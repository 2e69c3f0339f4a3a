"""Runs the services of an entry daemon inside a test, on free ports."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
import httpx

from _pistachiopond.entry.fleet import Fleet
from _pistachiopond.entry.process import EntryProcess, make_process, make_services
from _pistachiopond.kernel.service import Kernel, run_services
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.settings import EntrySettings
from testing.entry.fakes import FakeAdmissionServices, FakeControl, wait_until
from testing.entry.manifests import DATA_CENTRE, KEY


class RunningEntry(NamedTuple):
    """A running entry daemon, an HTTP client to it, and its fakes."""

    url: str
    http: httpx.AsyncClient
    control: FakeControl
    admission: FakeAdmissionServices
    kernel: Kernel
    process: EntryProcess

    def metric(self, name: str, **labels: str) -> float:
        """Return the value of a metric; 0 if it has no sample."""
        return self.process.metrics.registry.get_sample_value(name, labels) or 0.0


@asynccontextmanager
async def run_entry_in_test(
    revision: Revision,
    routing: RoutingView,
    change: Callable[[EntrySettings], EntrySettings] = lambda settings: settings,
) -> AsyncIterator[RunningEntry]:
    """Run an entry daemon with a fake control daemon for the duration of the block."""
    async with (
        FakeControl(revision, routing).listening() as control,
        _run_entry(control, change) as entry,
    ):
        yield entry


@asynccontextmanager
async def _run_entry(
    control: FakeControl, change: Callable[[EntrySettings], EntrySettings]
) -> AsyncIterator[RunningEntry]:
    settings = change(
        EntrySettings(
            listen_address="127.0.0.1:0",
            data_centre=DATA_CENTRE,
            region="norge-vest",
            control_addresses=(control.address,),
            drain_notice_s=0.05,
            drain_limit_s=20.0,
        )
    )
    process = make_process(settings, Metrics())
    admission = FakeAdmissionServices()
    kernel = Kernel()
    addresses: list[str] = []
    services = make_services(process, admission.services, addresses.append)
    async with anyio.create_task_group() as group:
        group.start_soon(run_services, kernel, services)
        await wait_until(lambda: bool(addresses))
        fleet = kernel.find("fleet", Fleet)
        await wait_until(lambda: fleet.state.routing is not None)
        scheme = "http" if settings.caller_tls is None else "https"
        url = f"{scheme}://{addresses[0]}"
        headers = {"Authorization": f"Bearer {KEY}"}
        async with httpx.AsyncClient(
            base_url=url, headers=headers, timeout=60, trust_env=False, verify=False
        ) as http:
            yield RunningEntry(url, http, control, admission, kernel, process)
        kernel.request_stop()
