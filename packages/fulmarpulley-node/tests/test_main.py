"""Check that invalid settings are rejected before the node starts."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec

from fulmarpulley_node.main import BAD_SETTINGS_EXIT, check


def settings(**fields: Any) -> dict[str, Any]:
    service = {"address": "http://127.0.0.1:1"}
    listen = {"host": "127.0.0.1", "port": 1}
    defaults = {
        "node_id": "n",
        "data_centre": "d",
        "region": "r",
        "http": listen,
        "peer": listen,
        "log": service,
        "instance_list": service,
    }
    return defaults | fields


class CheckTest(unittest.TestCase):
    def run_check(self, text: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.jsonc"
            path.write_text(text)
            output = io.StringIO()
            with (
                contextlib.redirect_stdout(output),
                contextlib.redirect_stderr(output),
            ):
                try:
                    check(path)
                except SystemExit as exit_request:
                    return int(exit_request.code or 0), output.getvalue()
            return 0, output.getvalue()

    def test_check_accepts_settings_with_comments(self) -> None:
        text = msgspec.json.encode(settings()).decode()
        code, output = self.run_check(f"// node\n{text}")
        self.assertEqual(code, 0, output)

    def test_check_prints_every_error_with_its_path(self) -> None:
        invalid = settings(partitions=0, surprise=1, log={"address": "nowhere"})
        code, output = self.run_check(msgspec.json.encode(invalid).decode())
        self.assertEqual(code, BAD_SETTINGS_EXIT)
        for part in ("$.partitions", "surprise", "$.log.address", "node.jsonc"):
            self.assertIn(part, output)

    def test_check_names_known_plugins_for_unknown_one(self) -> None:
        log = {"address": "http://127.0.0.1:1", "dialect": "tape"}
        invalid = settings(log=log, routing="dice")
        code, output = self.run_check(msgspec.json.encode(invalid).decode())
        self.assertEqual(code, BAD_SETTINGS_EXIT)
        for part in ("tape", "http", "dice", "least_tokens", "round_robin"):
            self.assertIn(part, output)
