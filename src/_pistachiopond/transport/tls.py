"""Certificate files for mutual TLS, read again when they change.

Certificates name our processes by IP number (subject alternative names).
"""

import os
from pathlib import Path
from typing import NamedTuple, final

from _pistachiopond.schema.settings import TlsFiles


class TlsMaterial(NamedTuple):
    """The contents of the certificate files, as PEM.

    Attributes
    ----------
    certificate, key : bytes
        Of this process.
    authority : bytes or None
        What the other side must be signed by.
    """

    certificate: bytes
    key: bytes
    authority: bytes | None


Stamp = tuple[tuple[int, int, int], ...]


def read_material(files: TlsFiles) -> TlsMaterial:
    """Read the files.

    Parameters
    ----------
    files : TlsFiles
        Where they are.

    Returns
    -------
    TlsMaterial
        Their contents.

    Raises
    ------
    OSError
        When a file cannot be read.
    """
    authority = None
    if files.authority_path is not None:
        authority = Path(files.authority_path).read_bytes()
    return TlsMaterial(
        certificate=Path(files.certificate_path).read_bytes(),
        key=Path(files.key_path).read_bytes(),
        authority=authority,
    )


@final
class TlsReader:
    """The last readable contents of the files, and whether they changed.

    A file that is missing or half replaced leaves the earlier contents in force.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._stamp = _stamp(files)
        self.material = read_material(files)

    def refresh(self) -> bool:
        """Read the files again if they were touched.

        Returns
        -------
        bool
            Whether the contents changed.
        """
        try:
            stamp = _stamp(self._files)
            if stamp == self._stamp:
                return False
            material = read_material(self._files)
        except OSError:
            return False
        self._stamp = stamp
        changed = material != self.material
        self.material = material
        return changed


def _stamp(files: TlsFiles) -> Stamp:
    paths = [files.certificate_path, files.key_path]
    if files.authority_path is not None:
        paths.append(files.authority_path)
    return tuple(_file_stamp(path) for path in paths)


def _file_stamp(path: str) -> tuple[int, int, int]:
    status = os.stat(path)
    return status.st_mtime_ns, status.st_size, status.st_ino
