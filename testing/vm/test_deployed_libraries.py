"""Tests that the VM's process needs no library beyond those deployed with it."""

import re
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Final

REQUIREMENTS: Final = Path(__file__).parents[2] / "deploy" / "requirements.txt"
# Imports the process's modules where the libraries that its arguments name are missing.
IMPORT_WITHOUT: Final = """
import sys
missing = set(sys.argv[1:])
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in missing:
            raise ModuleNotFoundError(name)
sys.meta_path.insert(0, Finder())
import pistachiopond.vm
"""
LIST_MODULES: Final = """
import importlib.metadata
for name, dists in importlib.metadata.packages_distributions().items():
    print(name, *dists)
"""


def normalized(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def run(code: str, *arguments: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-c", code, *arguments], capture_output=True, check=False
    )


class DeployedLibrariesTests(unittest.TestCase):
    def test_the_process_starts_with_only_the_libraries_that_are_deployed(self) -> None:
        # A module of the other programs brought in pydantic, which is not deployed: on
        # a VM without it the process does not start, elsewhere it takes 7 MB more.
        lines = REQUIREMENTS.read_text(encoding="utf-8").split()
        deployed = {normalized(line.partition("==")[0]) for line in lines}
        missing = []
        for line in run(LIST_MODULES).stdout.decode().splitlines():
            module, *dists = line.split()
            names = {normalized(dist) for dist in dists}
            if not names & (deployed | {"pistachiopond"}):
                missing.append(module)
        self.assertIn("pydantic", missing)
        result = run(IMPORT_WITHOUT, *missing)
        self.assertEqual(result.returncode, 0, result.stderr.decode())


if __name__ == "__main__":
    unittest.main()
