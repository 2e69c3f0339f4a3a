"""The operators' program ``pond``."""

import hashlib
import sys
from pathlib import Path
from typing import Annotated, Final, NamedTuple

import anyio
import cyclopts

from _pistachiopond.cli.publishing import (
    PublishTarget,
    check_manifest,
    publish_manifest,
    withdraw_keys,
)
from _pistachiopond.cli.report import ExitCode, Report, print_and_exit, refused_report
from _pistachiopond.cli.status import show_status
from _pistachiopond.schema.settings import TlsFiles

# A configuration change should be in force on all VMs within this time.
DEFAULT_WAIT_S: Final = 13.0

Control = Annotated[
    list[str], cyclopts.Parameter(name="--control", consume_multiple=True, negative="")
]
Json = Annotated[bool, cyclopts.Parameter(name="--json", negative="")]

app = cyclopts.App(
    name="pond", help="Checks and publishes manifests, withdraws keys, shows status."
)
keys = cyclopts.App(name="keys", help="Work with customers' keys.")
app.command(keys)


class TlsOptions(NamedTuple):
    """Mutual TLS with control daemons; all three or none.

    Attributes
    ----------
    tls_certificate, tls_key, tls_authority : str or None
        PEM files.
    """

    tls_certificate: str | None = None
    tls_key: str | None = None
    tls_authority: str | None = None


Tls = Annotated[TlsOptions, cyclopts.Parameter(name="*")]
NO_TLS: Final = TlsOptions()


def tls_files(options: TlsOptions) -> TlsFiles | None:
    """Return the TLS files, or None for plain text; exit if some are missing."""
    if options == NO_TLS:
        return None
    certificate, key, authority = options
    if certificate is None or key is None or authority is None:
        print(
            "give --tls-certificate, --tls-key and --tls-authority, or none of them",
            file=sys.stderr,
        )
        raise SystemExit(int(ExitCode.USAGE))
    return TlsFiles(certificate, key, authority)


@app.command
def check(file: Path, *, as_json: Json = False) -> None:
    """Check a manifest without publishing it.

    Parameters
    ----------
    file
        The manifest, JSON.
    as_json
        Print JSON.
    """
    print_and_exit(check_manifest(file), as_json=as_json)


@app.command
def publish(
    file: Path,
    *,
    log: str,
    control: Control | None = None,
    replaces: int | None = None,
    wait_s: float = DEFAULT_WAIT_S,
    tls: Tls = NO_TLS,
    as_json: Json = False,
) -> None:
    """Publish a manifest and report whether and where it is in force.

    Parameters
    ----------
    file
        The manifest, JSON.
    log
        The platform's log, such as http://10.0.0.1:9000.
    control
        Control daemons to ask where it is in force, IP:port.
    replaces
        The revision that it replaces, instead of the one the file names.
    wait_s
        How long to wait for the log, and then for the VMs.
    as_json
        Print JSON.
    """
    target = PublishTarget(log, tuple(control or ()), tls_files(tls), wait_s)
    print_and_exit(anyio.run(publish_manifest, file, target, replaces), as_json=as_json)


@app.command
def withdraw(
    digests: list[str],
    *,
    log: str,
    control: Control | None = None,
    wait_s: float = DEFAULT_WAIT_S,
    tls: Tls = NO_TLS,
    as_json: Json = False,
) -> None:
    """Withdraw keys for good, by their digests.

    Parameters
    ----------
    digests
        As `pond keys digest` prints them.
    log
        The platform's log, such as http://10.0.0.1:9000.
    control
        Control daemons to ask where it is in force, IP:port.
    wait_s
        How long to wait for the log, and then for the VMs.
    as_json
        Print JSON.
    """
    target = PublishTarget(log, tuple(control or ()), tls_files(tls), wait_s)
    print_and_exit(anyio.run(withdraw_keys, tuple(digests), target), as_json=as_json)


@app.command
def status(*, control: Control, tls: Tls = NO_TLS, as_json: Json = False) -> None:
    """Show revisions, placements, drains, quarantines and outages.

    Parameters
    ----------
    control
        Control daemons, IP:port; the others are found through them.
    as_json
        Print JSON.
    """
    report = anyio.run(show_status, tuple(control), tls_files(tls))
    print_and_exit(report, as_json=as_json)


@keys.command
def digest(*, as_json: Json = False) -> None:
    """Read a key from standard input and print its digest for the manifest.

    Parameters
    ----------
    as_json
        Print JSON.
    """
    print_and_exit(digest_key(sys.stdin.read()), as_json=as_json)


def digest_key(text: str) -> Report:
    """Return the digest of a key; the key itself is printed nowhere."""
    key = text.rstrip("\r\n")
    if not key or key != key.strip() or "\n" in key:
        return refused_report(
            ("give one key on standard input, without spaces around it",)
        )
    value = hashlib.sha256(key.encode()).hexdigest()
    return Report(ExitCode.DONE, (value,), {"digest": value})
