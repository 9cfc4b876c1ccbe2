from unittest import TestCase

from fulmarpulley_schema.checks import check_document
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.jsonc import locate, parse, render, strip_comments

GOOD = """{
  // the desk of the head office
  "name": "ticket-desk", "kind": "desk", "model": "m", /* one
  model */
  "upstreams": [
    {"id": "w1", "address": "http://10.0.0.1:80", "data_centre": "a", "region": "r"},
  ],
}
"""


class JsoncTest(TestCase):
    """Guards against findings with a wrong line number."""

    def test_parse_accepts_comments_and_trailing_commas(self) -> None:
        document = parse(GOOD, ServiceDocument, "f.jsonc").unwrap()
        self.assertEqual(document.upstreams[0].address, "http://10.0.0.1:80")

    def test_parse_reports_all_findings_with_their_lines(self) -> None:
        text = GOOD.replace('"desk"', '"office"').replace('"id": "w1"', '"id": 7')
        findings = parse(text, ServiceDocument, "f.jsonc").unwrap_err()
        locations = {(finding.path, finding.line) for finding in findings}
        self.assertEqual(locations, {("$.kind", 3), ("$.upstreams[0].id", 6)})
        self.assertTrue(render(findings[0]).startswith("f.jsonc:3: $.kind: "))

    def test_parse_reports_the_line_of_a_syntax_error(self) -> None:
        findings = parse(GOOD + "}", ServiceDocument, "f.jsonc").unwrap_err()
        self.assertEqual(findings[0].line, 9)

    def test_strip_comments_keeps_strings_and_positions(self) -> None:
        text = '{"a": "// no /* comment */", "b": 1 /* x */}'
        stripped = strip_comments(text)
        self.assertEqual(len(stripped), len(text))
        self.assertIn('"// no /* comment */"', stripped)

    def test_check_document_reports_duplicates_and_missing_trainers_together(
        self,
    ) -> None:
        text = GOOD.replace('"desk"', '"training"')
        document = parse(text, ServiceDocument, "f.jsonc").unwrap()
        document.upstreams.append(document.upstreams[0])
        findings = check_document(document)
        paths = [finding.path for finding in findings]
        expected = ["$.upstreams[0].id", "$.upstreams[1].id", "$.trainers"]
        self.assertEqual(paths, expected)
        self.assertEqual(locate(text, findings, "f")[0].line, 6)
