import re
import unittest
from pathlib import Path

import msgspec

from fulmarpulley_node.platform import wire

ROOT = Path(__file__).resolve().parents[3]
PLATFORM = ROOT / "packages/fulmarpulley-node/src/fulmarpulley_node/platform"
HEADERS = {
    "Authorization",
    "Deadline-Ms",
    "Expected-Instance",
    "Last-Event-Id",
    "Not-Executed",
    "Prompt-Prefix",
    "Server-Leaving",
    "Server-Limit",
    "Server-Stamp",
    "Tenant",
    "Token-Counts",
    "Wait-Ms",
    "Weight-Versions",
}
PATHS = {"/-/lots/", "/-/items/", "/-/order", "/-/report", "/-/readiness", "/-/log-"}
# Wire names that are also common words or names of the project's own.
COMMON_NAMES = {
    "Address", "Body", "Busy", "End", "First", "Group", "Groups", "Headers", "Host",
    "Id", "Items", "Key", "Limits", "Member", "Model", "Models", "Name", "Next",
    "Offset", "Path", "Priority", "Results", "Routes", "Sequence", "Service",
    "Services", "Slots", "State", "Step", "Text", "Tokens", "Topics", "Total",
    "Value", "Version", "Versions", "Weight", "Generation", "Operation", "Holder",
    "Engine", "Zone", "Resumable", "born", "parts", "HasMore", "Stride", "Score",
}  # fmt: skip


def wire_names() -> set[str]:
    """Return the names that only the platform package may use."""
    names = {*HEADERS, *PATHS}
    for struct in vars(wire).values():
        if isinstance(struct, type) and issubclass(struct, msgspec.Struct):
            names |= {field.encode_name for field in msgspec.structs.fields(struct)}
    return names - COMMON_NAMES


def sources() -> list[Path]:
    """Return the sources that must not use wire names; test doubles do use them."""
    found = [*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("bench/src/**/*.py")]
    return [path for path in found if PLATFORM not in path.parents]


class WireNamesTest(unittest.TestCase):
    def test_wire_names_appear_only_in_platform_package(self) -> None:
        # Guards against platform wire names that spread into other packages.
        names = "|".join(re.escape(name) for name in sorted(wire_names()))
        pattern = re.compile(rf"""["'][^"'\n]*(?<![\w-])({names})(?![\w-])""")
        found = [
            f"{path.relative_to(ROOT)}:{number}: {match.group(1)}"
            for path in sources()
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if (match := pattern.search(line)) is not None
        ]
        self.assertEqual(found, [])

    def test_wire_names_include_message_fields(self) -> None:
        self.assertIn("FencingToken", wire_names())
        self.assertIn("PathPrefix", wire_names())
        self.assertGreater(len(sources()), 50)
