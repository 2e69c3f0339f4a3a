"""A complete deployment on one machine: control and entry daemons, and stand-ins."""

import signal
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple, final

import httpx

from _pistachiopond.clients.vm_list import ListedVm
from _pistachiopond.schema.codec import to_plain
from _pistachiopond.schema.manifest import BackendServer, Manifest
from _pistachiopond.schema.settings import ControlSettings, EntrySettings
from tools.processes import (
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
    """The control daemon and the entry daemon of one VM."""

    name: str
    data_centre: str
    control: Program
    entry: Program


class FleetOptions(NamedTuple):
    """Options of a deployment.

    Attributes
    ----------
    vms : int
        Number of VMs, which are placed in the manifest's data centres in turn.
    platform_options, engine_options : tuple of str
        Additional command-line options of these stand-ins.
    lease_s : float
        Duration of the leases on shards, in seconds.
    drain_notice_s, drain_limit_s : float
        Settings of the entry daemons; see `EntrySettings`.
    """

    vms: int = 3
    platform_options: tuple[str, ...] = ()
    engine_options: tuple[str, ...] = ()
    lease_s: float = 10.0
    drain_notice_s: float = 1.0
    drain_limit_s: float = 60.0


def platform_path_prefix(vm_name: str) -> str:
    """Return the path prefix under which one VM calls the platform stand-in.

    Faults set on this prefix affect that VM only.
    """
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
        self.platform = self._track(
            start_standin("platform", "platform", folder, *options.platform_options)
        )
        self.manifest = manifest._replace(
            backend_servers=tuple(
                self._start_backend(server) for server in manifest.backend_servers
            )
        )

    def start_vms(self) -> None:
        """Start all VMs' daemons and wait until the control daemons listen."""
        controls = [free_address() for _ in range(self._options.vms)]
        for address in controls:
            self._start_vm(address, controls)
        self.publish_vm_list()
        for vm in self.vms:
            wait_for_port(vm.control)

    def wait_until_ready(self) -> None:
        """Wait until every entry daemon reports that it is ready."""
        for vm in self.vms:
            wait_for_ready(vm.entry)

    def add_vm(self) -> Vm:
        """Start another VM and wait until its control daemon listens."""
        known = [vm.control.address for vm in self.vms]
        vm = self._start_vm(free_address(), known)
        self.publish_vm_list()
        wait_for_port(vm.control)
        return vm

    def remove_vm(self, vm: Vm) -> tuple[int, int]:
        """Stop a VM gracefully and return the exit codes of its entry and control."""
        entry_code = vm.entry.stop()
        control_code = vm.control.stop()
        self.unlist_vm(vm)
        return entry_code, control_code

    def unlist_vm(self, vm: Vm) -> None:
        """Remove a stopped VM from the platform's VM list."""
        self.vms.remove(vm)
        self.publish_vm_list()

    def publish_vm_list(self, leaving: Sequence[str] = ()) -> None:
        """Send the current list of VMs to the platform stand-in."""
        listed_vms = [
            ListedVm(
                vm.control.address,
                "entry",
                vm.data_centre,
                "leaving" if vm.name in leaving else "live",
            )
            for vm in self.vms
        ]
        body = {"vms": to_plain(listed_vms)}
        url = f"{self.platform.url}/vms"
        httpx.post(url, json=body, timeout=HTTP_TIMEOUT_S).raise_for_status()

    def control_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the control daemons."""
        return tuple(vm.control.address for vm in self.vms)

    def entry_urls(self) -> tuple[str, ...]:
        """Return the base URLs of the entry daemons."""
        return tuple(vm.entry.url for vm in self.vms)

    def fetch_ledger(self, backend: str) -> dict[str, Any]:
        """Return a backend server's ledger, its log of the requests that it ran."""
        return self.get_json(backend, "/ledger")

    def get_json(self, backend: str, path: str) -> Any:
        """Return the JSON response of a backend server to a GET request."""
        url = f"{self.backends[backend].url}{path}"
        return httpx.get(url, timeout=HTTP_TIMEOUT_S).json()

    def fetch_records(self, stream: str) -> Any:
        """Return a page of a log stream, from its oldest retained record."""
        url = f"{self.platform.url}/streams/{stream}/records"
        return httpx.get(url, timeout=HTTP_TIMEOUT_S).json()

    def count_model_loads(self) -> int:
        """Return the number of models loaded from the weight store so far."""
        response = httpx.get(f"{self.platform.url}/loads", timeout=HTTP_TIMEOUT_S)
        return int(response.json()["models_loaded"])

    def set_fault(self, program: Program, **fault: Any) -> None:
        """Configure a fault on a stand-in."""
        url = f"{program.url}/faults"
        response = httpx.post(url, json={"faults": [fault]}, timeout=HTTP_TIMEOUT_S)
        response.raise_for_status()

    def clear_faults(self, program: Program) -> None:
        """Remove all faults from a stand-in."""
        httpx.delete(f"{program.url}/faults", timeout=HTTP_TIMEOUT_S)

    def wait_for_models(self, limit_s: float) -> float:
        """Wait until an engine serves each model and adapter of the manifest.

        Parameters
        ----------
        limit_s : float
            Maximum time to wait, in seconds.

        Returns
        -------
        float
            Time that it took, in seconds.

        Raises
        ------
        TimeoutError
            If models or adapters are still missing; the message names them.
        """
        started_s = time.monotonic()
        while True:
            missing = self.missing_names()
            elapsed_s = time.monotonic() - started_s
            if not missing:
                return elapsed_s
            if elapsed_s > limit_s:
                raise TimeoutError(
                    f"not ready after {limit_s:g} s: {', '.join(sorted(missing))}"
                )
            time.sleep(POLL_S)

    def missing_names(self) -> set[str]:
        """Return the models and adapters of the manifest that no engine serves."""
        missing = {model.name for model in self.manifest.models}
        missing |= {a.name for model in self.manifest.models for a in model.adapters}
        for server in self.manifest.backend_servers:
            if server.accelerators:
                model_list = self.get_json(server.name, "/v1/models")["data"]
                missing -= {item["id"] for item in model_list}
        return missing

    def close(self) -> dict[str, int]:
        """Stop all processes and return their exit codes by name.

        Entry daemons stop first, then control daemons, then the stand-ins.
        """
        exit_codes: dict[str, int] = {}
        daemons = [vm.entry for vm in self.vms] + [vm.control for vm in self.vms]
        other_programs = [item for item in self._programs if item not in daemons]
        for group in ([vm.entry for vm in self.vms], [vm.control for vm in self.vms]):
            self._stop_all(group, exit_codes)
        self._stop_all(other_programs, exit_codes)
        return exit_codes

    def _stop_all(
        self, programs: Sequence[Program], exit_codes: dict[str, int]
    ) -> None:
        for program in programs:
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGTERM)
        for program in programs:
            exit_codes[program.name] = program.wait()

    def _track(self, program: Program) -> Program:
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
        program = self._track(
            start_standin(kind, server.name, self._folder, *ledger, *options)
        )
        self.backends[server.name] = program
        return server._replace(url=program.url)

    def _start_vm(self, control_address: str, peers: Sequence[str]) -> Vm:
        self._vm_count += 1
        name = f"vm{self._vm_count}"
        servers = self.manifest.backend_servers
        data_centres = list(dict.fromkeys(server.data_centre for server in servers))
        vm_data_centre = data_centres[(self._vm_count - 1) % len(data_centres)]
        others = tuple(peer for peer in peers if peer != control_address)
        region = servers[0].region
        platform_url = f"{self.platform.url}{platform_path_prefix(name)}"
        control = ControlSettings(
            listen_address=control_address,
            data_centre=vm_data_centre,
            region=region,
            log_url=platform_url,
            vm_list_url=platform_url,
            weight_store_url=platform_url,
            peer_addresses=others,
            lease_s=self._options.lease_s,
        )
        entry = EntrySettings(
            listen_address=free_address(),
            data_centre=vm_data_centre,
            region=region,
            control_addresses=(control_address, *others),
            drain_notice_s=self._options.drain_notice_s,
            drain_limit_s=self._options.drain_limit_s,
        )
        vm = Vm(
            name,
            vm_data_centre,
            self._track(launch_control(f"{name}-control", self._folder, control)),
            self._track(launch_entry(f"{name}-entry", self._folder, entry)),
        )
        self.vms.append(vm)
        return vm
