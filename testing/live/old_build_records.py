"""Compares what two builds write and read: records, messages, settings, traces.

Each build runs this file as a script, with its own source on the path: ``write``
prints samples, and ``read`` decodes the samples on standard input and encodes them
again. Both print one JSON object per sample.
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
from collections import Counter
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
# New names of renamed modules and functions, by the old names used in this file.
RENAMED: Final[dict[str, str]] = {
    "clients.vmlist": "clients.vm_list",
    "clients.weightstore": "clients.weight_store",
    "vm.lead._decode": "vm.leader_election._decode",
    "testing.vm.deployment.running_world": "testing.vm.deployment.running_deployment",
}
# Samples with all fields that are made of each class. A literal or union with up to
# this many members takes each of them in one of the samples.
VARIANT_COUNT: Final = 4
TIMEOUT_S: Final = 120.0


def check_records(
    old: Path, new: Path, report: Callable[[str, list[str]], None]
) -> None:
    """Compare what the builds write, and let each read what the other writes."""
    by_old, by_new = _run_build(old, "write", []), _run_build(new, "write", [])
    differences: dict[str, list[str]] = {item["group"]: [] for item in by_old + by_new}
    for comparison, expected, found in (
        ("old and new write", by_old, by_new),
        ("new reads old", by_old, _run_build(new, "read", by_old)),
        ("old reads new", by_new, _run_build(old, "read", by_new)),
    ):
        for one, two in _paired(expected, found):
            if (one["kind"], one["text"]) != (two["kind"], two["text"]):
                pairs = zip(one["text"], two["text"], strict=False)
                equal = len(list(itertools.takewhile(lambda x: x[0] == x[1], pairs)))
                # The texts around the first character that differs.
                parts = [x["text"][max(0, equal - 30) : equal + 70] for x in (one, two)]
                line = f"{comparison} {one['name']}: {parts[0]!r} became {parts[1]!r}"
                differences[one["group"] or two["group"]].append(line)
    for group, lines in differences.items():
        report(f"{group}, {sum(x['group'] == group for x in by_old)} samples", lines)


def _paired(
    expected: list[dict[str, str]], found: list[dict[str, str]]
) -> Iterator[tuple[dict[str, str], dict[str, str]]]:
    """Yield the samples of the same name and number; one build may have more."""
    missing = {"group": "", "kind": "", "name": "", "text": ""}
    named: list[dict[tuple[str, int], dict[str, str]]] = []
    for samples in (expected, found):
        counts: Counter[str] = Counter()
        by_name: dict[tuple[str, int], dict[str, str]] = {}
        for sample in samples:
            by_name[sample["name"], counts[sample["name"]]] = sample
            counts[sample["name"]] += 1
        named.append(by_name)
    for key in dict.fromkeys([*named[0], *named[1]]):
        yield named[0].get(key, missing), named[1].get(key, missing)


def _run_build(checkout: Path, action: str, samples: list[dict[str, str]]) -> list[Any]:
    path = f"{checkout / 'src'}:{checkout}"
    done = subprocess.run(
        [sys.executable, "-P", __file__, action],
        cwd=checkout,
        env={**os.environ, "PYTHONPATH": path},
        input="".join(json.dumps(item) + "\n" for item in samples).encode(),
        capture_output=True,
        timeout=TIMEOUT_S,
    )
    package_path, *lines = done.stdout.decode().splitlines() or [""]
    # The first line shows that the process has imported the build it was meant for.
    if done.returncode or not Path(package_path).is_relative_to(checkout / "src"):
        raise RuntimeError(
            f"{action} in {checkout} ended with exit code {done.returncode}, package "
            f"imported from {package_path!r}: {done.stderr.decode()[-2000:]}"
        )
    return [json.loads(line) for line in lines]


# The functions below run in the processes of both builds.


def _look_up(path: str) -> Any:
    """Return a module or an attribute of one, by the old or the new name."""
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
    raise LookupError(f"{path} is not in this build; add its new name to RENAMED")


def _record_classes(module: str) -> list[Any]:
    """Return the named tuples and typed dictionaries that a module defines.

    Classes with a callable field are left out, since they aren't written anywhere.
    """
    found = _look_up(module)
    classes = [x for x in vars(found).values() if _is_record(x)]
    own = [kind for kind in classes if kind.__module__ == found.__name__]
    return [kind for kind in own if "Callable[" not in str(get_type_hints(kind))]


def _is_record(kind: Any) -> bool:
    return is_typeddict(kind) or hasattr(kind, "_field_defaults")


def _make_samples() -> Iterator[tuple[str, str, str, str]]:
    """Yield the group, kind, name and text of each sample."""
    for module in MODULES:
        # Samples name the class by its index, since classes may have been renamed.
        for index, kind in enumerate(_record_classes(module)):
            for text in _make_record_samples(kind):
                yield module, f"{module}:{index}", kind.__name__, text
    for path in sorted(Path("examples").glob("*.json")):
        yield (
            "examples",
            "manifest",
            path.name,
            _decode_and_encode("manifest", path.read_text()),
        )
    trace = _look_up("replay.generate.generate_trace")("fjordmegling", 5.0, 1)
    yield "trace", "trace", "trace", _encode_trace(trace)
    yield "leader", "claim", "claim", asyncio.run(_encode_leader_record())
    yield "grpc", "grpc", "grpc", _encode_grpc_descriptor()


def _make_record_samples(kind: Any) -> Iterator[str]:
    for variant in range(VARIANT_COUNT):
        plain = _make_plain(kind, itertools.count(2), variant)
        yield _encode(kind, plain)
    # Without the optional fields, which compares the builds' defaults.
    optional = {*getattr(kind, "_field_defaults", ())}
    optional |= getattr(kind, "__optional_keys__", set())
    yield _encode(kind, {x: plain[x] for x in plain if x not in optional})


def _encode(kind: Any, plain: Any) -> str:
    if is_typeddict(kind):
        return _look_up("schema.peer_messages.encode_line")(plain).decode()
    typed = _look_up("schema.codec.from_plain")(kind, plain).unwrap()
    return _look_up("schema.codec.to_json")(typed)


def _make_plain(kind: Any, numbers: Iterator[int], variant: int) -> Any:
    """Return plain data of a type, with different numbers and texts in each field."""
    origin, args = get_origin(kind), get_args(kind)
    if _is_record(kind):
        return _make_plain_fields(kind, numbers, variant)
    if origin is typing.Literal:
        return args[variant % len(args)]
    if origin is typing.Annotated and args[0] not in (str, int, float):
        return _make_plain(args[0], numbers, variant)
    if origin in (typing.Union, types.UnionType):
        return _make_plain(args[variant % len(args)], numbers, variant)
    if origin is dict:
        return dict(_make_plain(tuple[args], numbers, variant) for _ in range(2))
    if origin is tuple and args[-1] is not Ellipsis:
        return [_make_plain(item, numbers, variant) for item in args]
    if origin in (tuple, list, frozenset):
        return [_make_plain(args[0], numbers, variant) for _ in range(2)]
    fixed = {bool: variant % 2 == 0, types.NoneType: None}
    return fixed[kind] if kind in fixed else _make_scalar(kind, next(numbers))


def _make_plain_fields(kind: Any, numbers: Iterator[int], variant: int) -> Any:
    made = {}
    defaults = getattr(kind, "_field_defaults", {})
    for name, hint in get_type_hints(kind, include_extras=True).items():
        if get_origin(hint) is typing.NotRequired:
            # Older builds do not know the field; its absence is what they send.
            continue
        # A value other than the default, if there is one, shows a field that is lost.
        for later in range(VARIANT_COUNT):
            made[name] = _make_plain(hint, numbers, variant + later)
            if name not in defaults or made[name] != defaults[name]:
                break
    return made


def _make_scalar(kind: Any, number: int) -> Any:
    """Return a string or number that the type's bounds allow, derived from `number`."""
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
    raise TypeError(f"no candidate value is valid for {kind}")


def _encode_trace(trace: Any) -> str:
    with tempfile.NamedTemporaryFile() as file:
        _look_up("replay.trace.write_trace")(trace, Path(file.name))
        return Path(file.name).read_text(encoding="utf-8")


async def _encode_leader_record() -> str:
    """Return a leader's record as a VM writes it, without its random values.

    The incarnation and the address are replaced by constants. The era is left out,
    since older builds do not write it.
    """
    async with _look_up("testing.vm.deployment.running_world")() as world:
        records = world.store.topics["keyed.pond"]
        plain = json.loads([v for key, v in records if key == "leader"][-1])
    known = {"incarnation": "00000000", "address": "127.0.0.1:1"}
    plain.pop("era", None)
    return json.dumps({name: known.get(name, item) for name, item in plain.items()})


def _encode_grpc_descriptor() -> str:
    described = _look_up("transport.generated.pond_pb2.DESCRIPTOR").serialized_pb
    return base64.b64encode(described).decode()


def _decode_and_encode(kind: str, text: str) -> str:
    """Decode a sample with this build's functions and encode it again."""
    if kind == "trace":
        with tempfile.NamedTemporaryFile() as file:
            Path(file.name).write_text(text, encoding="utf-8")
            trace = _look_up("replay.trace.read_trace")(Path(file.name)).unwrap()
        return _encode_trace(trace)
    if kind == "claim":
        try:
            position = _look_up("schema.store_position.StorePosition")(0, 7)
        except LookupError:
            # A build that does not know the store's eras.
            position = 7
        record = _look_up("platform.store.KeyedRecord")(
            position, "leader", text.encode()
        )
        _, *values = _look_up("vm.lead._decode")(record)
        names = ("leader", "incarnation", "address")
        return json.dumps(dict(zip(names, values, strict=True)))
    if kind == "grpc":
        return _encode_grpc_descriptor()
    module, _, index = kind.partition(":")
    cls = (
        _record_classes(module)[int(index)]
        if index
        else _look_up("schema.manifest.Manifest")
    )
    if is_typeddict(cls):
        # Decoding doesn't check a typed dictionary's keys. The comparison of what the
        # builds write does.
        plain = _look_up("schema.peer_messages.decode_line")(text.encode()).unwrap()
        return _encode(cls, plain)
    if module == "schema.records" and "kind" in cls._fields:
        stream_kinds = [
            _look_up(f"schema.records.{x}_KINDS") for x in ("CONFIG", "SHARD")
        ]
        read = _look_up("schema.records.read_record")(
            {**stream_kinds[0], **stream_kinds[1]}, text
        )
    else:
        read = _look_up("schema.codec.from_json")(cls, text)
    return _look_up("schema.codec.to_json")(read.unwrap())


def main() -> None:
    """Write samples, or read those on standard input."""
    print(importlib.import_module("_pistachiopond").__file__)
    if sys.argv[1] == "write":
        for values in _make_samples():
            names = ("group", "kind", "name", "text")
            print(json.dumps(dict(zip(names, values, strict=True))))
        return
    for item in map(json.loads, sys.stdin):
        try:
            item["text"] = _decode_and_encode(item["kind"], item["text"])
        except Exception as error:
            item["text"] = f"{type(error).__name__}: {error}"
        print(json.dumps(item))


if __name__ == "__main__":
    main()
