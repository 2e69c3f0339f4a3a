"""Tests of TLS connections from callers, and of reloading certificates."""

import ssl
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio

from _pistachiopond.entry import web
from testing.entry.fake_engines import TOKENS, answer_completely, chat, token_texts
from testing.entry.fakes import run_backend
from testing.entry.manifests import make_revision, make_view
from testing.entry.running_entry import run_entry_in_test
from testing.transport.certificates import make_authority, write_files


class CallerTlsTests(unittest.TestCase):
    def test_callers_are_served_over_tls_and_a_new_certificate_is_loaded(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            first, second = make_authority("first"), make_authority("second")
            files = write_files(first, folder, "entry")._replace(authority_path=None)

            async def seen_certificate(url: str) -> str:
                context = ssl.create_default_context()
                context.check_hostname = False
                context.verify_mode = ssl.CERT_NONE
                host, port = url.removeprefix("https://").split(":")
                stream = await anyio.connect_tcp(
                    host, int(port), ssl_context=context, tls_standard_compatible=False
                )
                binary = stream.extra(
                    anyio.streams.tls.TLSAttribute.peer_certificate_binary
                )
                await stream.aclose()
                return ssl.DER_cert_to_PEM_cert(binary).strip()

            async def main() -> None:
                async with run_backend(answer_completely) as backend:
                    view = make_view({"engine-1": backend.url})
                    async with run_entry_in_test(
                        make_revision(),
                        view,
                        lambda settings: settings._replace(caller_tls=files),
                    ) as entry:
                        response = await chat(entry, stream=True)
                        self.assertEqual(token_texts(response.text), list(TOKENS))
                        write_files(second, folder, "entry")
                        wanted = (folder / "certificate.pem").read_text().strip()
                        with anyio.fail_after(30):
                            while await seen_certificate(entry.url) != wanted:
                                await anyio.sleep(0.05)

            with mock.patch.object(web, "TLS_REFRESH_S", 0.1):
                anyio.run(main)
