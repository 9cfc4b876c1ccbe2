"""Test the settings that the platform renders from the template."""

import re
import unittest
from pathlib import Path
from typing import Any

import msgspec

from fulmarpulley_core.rollout.owner_eligibility import Capacity
from fulmarpulley_node.rollout.ownership import instance_capacity
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.jsonc import strip_comments

TEMPLATE = Path(__file__).parents[3] / "deploy/settings.jsonc.template"
SECTION = re.compile(
    r"\{\{([#^])([\w.]+)\}\}((?:(?!\{\{[#^]).)*?)\{\{/\2\}\}", re.DOTALL
)


def render(text: str, fields: dict[str, Any]) -> str:
    """Render sections, innermost first, and fields; unnamed fields get a number."""

    def section(match: re.Match[str]) -> str:
        shown = bool(fields.get(match[2])) is (match[1] == "#")
        return match[3] if shown else ""

    while SECTION.search(text):
        text = SECTION.sub(section, text)

    def as_json(match: re.Match[str]) -> str:
        return msgspec.json.encode(fields.get(match[1], 1)).decode()

    return re.sub(r"\{\{([\w.]+)\|json\}\}", as_json, text).replace("{{Ip}}", "h")


class SettingsTemplateTest(unittest.TestCase):
    """Guards against nodes that miss strict revocation, or cannot start without it."""

    def settings(self, **platform: Any) -> RolloutSettings:
        texts = ("NodeName", "Zone", "Region", "Platform.Address")
        fields = {
            **dict.fromkeys(texts, "text"),
            **dict.fromkeys(("Listen.Front", "Listen.Ready"), "h:1"),
            "Zones": {},
            "Platform.RecordBytes": 1024,
            "Platform.CallBytes": 1024,
            **platform,
        }
        text = strip_comments(render(TEMPLATE.read_text(), fields))
        return msgspec.json.decode(text, type=RolloutSettings)

    def revoke_ms(self, **bounds: Any) -> float | None:
        fields = {f"Bounds.{name}": value for name, value in bounds.items()}
        return self.settings(**fields).bounds.revoke_ms

    def test_revocation_time_is_set_only_where_it_is_strict(self) -> None:
        self.assertEqual(self.revoke_ms(StrictRevocation=True, RevokeMs=5000.0), 5000.0)
        self.assertIsNone(self.revoke_ms(StrictRevocation=False, RevokeMs=5000.0))
        self.assertIsNone(self.revoke_ms())

    def test_capacity_is_stated_only_where_the_platform_does(self) -> None:
        # Guards against nodes that cannot start without, or misjudge, their capacity.
        limits = {"Limits.MemoryMb": 552, "Limits.Cores": 4.3, "Limits.CpuShare": 0.5}
        self.assertEqual(
            instance_capacity(self.settings(**limits)), Capacity(2150, 552)
        )
        for missing in limits.keys() - {"Limits.CpuShare"}:
            rest = {name: value for name, value in limits.items() if name != missing}
            self.assertIsNone(instance_capacity(self.settings(**rest)))
        del limits["Limits.CpuShare"]
        self.assertEqual(
            instance_capacity(self.settings(**limits)), Capacity(4300, 552)
        )
