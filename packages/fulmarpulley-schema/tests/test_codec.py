import json
from typing import Any
from unittest import TestCase

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated import http
from fulmarpulley_schema.generated.document import ServiceDocument

REQUESTS: list[type[msgspec.Struct]] = [
    http.CallerRequest,
    http.StepOpen,
    http.StepTake,
    http.VersionAnnouncement,
    http.DocumentEdit,
    http.KeyRequest,
    ServiceDocument,
]
VALID: dict[str, Any] = {"input": "x", "groups": [{"prompt": "p"}], "version": 1}
FIELDS = sorted({field for kind in REQUESTS for field in kind.__struct_fields__})

scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from([*FIELDS, "surprise"]), inner, max_size=6)
    ),
    max_leaves=20,
)
bodies = st.dictionaries(st.sampled_from([*FIELDS, "surprise"]), values, max_size=8)


class CodecFuzzTest(TestCase):
    """Guards against input that makes `parse` raise instead of returning findings."""

    def check(self, data: bytes | str, kind: type[msgspec.Struct]) -> None:
        parsed = codec.parse(data, kind)
        if isinstance(parsed, Ok):
            reparsed = codec.parse(codec.to_json(parsed.ok_value), kind)
            self.assertEqual(reparsed, parsed)
        else:
            assert isinstance(parsed, Err)
            self.assertTrue(parsed.err_value)
            self.assertTrue(all(finding.message for finding in parsed.err_value))

    @given(st.sampled_from(REQUESTS), bodies)
    def test_parse_returns_result_for_any_json_object(
        self, kind: type[msgspec.Struct], body: dict[str, Any]
    ) -> None:
        self.check(json.dumps({**VALID, **body}), kind)
        self.check(json.dumps(body), kind)

    @given(st.sampled_from(REQUESTS), st.binary(max_size=64))
    def test_parse_returns_result_for_any_bytes(
        self, kind: type[msgspec.Struct], data: bytes
    ) -> None:
        self.check(data, kind)

    def test_parse_returns_findings_for_deep_nesting(self) -> None:
        for kind in REQUESTS:
            self.assertTrue(codec.parse("[" * 100_000, kind).is_err())
