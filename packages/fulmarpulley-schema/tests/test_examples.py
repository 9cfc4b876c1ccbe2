from pathlib import Path
from unittest import TestCase

from fulmarpulley_schema.checks import check_document
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.settings import NodeSettings
from fulmarpulley_schema.jsonc import load

EXAMPLES = Path(__file__).resolve().parents[3] / "docs" / "examples"


class ExamplesTest(TestCase):
    """Guards against example files in the documentation that fail validation."""

    def test_load_accepts_every_example_document(self) -> None:
        for name in ("ticket-desk", "note-drafters"):
            document = load(EXAMPLES / f"{name}.jsonc", ServiceDocument).unwrap()
            self.assertEqual(check_document(document), [])
            self.assertEqual(document.name, name)

    def test_load_accepts_the_example_settings(self) -> None:
        settings = load(EXAMPLES / "node.jsonc", NodeSettings).unwrap()
        self.assertEqual(settings.node_id, "entry-1")
