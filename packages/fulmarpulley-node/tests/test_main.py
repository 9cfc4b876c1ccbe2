"""Guard the command line against settings that fail only in operation."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec

from fulmarpulley_node.main import BAD_SETTINGS_EXIT, check


def settings(**fields: Any) -> dict[str, Any]:
    place = {"address": "http://127.0.0.1:1"}
    listen = {"host": "127.0.0.1", "port": 1}
    made = {
        "node_id": "n",
        "data_centre": "d",
        "region": "r",
        "http": listen,
        "peer": listen,
        "log": place,
        "instance_list": place,
    }
    return made | fields


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
                except SystemExit as ended:
                    return int(ended.code or 0), output.getvalue()
            return 0, output.getvalue()

    def test_settings_with_comments_are_correct(self) -> None:
        text = msgspec.json.encode(settings()).decode()
        code, output = self.run_check(f"// node\n{text}")
        self.assertEqual(code, 0, output)

    def test_all_faults_are_printed_with_their_place(self) -> None:
        faulty = settings(partitions=0, surprise=1, log={"address": "nowhere"})
        code, output = self.run_check(msgspec.json.encode(faulty).decode())
        self.assertEqual(code, BAD_SETTINGS_EXIT)
        for part in ("$.partitions", "surprise", "$.log.address", "node.jsonc"):
            self.assertIn(part, output)

    def test_unknown_plugins_are_named_with_known_ones(self) -> None:
        log = {"address": "http://127.0.0.1:1", "dialect": "tape"}
        faulty = settings(log=log, routing="dice")
        code, output = self.run_check(msgspec.json.encode(faulty).decode())
        self.assertEqual(code, BAD_SETTINGS_EXIT)
        for part in ("tape", "http", "dice", "least_tokens", "round_robin"):
            self.assertIn(part, output)
