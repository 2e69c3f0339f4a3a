"""A whole deployment on one machine: stand-ins, control and entry daemons."""

import signal
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple, final

import httpx

from _pistachiopond.clients.vmlist import ListedVm
from _pistachiopond.schema.codec import to_plain
from _pistachiopond.schema.manifest import BackendServer, Manifest
from _pistachiopond.schema.settings import ControlSettings, EntrySettings
from tools.programs import (
    Program,
    free_address,
    launch_control,
    launch_entry,
    start_standin,
    wait_for_port,
    wait_for_ready,
)

HTTP_TIMEOUT_S: Final = 10.0
POLL_S: Final = 0.1


class Vm(NamedTuple):
    """One VM's two daemons."""

    name: str
    data_centre: str
    control: Program
    entry: Program


class FleetOptions(NamedTuple):
    """How a deployment is started.

    Attributes
    ----------
    vms : int
        Entry VMs; they are dealt out over the manifest's data centres.
    platform_options, engine_options : tuple of str
        Further options of the stand-ins.
    lease_s : float
        The shards' lease.
    drain_notice_s, drain_limit_s : float
        The entry daemons' settings of these names.
    """

    vms: int = 3
    platform_options: tuple[str, ...] = ()
    engine_options: tuple[str, ...] = ()
    lease_s: float = 10.0
    drain_notice_s: float = 1.0
    drain_limit_s: float = 60.0


def via(vm_name: str) -> str:
    """Return the prefix of the paths by which a VM calls the platform."""
    return f"/via/{vm_name}"


@final
class Fleet:
    """The running processes of one deployment."""

    def __init__(self, folder: Path, manifest: Manifest, options: FleetOptions) -> None:
        self._folder = folder
        self._options = options
        self._vm_count = 0
        self._programs: list[Program] = []
        self.backends: dict[str, Program] = {}
        self.vms: list[Vm] = []
        self.platform = self._keep(
            start_standin("platform", "platform", folder, *options.platform_options)
        )
        self.manifest = manifest._replace(
            backend_servers=tuple(
                self._start_backend(server) for server in manifest.backend_servers
            )
        )

    def start_vms(self) -> None:
        """Start the VMs' daemons and wait until control daemons listen."""
        controls = [free_address() for _ in range(self._options.vms)]
        for address in controls:
            self._start_vm(address, controls)
        self.publish_vm_list()
        for vm in self.vms:
            wait_for_port(vm.control)

    def wait_until_ready(self) -> None:
        """Wait until every entry daemon says that it is ready."""
        for vm in self.vms:
            wait_for_ready(vm.entry)

    def add_vm(self) -> Vm:
        """Start one more VM and wait until its control daemon listens."""
        known = [vm.control.address for vm in self.vms]
        vm = self._start_vm(free_address(), known)
        self.publish_vm_list()
        wait_for_port(vm.control)
        return vm

    def remove_vm(self, vm: Vm) -> tuple[int, int]:
        """Stop one VM gracefully; returns the exit codes of entry and control."""
        entry_code = vm.entry.stop()
        control_code = vm.control.stop()
        self.forget_vm(vm)
        return entry_code, control_code

    def forget_vm(self, vm: Vm) -> None:
        """Take a VM that is gone off the list."""
        self.vms.remove(vm)
        self.publish_vm_list()

    def publish_vm_list(self, leaving: Sequence[str] = ()) -> None:
        """Tell the platform's list which VMs there are."""
        listed = [
            ListedVm(
                vm.control.address,
                "entry",
                vm.data_centre,
                "leaving" if vm.name in leaving else "live",
            )
            for vm in self.vms
        ]
        body = {"vms": to_plain(listed)}
        url = f"{self.platform.url}/vms"
        httpx.post(url, json=body, timeout=HTTP_TIMEOUT_S).raise_for_status()

    def control_addresses(self) -> tuple[str, ...]:
        """Return where the control daemons answer."""
        return tuple(vm.control.address for vm in self.vms)

    def entry_urls(self) -> tuple[str, ...]:
        """Return where the entry daemons answer."""
        return tuple(vm.entry.url for vm in self.vms)

    def ledger(self, backend: str) -> dict[str, Any]:
        """Return a backend server's own record."""
        return self.ask(backend, "/ledger")

    def ask(self, backend: str, path: str) -> Any:
        """Return a backend server's answer to a GET."""
        url = f"{self.backends[backend].url}{path}"
        return httpx.get(url, timeout=HTTP_TIMEOUT_S).json()

    def platform_records(self, stream: str) -> Any:
        """Return a page of a stream, from its oldest retained record."""
        url = f"{self.platform.url}/streams/{stream}/records"
        return httpx.get(url, timeout=HTTP_TIMEOUT_S).json()

    def platform_loads(self) -> int:
        """Return how many models the weight store has loaded."""
        answer = httpx.get(f"{self.platform.url}/loads", timeout=HTTP_TIMEOUT_S)
        return int(answer.json()["models_loaded"])

    def set_fault(self, program: Program, **fault: Any) -> None:
        """Set a fault on a stand-in."""
        url = f"{program.url}/faults"
        answer = httpx.post(url, json={"faults": [fault]}, timeout=HTTP_TIMEOUT_S)
        answer.raise_for_status()

    def clear_faults(self, program: Program) -> None:
        """Clear the faults of a stand-in."""
        httpx.delete(f"{program.url}/faults", timeout=HTTP_TIMEOUT_S)

    def wait_for_models(self, limit_s: float) -> float:
        """Wait until every model and adapter of the manifest is ready somewhere.

        Parameters
        ----------
        limit_s : float
            How long to wait at most.

        Returns
        -------
        float
            How long it took.

        Raises
        ------
        TimeoutError
            Names those that are missing.
        """
        began_s = time.monotonic()
        while True:
            missing = self.missing_names()
            took_s = time.monotonic() - began_s
            if not missing:
                return took_s
            if took_s > limit_s:
                raise TimeoutError(f"not ready: {', '.join(sorted(missing))}")
            time.sleep(POLL_S)

    def missing_names(self) -> set[str]:
        """Return models and adapters that no engine serves now."""
        wanted = {model.name for model in self.manifest.models}
        wanted |= {a.name for model in self.manifest.models for a in model.adapters}
        for server in self.manifest.backend_servers:
            if server.accelerators:
                listed = self.ask(server.name, "/v1/models")["data"]
                wanted -= {item["id"] for item in listed}
        return wanted

    def close(self) -> dict[str, int]:
        """Stop everything, callers' side first; returns the exit codes."""
        codes: dict[str, int] = {}
        daemons = [vm.entry for vm in self.vms] + [vm.control for vm in self.vms]
        rest = [item for item in self._programs if item not in daemons]
        for group in ([vm.entry for vm in self.vms], [vm.control for vm in self.vms]):
            self._stop_all(group, codes)
        self._stop_all(rest, codes)
        return codes

    def _stop_all(self, programs: Sequence[Program], codes: dict[str, int]) -> None:
        for program in programs:
            program.send(signal.SIGCONT)
            program.send(signal.SIGTERM)
        for program in programs:
            codes[program.name] = program.wait()

    def _keep(self, program: Program) -> Program:
        self._programs.append(program)
        return program

    def _start_backend(self, server: BackendServer) -> BackendServer:
        ledger = ("--ledger-path", str(self._folder / f"{server.name}.ledger"))
        if server.accelerators:
            options = (
                *("--memory-mb", str(server.memory_mb)),
                *("--store-url", self.platform.url),
                *(() if server.checks_fencing else ("--ignore-fencing",)),
                *self._options.engine_options,
            )
            kind = "engine"
        else:
            kind, options = "service", ()
        program = self._keep(
            start_standin(kind, server.name, self._folder, *ledger, *options)
        )
        self.backends[server.name] = program
        return server._replace(url=program.url)

    def _start_vm(self, control_address: str, peers: Sequence[str]) -> Vm:
        self._vm_count += 1
        name = f"vm{self._vm_count}"
        servers = self.manifest.backend_servers
        centres = list(dict.fromkeys(server.data_centre for server in servers))
        centre = centres[(self._vm_count - 1) % len(centres)]
        others = tuple(peer for peer in peers if peer != control_address)
        region = servers[0].region
        platform_url = f"{self.platform.url}{via(name)}"
        control = ControlSettings(
            listen_address=control_address,
            data_centre=centre,
            region=region,
            log_url=platform_url,
            vm_list_url=platform_url,
            weight_store_url=platform_url,
            peer_addresses=others,
            lease_s=self._options.lease_s,
        )
        entry = EntrySettings(
            listen_address=free_address(),
            data_centre=centre,
            region=region,
            control_addresses=(control_address, *others),
            drain_notice_s=self._options.drain_notice_s,
            drain_limit_s=self._options.drain_limit_s,
        )
        vm = Vm(
            name,
            centre,
            self._keep(launch_control(f"{name}-control", self._folder, control)),
            self._keep(launch_entry(f"{name}-entry", self._folder, entry)),
        )
        self.vms.append(vm)
        return vm
