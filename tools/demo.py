"""Runs a whole deployment on this machine and sends real requests through it.

``sh tools/demo.sh [fjordmegling|kereru]`` installs what is missing and calls this.
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

LOADED_LIMIT_S: Final = 120.0
REQUEST_TIMEOUT_S: Final = 60.0
PUBLISH_WAIT_S: Final = 30.0
MAX_TOKENS: Final = 24
OUTCOME_RECORDED_S: Final = 2.0


def main() -> None:
    """Run the demo with the example that the command line names."""
    name = sys.argv[1] if len(sys.argv) > 1 else "kereru"
    text = (EXAMPLES / f"{name}.json").read_bytes()
    manifest = from_json(Manifest, text).unwrap()
    with tempfile.TemporaryDirectory(prefix="pond-demo-") as folder:
        raise SystemExit(0 if _run(Path(folder), manifest) else 1)


def _run(folder: Path, manifest: Manifest) -> bool:
    say(f"starting the platform and {len(manifest.backend_servers)} backend servers")
    fleet = Fleet(folder, manifest, FleetOptions())
    done = False
    try:
        say("starting three VMs, each with pond-control and pond-entry")
        fleet.start_vms()
        _publish(fleet, folder)
        fleet.wait_until_ready()
        took_s = fleet.wait_for_models(LOADED_LIMIT_S)
        say(f"every model and adapter is ready ({took_s:.1f} s more)")
        done = _use(fleet)
    finally:
        codes = fleet.close()
        failed = {name: code for name, code in codes.items() if code != 0}
        say(f"stopped {len(codes)} processes; exit codes other than 0: {failed}")
    return done and not failed


def _publish(fleet: Fleet, folder: Path) -> None:
    path = folder / "manifest.json"
    path.write_text(to_json(fleet.manifest), encoding="utf-8")
    control = [word for a in fleet.control_addresses() for word in ("--control", a)]
    log = ["--log", fleet.platform.url, "--wait-s", str(PUBLISH_WAIT_S)]
    _pond("publish", str(path), *log, *control)


def _use(fleet: Fleet) -> bool:
    customer = fleet.manifest.customers[0].name
    headers = {"authorization": f"Bearer {demo_key(customer)}"}
    first, second = fleet.entry_urls()[:2]
    model = fleet.manifest.models[0]
    with httpx.Client(headers=headers, timeout=REQUEST_TIMEOUT_S) as http:
        results = (
            _show_models(http, first),
            _stream(http, first, model.name),
            _ask(http, second, model.adapters[0].name),
            _call_service(http, second, fleet.manifest),
            _refuse_unknown_key(second, model.name),
        )
    _pond("status", "--control", fleet.control_addresses()[0])
    return all(results)


def _show_models(http: httpx.Client, url: str) -> bool:
    answer = http.get(f"{url}/v1/models")
    say(f"VM 1 lists {len(answer.json().get('data', []))} models and adapters")
    return answer.status_code == 200


def _stream(http: httpx.Client, url: str, model: str) -> bool:
    say(f"VM 1 streams from {model}:")
    text = ""
    is_whole = False
    with http.stream(
        "POST", f"{url}/v1/chat/completions", json=_chat(model, stream=True)
    ) as answer:
        for line in answer.iter_lines():
            data = line.removeprefix("data: ")
            if data == "[DONE]":
                is_whole = True
            elif line.startswith("data: "):
                text += _delta(json.loads(data))
    print(f"    {text}")
    return is_whole and bool(text)


def _ask(http: httpx.Client, url: str, adapter: str) -> bool:
    answer = http.post(f"{url}/v1/chat/completions", json=_chat(adapter, stream=False))
    if answer.status_code != 200:
        say(f"VM 2 answers {answer.status_code}: {answer.text}")
        return False
    plain = answer.json()
    say(f"VM 2 answers from the adapter {adapter}:")
    print(f"    {plain['choices'][0]['message']['content']}")
    print(f"    usage: {plain['usage']}")
    return True


def _call_service(http: httpx.Client, url: str, manifest: Manifest) -> bool:
    prefix = next(r.path_prefix for r in manifest.routes if r.kind == "plain")
    headers = {"idempotency-key": "demo-1"}
    first = http.post(f"{url}{prefix}42", json={"confirm": True}, headers=headers)
    time.sleep(OUTCOME_RECORDED_S)
    again = http.post(f"{url}{prefix}42", json={"confirm": True}, headers=headers)
    say(f"VM 2 posts to {prefix}42 twice with one Idempotency-Key:")
    print(f"    {first.status_code} {first.text}")
    print(f"    {again.status_code} {again.text}")
    return first.status_code == 200 and first.json().get("run") == 1


def _refuse_unknown_key(url: str, model: str) -> bool:
    answer = httpx.post(
        f"{url}/v1/chat/completions",
        json=_chat(model, stream=False),
        headers={"authorization": "Bearer not-a-key"},
        timeout=REQUEST_TIMEOUT_S,
    )
    say(f"VM 2 refuses an unknown key with {answer.status_code}:")
    print(f"    {answer.text}")
    return answer.status_code == 401


def _chat(model: str, *, stream: bool) -> dict[str, Any]:
    messages = [{"role": "user", "content": "What should we know this morning?"}]
    body = {"model": model, "messages": messages, "max_tokens": MAX_TOKENS}
    return body | {"stream": stream}


def _delta(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""


def _pond(*arguments: str) -> None:
    say(f"pond {arguments[0]}:")
    command = [sys.executable, "-m", "pistachiopond.cli", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    for line in (done.stdout + done.stderr).splitlines():
        print(f"    {line}")


def say(line: str) -> None:
    """Print one step of the demo."""
    print(f"* {line}", flush=True)


if __name__ == "__main__":
    main()
