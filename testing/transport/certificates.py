"""Creates an authority and certificates for IP addresses, for tests only."""

import datetime
import ipaddress
from pathlib import Path
from typing import Final, NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from _pistachiopond.schema.settings import TlsFiles

LOOPBACK: Final = "127.0.0.1"


class Authority(NamedTuple):
    """A signing authority."""

    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate


def make_authority(name: str) -> Authority:
    """Return a new authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    builder = _builder(subject, subject, key).add_extension(
        x509.BasicConstraints(ca=True, path_length=None), critical=True
    )
    return Authority(key, builder.sign(key, hashes.SHA256()))


def write_files(authority: Authority, folder: Path, name: str) -> TlsFiles:
    """Write a certificate for the loopback address, signed by the authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    address = x509.IPAddress(ipaddress.ip_address(LOOPBACK))
    builder = _builder(subject, authority.certificate.subject, key).add_extension(
        x509.SubjectAlternativeName([address]), critical=False
    )
    certificate = builder.sign(authority.key, hashes.SHA256())
    files = TlsFiles(
        certificate_path=str(folder / "certificate.pem"),
        key_path=str(folder / "key.pem"),
        authority_path=str(folder / "authority.pem"),
    )
    Path(files.certificate_path).write_bytes(_pem(certificate))
    Path(files.key_path).write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    Path(folder / "authority.pem").write_bytes(_pem(authority.certificate))
    return files


def _builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
    )


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
