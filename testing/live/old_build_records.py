"""Compares what two builds write and read: records, messages, settings, traces.

Runs as a script with the source of either build on its path: ``write`` prints samples,
``read`` decodes those on standard input and encodes them again.
"""

import asyncio
import base64
import importlib
import itertools
import json
import os
import subprocess
import sys
import tempfile
import types
import typing
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final, get_args, get_origin, get_type_hints, is_typeddict

from pydantic import TypeAdapter, ValidationError

MODULES: Final = (
    *("schema.records", "schema.calls", "schema.suspects", "schema.revision"),
    *("schema.routing", "schema.reports", "schema.heartbeat", "schema.engine_feed"),
    *("schema.engine", "schema.limits", "schema.status", "schema.settings"),
    *("schema.manifest", "schema.peer_messages", "replay.trace", "clients.vmlist"),
    *("clients.weightstore", "cli.fleet", "cli.publishing", "cli.status"),
)
# Newer names of modules and functions that are looked up below, by the older names.
RENAMED: Final[dict[str, str]] = {
    "clients.vmlist": "clients.vm_list",
    "clients.weightstore": "clients.weight_store",
    "vm.lead._decode": "vm.leader_election._decode",
    "testing.vm.deployment.running_world": "testing.vm.deployment.running_deployment",
}
# Each class is filled this often, so that every literal and union member has its turn.
VARIANTS: Final = 4
LIMIT_S: Final = 120.0


def check_records(old: Path, new: Path, say: Callable[[str, list[str]], None]) -> None:
    """Let each build read what the other writes."""
    by_old, by_new = _run(old, "write", []), _run(new, "write", [])
    faults: dict[str, list[str]] = {item["group"]: [] for item in by_old + by_new}
    for what, expected, found in (
        ("old and new write", by_old, by_new),
        ("new reads old", by_old, _run(new, "read", by_old)),
        ("old reads new", by_new, _run(old, "read", by_new)),
    ):
        nothing = {"group": "", "kind": "", "name": "", "text": ""}
        for one, two in itertools.zip_longest(expected, found, fillvalue=nothing):
            if (one["kind"], one["text"]) != (two["kind"], two["text"]):
                pairs = zip(one["text"], two["text"], strict=False)
                same = len(list(itertools.takewhile(lambda x: x[0] == x[1], pairs)))
                parts = [x["text"][max(0, same - 30) : same + 70] for x in (one, two)]
                line = f"{what} {one['name']}: {parts[0]!r} became {parts[1]!r}"
                faults[one["group"] or two["group"]].append(line)
    for group, lines in faults.items():
        say(f"{group}, {sum(x['group'] == group for x in by_old)} samples", lines)


def _run(checkout: Path, action: str, samples: list[dict[str, str]]) -> list[Any]:
    path = f"{checkout / 'src'}:{checkout}"
    done = subprocess.run(
        [sys.executable, "-P", __file__, action],
        cwd=checkout,
        env={**os.environ, "PYTHONPATH": path},
        input="".join(json.dumps(item) + "\n" for item in samples).encode(),
        capture_output=True,
        timeout=LIMIT_S,
    )
    where, *lines = done.stdout.decode().splitlines() or [""]
    if done.returncode or not Path(where).is_relative_to(checkout / "src"):
        raise RuntimeError(f"{action} by {where}: {done.stderr.decode()[-2000:]}")
    return [json.loads(line) for line in lines]


# From here on, what runs in either build.


def _find(path: str) -> Any:
    """Return a module, or a name in one, under the name that it has in this build."""
    for name in (path, RENAMED.get(path, path)):
        full = name if name.startswith("testing.") else f"_pistachiopond.{name}"
        try:
            return importlib.import_module(full)
        except ImportError:
            module, _, attribute = full.rpartition(".")
        try:
            return getattr(importlib.import_module(module), attribute)
        except (ImportError, AttributeError):
            continue
    raise LookupError(f"{path} is not there; name its new place in RENAMED")


def _classes(module: str) -> list[Any]:
    """Return a module's own named tuples and typed dictionaries that hold only data."""
    found = _find(module)
    kinds = [x for x in vars(found).values() if _is_record(x)]
    own = [kind for kind in kinds if kind.__module__ == found.__name__]
    return [kind for kind in own if "Callable[" not in str(get_type_hints(kind))]


def _is_record(kind: Any) -> bool:
    return is_typeddict(kind) or hasattr(kind, "_field_defaults")


def _write() -> Iterator[tuple[str, str, str, str]]:
    for module in MODULES:
        # By their places, since classes may be renamed.
        for place, kind in enumerate(_classes(module)):
            for text in _samples(kind):
                yield module, f"{module}:{place}", kind.__name__, text
    for path in sorted(Path("examples").glob("*.json")):
        yield "examples", "manifest", path.name, _read("manifest", path.read_text())
    trace = _find("replay.generate.generate_trace")("fjordmegling", 5.0, 1)
    yield "trace", "trace", "trace", _trace_text(trace)
    yield "leader", "claim", "claim", asyncio.run(_write_claim())
    yield "grpc", "grpc", "grpc", _describe_grpc()


def _samples(kind: Any) -> Iterator[str]:
    for variant in range(VARIANTS):
        plain = _make(kind, itertools.count(2), variant)
        yield _encode(kind, plain)
    # What may be left out shows its defaults.
    optional = {*getattr(kind, "_field_defaults", ())}
    optional |= getattr(kind, "__optional_keys__", set())
    yield _encode(kind, {x: plain[x] for x in plain if x not in optional})


def _encode(kind: Any, plain: Any) -> str:
    if is_typeddict(kind):
        return _find("schema.peer_messages.encode_line")(plain).decode()
    typed = _find("schema.codec.from_plain")(kind, plain).unwrap()
    return _find("schema.codec.to_json")(typed)


def _make(kind: Any, numbers: Iterator[int], variant: int) -> Any:
    """Return plain data of a type, another value for each field."""
    origin, args = get_origin(kind), get_args(kind)
    if _is_record(kind):
        return _make_fields(kind, numbers, variant)
    if origin is typing.Literal:
        return args[variant % len(args)]
    if origin is typing.Annotated and args[0] not in (str, int, float):
        return _make(args[0], numbers, variant)
    if origin in (typing.Union, types.UnionType):
        return _make(args[variant % len(args)], numbers, variant)
    if origin is dict:
        return dict(_make(tuple[args], numbers, variant) for _ in range(2))
    if origin is tuple and args[-1] is not Ellipsis:
        return [_make(item, numbers, variant) for item in args]
    if origin in (tuple, list, frozenset):
        return [_make(args[0], numbers, variant) for _ in range(2)]
    fixed = {bool: variant % 2 == 0, types.NoneType: None}
    return fixed[kind] if kind in fixed else _fitting(kind, next(numbers))


def _make_fields(kind: Any, numbers: Iterator[int], variant: int) -> Any:
    made = {}
    defaults = getattr(kind, "_field_defaults", {})
    for name, hint in get_type_hints(kind, include_extras=True).items():
        # A default only where there is no other value.
        for later in range(VARIANTS):
            made[name] = _make(hint, numbers, variant + later)
            if name not in defaults or made[name] != defaults[name]:
                break
    return made


def _fitting(kind: Any, number: int) -> Any:
    """Return a string or number that the type's bounds allow."""
    candidates = (
        *(number, number % 200 + 2, number + 0.5, 1.0 / number, f"té/xt-{number}"),
        *(f"text-{number}", f"{number:064x}", f"127.0.0.1:{number}"),
        *(f"http://127.0.0.1:{number}", f"/path-{number}"),
    )
    base = get_args(kind)[0] if get_origin(kind) is typing.Annotated else kind
    for candidate in candidates:
        try:
            if type(candidate) is base:
                return TypeAdapter(kind).validate_python(candidate)
        except ValidationError:
            continue
    raise TypeError(f"no sample fits {kind}")


def _trace_text(trace: Any) -> str:
    with tempfile.NamedTemporaryFile() as file:
        _find("replay.trace.write_trace")(trace, Path(file.name))
        return Path(file.name).read_text(encoding="utf-8")


async def _write_claim() -> str:
    """Return a leader's record as a VM writes it, but for its random values."""
    async with _find("testing.vm.deployment.running_world")() as world:
        plain = json.loads(world.store.topics["keyed.pond"][-1][1])
    known = {"incarnation": "00000000", "address": "127.0.0.1:1"}
    return json.dumps({name: known.get(name, item) for name, item in plain.items()})


def _describe_grpc() -> str:
    described = _find("transport.generated.pond_pb2.DESCRIPTOR").serialized_pb
    return base64.b64encode(described).decode()


def _read(kind: str, text: str) -> str:
    """Decode a sample with this build's functions and encode it again."""
    if kind == "trace":
        with tempfile.NamedTemporaryFile() as file:
            Path(file.name).write_text(text, encoding="utf-8")
            trace = _find("replay.trace.read_trace")(Path(file.name)).unwrap()
        return _trace_text(trace)
    if kind == "claim":
        record = _find("platform.store.KeyedRecord")(7, "leader", text.encode())
        _, *values = _find("vm.lead._decode")(record)
        names = ("leader", "incarnation", "address")
        return json.dumps(dict(zip(names, values, strict=True)))
    if kind == "grpc":
        return _describe_grpc()
    module, _, place = kind.partition(":")
    cls = _classes(module)[int(place)] if place else _find("schema.manifest.Manifest")
    if is_typeddict(cls):
        # Nothing checks its keys here; that both builds write the same ones does.
        plain = _find("schema.peer_messages.decode_line")(text.encode()).unwrap()
        return _encode(cls, plain)
    if module == "schema.records" and "kind" in cls._fields:
        streams = [_find(f"schema.records.{x}_KINDS") for x in ("CONFIG", "SHARD")]
        read = _find("schema.records.read_record")({**streams[0], **streams[1]}, text)
    else:
        read = _find("schema.codec.from_json")(cls, text)
    return _find("schema.codec.to_json")(read.unwrap())


def main() -> None:
    """Write samples, or read those of another build."""
    print(importlib.import_module("_pistachiopond").__file__)
    if sys.argv[1] == "write":
        for values in _write():
            names = ("group", "kind", "name", "text")
            print(json.dumps(dict(zip(names, values, strict=True))))
        return
    for item in map(json.loads, sys.stdin):
        try:
            item["text"] = _read(item["kind"], item["text"])
        except Exception as error:
            item["text"] = f"{type(error).__name__}: {error}"
        print(json.dumps(item))


if __name__ == "__main__":
    main()
