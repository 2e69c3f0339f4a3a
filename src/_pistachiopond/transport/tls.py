"""Certificate files for mutual TLS, reloaded when they change.

Certificates identify processes by IP address, in the subject alternative names.
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
        The certificate and private key of this process.
    authority : bytes or None
        The authority that must have signed the peer's certificate.
    """

    certificate: bytes
    key: bytes
    authority: bytes | None


FileStamps = tuple[tuple[int, int, int], ...]


def read_material(files: TlsFiles) -> TlsMaterial:
    """Read the certificate files.

    Parameters
    ----------
    files : TlsFiles
        The paths of the files.

    Returns
    -------
    TlsMaterial
        The contents of the files.

    Raises
    ------
    OSError
        If a file cannot be read.
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
    """Holds the last readable contents of the certificate files.

    While a file is missing or unreadable, for example during a replacement, the earlier
    contents stay in use.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._stamps = _stamps(files)
        self.material = read_material(files)

    def refresh(self) -> bool:
        """Read the files again if they were modified.

        Returns
        -------
        bool
            Whether the contents changed.
        """
        try:
            stamp = _stamps(self._files)
            if stamp == self._stamps:
                return False
            material = read_material(self._files)
        except OSError:
            return False
        self._stamps = stamp
        changed = material != self.material
        self.material = material
        return changed


def _stamps(files: TlsFiles) -> FileStamps:
    paths = [files.certificate_path, files.key_path]
    if files.authority_path is not None:
        paths.append(files.authority_path)
    return tuple(_file_stamp(path) for path in paths)


def _file_stamp(path: str) -> tuple[int, int, int]:
    status = os.stat(path)
    return status.st_mtime_ns, status.st_size, status.st_ino
