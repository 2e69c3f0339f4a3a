"""Tests that the platform's names are used only in the adapter's package."""

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src"
ADAPTER = SOURCE / "_pistachiopond" / "platform"
MAX_LINES = 2_000
# Headers, paths, topics and fields defined by the platform.
PLATFORM_NAMES = re.compile(
    r"X-Attempt-Id|X-Server-Seal|X-Token-Counts|X-Prompt-Prefix|X-Expect-Instance"
    r"|X-Not-Executed|X-Request-Priority|X-Length-Hint|X-Deadline-Ms|X-Tenant|X-Key"
    r"|Kv-From|Kv-Fetch|X-Kv-Backup|X-Pin-Ms|X-Hold|log-append|log-read|log-newest"
    r"|log-join|kv-move|kv-events|hold-take|keyed\.(op|servers|status|pond)"
    r"|weightsMb|adapterSlots|kvCapacityTokens|pathPrefix|apiKeys|targetLatencyMs"
    r"|configPropagationMs|revokeMs|drainMs|leaseMs|PISTACHIOPOND_NODE_FILE",
    re.IGNORECASE,
)


class NamesTests(unittest.TestCase):
    def test_no_other_package_uses_the_platforms_names(self) -> None:
        found = [
            f"{path.relative_to(SOURCE)}: {match.group()}"
            for path in sorted(SOURCE.rglob("*.py"))
            if ADAPTER not in path.parents
            for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual(found, [])

    def test_the_adapter_is_small_and_contains_the_names(self) -> None:
        texts = [path.read_text(encoding="utf-8") for path in ADAPTER.glob("*.py")]
        self.assertLess(sum(text.count("\n") for text in texts), MAX_LINES)
        self.assertTrue(any(PLATFORM_NAMES.search(text) for text in texts))


if __name__ == "__main__":
    unittest.main()
