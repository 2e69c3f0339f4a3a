"""Starts a complete deployment on this machine and sends requests through it.

``sh tools/demo.sh [fjordmegling|kereru]`` installs the dependencies and runs it.
"""

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import httpx

from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.manifest import Manifest
from tools.fleet import Fleet, FleetOptions
from tools.make_examples import EXAMPLES, demo_key

MODEL_LOAD_TIMEOUT_S: Final = 120.0
REQUEST_TIMEOUT_S: Final = 60.0
PUBLISH_WAIT_S: Final = 30.0
MAX_TOKENS: Final = 24
OUTCOME_RECORDING_S: Final = 2.0


def main() -> None:
    """Run the demo with the example named on the command line."""
    name = sys.argv[1] if len(sys.argv) > 1 else "kereru"
    text = (EXAMPLES / f"{name}.json").read_bytes()
    manifest = from_json(Manifest, text).unwrap()
    with tempfile.TemporaryDirectory(prefix="pond-demo-") as folder:
        raise SystemExit(0 if _run(Path(folder), manifest) else 1)


def _run(folder: Path, manifest: Manifest) -> bool:
    print_step(
        f"starting the platform and {len(manifest.backend_servers)} backend servers"
    )
    fleet = Fleet(folder, manifest, FleetOptions())
    succeeded = False
    try:
        print_step("starting three VMs, each with pond-control and pond-entry")
        fleet.start_vms()
        _publish(fleet, folder)
        fleet.wait_until_ready()
        load_time_s = fleet.wait_for_models(MODEL_LOAD_TIMEOUT_S)
        print_step(
            f"every model and adapter is ready (after another {load_time_s:.1f} s)"
        )
        succeeded = _send_requests(fleet)
    finally:
        exit_codes = fleet.close()
        failed = {name: code for name, code in exit_codes.items() if code != 0}
        print_step(
            f"stopped {len(exit_codes)} processes; exit codes other than 0: {failed}"
        )
    return succeeded and not failed


def _publish(fleet: Fleet, folder: Path) -> None:
    path = folder / "manifest.json"
    path.write_text(to_json(fleet.manifest), encoding="utf-8")
    control = [word for a in fleet.control_addresses() for word in ("--control", a)]
    log = ["--log", fleet.platform.url, "--wait-s", str(PUBLISH_WAIT_S)]
    _run_pond_command("publish", str(path), *log, *control)


def _send_requests(fleet: Fleet) -> bool:
    customer = fleet.manifest.customers[0].name
    headers = {"authorization": f"Bearer {demo_key(customer)}"}
    first, second = fleet.entry_urls()[:2]
    model = fleet.manifest.models[0]
    with httpx.Client(headers=headers, timeout=REQUEST_TIMEOUT_S) as http:
        results = (
            _show_models(http, first),
            _stream(http, first, model.name),
            _generate(http, second, model.adapters[0].name),
            _call_service(http, second, fleet.manifest),
            _refuse_unknown_key(second, model.name),
        )
    _run_pond_command("status", "--control", fleet.control_addresses()[0])
    return all(results)


def _show_models(http: httpx.Client, url: str) -> bool:
    response = http.get(f"{url}/v1/models")
    print_step(f"VM 1 lists {len(response.json().get('data', []))} models and adapters")
    return response.status_code == 200


def _stream(http: httpx.Client, url: str, model: str) -> bool:
    print_step(f"VM 1 streams from {model}:")
    text = ""
    is_complete = False
    with http.stream(
        "POST", f"{url}/v1/chat/completions", json=_chat(model, stream=True)
    ) as response:
        for line in response.iter_lines():
            data = line.removeprefix("data: ")
            if data == "[DONE]":
                is_complete = True
            elif line.startswith("data: "):
                text += _delta_text(json.loads(data))
    print(f"    {text}")
    return is_complete and bool(text)


def _generate(http: httpx.Client, url: str, adapter: str) -> bool:
    response = http.post(
        f"{url}/v1/chat/completions", json=_chat(adapter, stream=False)
    )
    if response.status_code != 200:
        print_step(f"VM 2 answers {response.status_code}: {response.text}")
        return False
    body = response.json()
    print_step(f"VM 2 answers from the adapter {adapter}:")
    print(f"    {body['choices'][0]['message']['content']}")
    print(f"    usage: {body['usage']}")
    return True


def _call_service(http: httpx.Client, url: str, manifest: Manifest) -> bool:
    prefix = next(r.path_prefix for r in manifest.routes if r.kind == "plain")
    headers = {"idempotency-key": "demo-1"}
    first = http.post(f"{url}{prefix}42", json={"confirm": True}, headers=headers)
    time.sleep(OUTCOME_RECORDING_S)
    repeated = http.post(f"{url}{prefix}42", json={"confirm": True}, headers=headers)
    print_step(f"VM 2 posts to {prefix}42 twice with one Idempotency-Key:")
    print(f"    {first.status_code} {first.text}")
    print(f"    {repeated.status_code} {repeated.text}")
    return first.status_code == 200 and first.json().get("run") == 1


def _refuse_unknown_key(url: str, model: str) -> bool:
    response = httpx.post(
        f"{url}/v1/chat/completions",
        json=_chat(model, stream=False),
        headers={"authorization": "Bearer not-a-key"},
        timeout=REQUEST_TIMEOUT_S,
    )
    print_step(f"VM 2 refuses an unknown key with {response.status_code}:")
    print(f"    {response.text}")
    return response.status_code == 401


def _chat(model: str, *, stream: bool) -> dict[str, Any]:
    messages = [{"role": "user", "content": "What should we know this morning?"}]
    body = {"model": model, "messages": messages, "max_tokens": MAX_TOKENS}
    return body | {"stream": stream}


def _delta_text(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""


def _run_pond_command(*arguments: str) -> None:
    print_step(f"pond {arguments[0]}:")
    command = [sys.executable, "-m", "pistachiopond.cli", *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    for line in (completed.stdout + completed.stderr).splitlines():
        print(f"    {line}")


def print_step(line: str) -> None:
    """Print a step of the demo."""
    print(f"* {line}", flush=True)


if __name__ == "__main__":
    main()
