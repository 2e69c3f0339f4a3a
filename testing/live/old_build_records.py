"""Compares what two builds write and read: records, messages, settings, traces.

The module also runs as a script with the source of either build on its path. It then
prints one sample a line (``write``), or decodes the samples on standard input with
the build's own functions and encodes them again (``read``).
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
from collections.abc import Callable, Iterator
from pathlib import Path
from types import NoneType, UnionType
from typing import (
    Annotated,
    Any,
    Final,
    Literal,
    Union,
    get_args,
    get_origin,
    get_type_hints,
    is_typeddict,
)

from pydantic import TypeAdapter, ValidationError

# Where both builds differ in a module's or function's name, both names are listed.
MODULES: Final = (
    *("schema.records", "schema.calls", "schema.suspects", "schema.revision"),
    *("schema.routing", "schema.reports", "schema.heartbeat", "schema.engine_feed"),
    *("schema.engine", "schema.limits", "schema.status", "schema.settings"),
    *("schema.manifest", "schema.peer_messages", "replay.trace", "clients.vmlist"),
    *("clients.weightstore", "cli.fleet", "cli.publishing", "cli.status"),
)
NAMES: Final = {
    "to_json": ("schema.codec.to_json",),
    "from_json": ("schema.codec.from_json",),
    "read_record": ("schema.records.read_record",),
    "config_kinds": ("schema.records.CONFIG_KINDS",),
    "shard_kinds": ("schema.records.SHARD_KINDS",),
    "encode_line": ("schema.peer_messages.encode_line",),
    "decode_line": ("schema.peer_messages.decode_line",),
    "Manifest": ("schema.manifest.Manifest",),
    "generate_trace": ("replay.generate.generate_trace",),
    "write_trace": ("replay.trace.write_trace",),
    "read_trace": ("replay.trace.read_trace",),
    "decode_claim": ("vm.lead._decode",),
    "KeyedRecord": ("platform.store.KeyedRecord",),
    "grpc_file": ("transport.generated.pond_pb2.DESCRIPTOR",),
    "running_vm": ("testing.vm.deployment.running_world",),
}
# Each class is filled this many times, so that every literal and every member of a
# union has its turn.
VARIANTS: Final = 4
CLAIM_OFFSET: Final = 7
LIMIT_S: Final = 120.0
Sample = dict[str, str]


def check_records(old: Path, new: Path, say: Callable[[str, list[str]], None]) -> None:
    """Let each build read what the other writes."""
    written = {checkout: _run(checkout, "write", []) for checkout in (old, new)}
    names = _pair(written[old], written[new])
    faults: dict[str, list[str]] = {item["group"]: [] for item in written[old]}
    own = {_key(item): item["text"] for item in written[new]}
    for item in written[old]:
        other = own.pop((names.get(item["kind"], item["kind"]), item["part"]), None)
        if other != item["text"]:
            text = "nothing" if other is None else _difference(item["text"], other)
            faults[item["group"]].append(f"{item['kind']}: the builds write {text}")
    for kind, part in own:
        faults.setdefault(kind, []).append(f"{part}: written by the new build only")
    back = {new_name: old_name for old_name, new_name in names.items()}
    for writer, reader, pairs in ((old, new, names), (new, old, back)):
        asked = [
            {**item, "kind": pairs.get(item["kind"], item["kind"])}
            for item in written[writer]
        ]
        side = "new reads old" if writer == old else "old reads new"
        for item, answer in zip(asked, _run(reader, "read", asked), strict=True):
            if answer["text"] != item["text"]:
                what = _difference(item["text"], answer["text"])
                faults[item["group"]].append(f"{side}, {item['kind']}: {what}")
    for group, lines in faults.items():
        count = sum(item["group"] == group for item in written[old])
        say(f"{group}, {count} samples", lines)


def _key(item: Sample) -> tuple[str, str]:
    return item["kind"], item["part"]


def _pair(old: list[Sample], new: list[Sample]) -> dict[str, str]:
    """Return the new names of renamed classes, by their order in their module."""
    pairs: dict[str, str] = {}
    for group in dict.fromkeys(item["group"] for item in old):
        kinds = [
            list(dict.fromkeys(i["kind"] for i in items if i["group"] == group))
            for items in (old, new)
        ]
        gone = [kind for kind in kinds[0] if kind not in kinds[1]]
        come = [kind for kind in kinds[1] if kind not in kinds[0]]
        pairs.update(zip(gone, come, strict=False))
    return pairs


def _difference(first: str, second: str) -> str:
    both = zip(first, second, strict=False)
    at = next((n for n, (a, b) in enumerate(both) if a != b), min(len(first), 10**9))
    start = max(0, at - 30)
    return f"{first[start : at + 40]!r} against {second[start : at + 80]!r}"


def _run(checkout: Path, action: str, samples: list[Sample]) -> list[Sample]:
    done = subprocess.run(
        [sys.executable, "-P", __file__, action],
        cwd=checkout,
        env={**os.environ, "PYTHONPATH": f"{checkout / 'src'}:{checkout}"},
        input="".join(json.dumps(item) + "\n" for item in samples),
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    if done.returncode:
        raise RuntimeError(f"{action} in {checkout}: {done.stderr[-2000:]}")
    where, *lines = done.stdout.splitlines()
    if not Path(where).is_relative_to(checkout / "src"):
        raise RuntimeError(f"{checkout} was to be looked at, but {where} was")
    return [json.loads(line) for line in lines]


# From here on, what runs in either build.


def _find(name: str) -> Any:
    for path in NAMES[name]:
        module, attribute = path.rsplit(".", 1)
        prefix = "" if module.startswith("testing.") else "_pistachiopond."
        try:
            return getattr(importlib.import_module(prefix + module), attribute)
        except (ImportError, AttributeError):
            continue
    raise LookupError(f"{name}: none of {NAMES[name]} is there")


def _class_of(kind: str) -> Any:
    module, name = kind.split(":")
    return getattr(importlib.import_module(f"_pistachiopond.{module}"), name)


def _is_record(kind: Any) -> bool:
    is_named_tuple = isinstance(kind, type) and hasattr(kind, "_field_defaults")
    return is_typeddict(kind) or is_named_tuple


def _write() -> Iterator[Sample]:
    for module in MODULES:
        names = vars(importlib.import_module(f"_pistachiopond.{module}"))
        for name, kind in list(names.items()):
            is_own = getattr(kind, "__module__", "") == f"_pistachiopond.{module}"
            if is_own and _is_record(kind) and _is_plain(kind):
                for part, text in _samples(kind):
                    yield _sample(module, f"{module}:{name}", part, text)
    for path in sorted(Path("examples").glob("*.json")):
        manifest = _find("from_json")(_find("Manifest"), path.read_bytes()).unwrap()
        text = _find("to_json")(manifest)
        yield _sample("examples", "schema.manifest:Manifest", path.name, text)
    yield _sample("trace", "trace", "", _write_trace())
    yield _sample("leader's record", "claim", "", asyncio.run(_write_claim()))
    described = base64.b64encode(_find("grpc_file").serialized_pb).decode()
    yield _sample("grpc", "grpc", "", described)


def _sample(group: str, kind: str, part: str, text: str) -> Sample:
    return {"group": group, "kind": kind, "part": part, "text": text}


def _is_plain(kind: Any) -> bool:
    """Return whether a class holds data only, no functions."""
    hints = get_type_hints(kind, include_extras=True)
    return not any("Callable[" in str(hint) for hint in hints.values())


def _samples(kind: Any) -> Iterator[tuple[str, str]]:
    for variant in range(VARIANTS):
        plain = _make(kind, itertools.count(2), variant)
        yield f"filled {variant}", _encode(kind, plain)
    if is_typeddict(kind):
        required = {name: plain[name] for name in sorted(kind.__required_keys__)}
    else:
        required = {
            name: value
            for name, value in plain.items()
            if name not in kind._field_defaults
        }
    yield "defaults", _encode(kind, required)


def _encode(kind: Any, plain: Any) -> str:
    if is_typeddict(kind):
        return _find("encode_line")(plain).decode()
    return _find("to_json")(_find("from_json")(kind, json.dumps(plain)).unwrap())


def _make(kind: Any, numbers: Iterator[int], variant: int) -> Any:
    """Return plain data of a type, another value for each field."""
    origin, args = get_origin(kind), get_args(kind)
    if _is_record(kind):
        hints = get_type_hints(kind, include_extras=True)
        return {
            name: _make_field(kind, name, hint, numbers, variant)
            for name, hint in hints.items()
        }
    if origin is Annotated and args[0] not in (str, int, float):
        return _make(args[0], numbers, variant)
    if origin is Literal:
        return args[variant % len(args)]
    if origin in (Union, UnionType):
        return _make(args[variant % len(args)], numbers, variant)
    if origin is dict:
        return {
            _make(args[0], numbers, variant): _make(args[1], numbers, variant)
            for _ in range(2)
        }
    if origin is tuple and args[-1] is not Ellipsis:
        return [_make(item, numbers, variant) for item in args]
    if origin in (tuple, list, frozenset):
        return [_make(args[0], numbers, variant) for _ in range(2)]
    if kind is bool:
        return variant % 2 == 0
    return None if kind is NoneType else _fitting(kind, next(numbers))


def _make_field(
    kind: Any, name: str, hint: Any, numbers: Iterator[int], variant: int
) -> Any:
    """Return a value for a field; its default only where there is no other."""
    defaults = getattr(kind, "_field_defaults", {})
    for later in range(VARIANTS):
        value = _make(hint, numbers, variant + later)
        if name not in defaults or value != defaults[name]:
            return value
    return value


def _fitting(kind: Any, number: int) -> Any:
    """Return a string or number that the type's bounds allow."""
    candidates = (
        *(number, number % 200 + 2, number + 0.5, 1.0 / number, f"té/xt-{number}"),
        *(f"text-{number}", f"{number:064x}", f"127.0.0.1:{number}"),
        *(f"http://127.0.0.1:{number}", f"/path-{number}"),
    )
    base = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    for candidate in candidates:
        try:
            if type(candidate) is base:
                return TypeAdapter(kind).validate_python(candidate)
        except ValidationError:
            continue
    raise TypeError(f"no sample fits {kind}")


def _write_trace() -> str:
    return _trace_text(_find("generate_trace")("fjordmegling", 5.0, 1))


def _trace_text(trace: Any) -> str:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "trace"
        _find("write_trace")(trace, path)
        return path.read_text(encoding="utf-8")


async def _write_claim() -> str:
    """Return a leader's record as a running VM writes it, without what is random."""
    async with _find("running_vm")() as world:
        _, value = world.store.topics["keyed.pond"][-1]
        plain = json.loads(value)
    # The sample must be the same each time; the shape is as it was written.
    known = {"incarnation": "00000000", "address": "127.0.0.1:1"}
    return json.dumps({name: known.get(name, item) for name, item in plain.items()})


def _read(item: Sample) -> str:
    """Decode a sample with this build's functions and encode it again."""
    kind, text = item["kind"], item["text"]
    if kind == "trace":
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace"
            path.write_text(text, encoding="utf-8")
            return _trace_text(_find("read_trace")(path).unwrap())
    if kind == "claim":
        record = _find("KeyedRecord")(CLAIM_OFFSET, "leader", text.encode())
        offset, *values = _find("decode_claim")(record)
        assert offset == CLAIM_OFFSET
        names = ("leader", "incarnation", "address")
        return json.dumps(dict(zip(names, values, strict=True)))
    if kind == "grpc":
        return base64.b64encode(_find("grpc_file").serialized_pb).decode()
    cls = _class_of(kind)
    if is_typeddict(cls):
        plain = _find("decode_line")(text.encode()).unwrap()
        return _find("encode_line")(_rebuild(cls, plain)).decode()
    if kind.startswith("schema.records:") and "kind" in cls._fields:
        kinds = {**_find("config_kinds"), **_find("shard_kinds")}
        return _find("to_json")(_find("read_record")(kinds, text).unwrap())
    return _find("to_json")(_find("from_json")(cls, text).unwrap())


def _rebuild(kind: Any, plain: Any) -> Any:
    """Return a message's data if its keys are those of its type."""
    args = get_args(kind)
    if is_typeddict(kind):
        hints = get_type_hints(kind)
        missing, unknown = kind.__required_keys__ - set(plain), set(plain) - set(hints)
        if missing or unknown:
            raise ValueError(f"{kind.__name__}: {missing} missing, {unknown} unknown")
        return {name: _rebuild(hints[name], value) for name, value in plain.items()}
    if get_origin(kind) is dict:
        return {name: _rebuild(args[1], value) for name, value in plain.items()}
    if get_origin(kind) is list:
        return [_rebuild(args[0], value) for value in plain]
    return plain


def _read_safely(item: Sample) -> Sample:
    try:
        return {**item, "text": _read(item)}
    except Exception as error:
        return {**item, "text": f"{type(error).__name__}: {error}"}


def main() -> None:
    """Write samples, or read those of another build."""
    print(importlib.import_module("_pistachiopond").__file__)
    if sys.argv[1] == "write":
        found = _write()
    else:
        found = (_read_safely(json.loads(line)) for line in sys.stdin)
    for item in found:
        print(json.dumps(item))


if __name__ == "__main__":
    main()
