"""Test that the settings template renders with and without duties."""

import json
import re
import unittest
from pathlib import Path
from typing import Any

from fulmarpulley_schema import jsonc
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

TEMPLATE = Path(__file__).resolve().parents[3] / "deploy/settings.jsonc.template"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
PLATFORM: dict[str, Any] = {
    "NodeName": "front-1",
    "Ip": "127.0.0.1",
    "Zone": "a1",
    "Region": "a",
    "Zones": {"a1": "a"},
    "Listen": {"Front": "127.0.0.1:1", "Ready": "127.0.0.1:2"},
    "Platform": {
        "Address": "127.0.0.1:3",
        "parts": 8,
        "RecordBytes": 262144,
        "CallBytes": 2097152,
        "TtlMinMs": 1000,
    },
    "Bounds": {
        "DrainMs": 2500,
        "GraceS": 8,
        "LeaseMs": 3000,
        "StatusRetentionS": 120,
    },
}
DUTIES = {
    "Address": "127.0.0.1:4",
    "Duties": ["usage_reporting", "autoscaling"],
    "DutyPerS": 40,
}
BOUNDS = {
    **PLATFORM["Bounds"],
    "ReportWindowS": 4,
    "UsageLateS": 9,
    "UsageTolerance": 0.1,
    "FencingRequired": True,
}


def look_up(values: Any, path: str) -> Any:
    for name in path.split("."):
        if isinstance(values, list):
            values = dict(enumerate(values)).get(int(name))
        else:
            values = values.get(name) if isinstance(values, dict) else None
    return values


def render(values: dict[str, Any]) -> RolloutSettings:
    """Renders the template as the platform does, and reads the settings."""

    def section(match: re.Match[str]) -> str:
        value = look_up(values, match[1])
        # A section of a list is rendered once for each entry.
        times = len(value) if isinstance(value, list) else 1
        return "" if value is None or value is False else match[2] * times

    def value(match: re.Match[str]) -> str:
        found = look_up(values, match[1])
        assert found is not None, f"{match[1]} is missing"
        return json.dumps(found) if match[2] else str(found)

    text = VALUE.sub(value, SECTION.sub(section, TEMPLATE.read_text()))
    assert text.count('"duties"') <= 1, "a key is rendered twice"
    return jsonc.parse(text, RolloutSettings, "settings").unwrap()


class SettingsTemplateTest(unittest.TestCase):
    """Guards against a node that does not start on one kind of deployment."""

    def test_deployment_without_duties_renders_as_before(self) -> None:
        settings = render(PLATFORM)
        self.assertEqual((settings.duties, settings.duties_address), ([], ""))

    def test_deployment_with_duties_renders_all_settings(self) -> None:
        settings = render({**PLATFORM, "Cloud": DUTIES, "Bounds": BOUNDS})
        self.assertEqual(settings.duties, DUTIES["Duties"])
        self.assertEqual(settings.duties_address, DUTIES["Address"])
        self.assertEqual(settings.duty_calls_per_s, 40)
        self.assertEqual(settings.bounds.report_window_s, 4)
        self.assertEqual(settings.bounds.usage_late_s, 9)
        self.assertTrue(settings.bounds.fencing_required)

    def test_parts_of_the_duty_settings_may_be_missing(self) -> None:
        cloud = {"Address": "127.0.0.1:4", "Duties": ["usage_reporting"]}
        bounds = {**PLATFORM["Bounds"], "FencingRequired": False, "UsageLateS": 9}
        settings = render({**PLATFORM, "Cloud": cloud, "Bounds": bounds})
        self.assertFalse(settings.bounds.fencing_required)
        self.assertEqual(settings.bounds.report_window_s, 5)
