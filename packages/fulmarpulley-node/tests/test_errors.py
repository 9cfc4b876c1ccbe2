"""Check the error codes against the documented table."""

import unittest

from fulmarpulley_node.errors import HTTP_STATUS, ErrorCode, error, refusal
from fulmarpulley_schema.generated.http import Finding, Ran

# Section 8 of the design document: code, HTTP status and default `ran`.
TABLE = {
    "bad_request": (400, "not_run"),
    "too_large": (413, "not_run"),
    "unknown_service": (404, "not_run"),
    "unknown_key": (404, "not_run"),
    "unknown_step": (404, "not_run"),
    "key_reused": (409, "not_run"),
    "key_expired": (410, "may_have_run"),
    "conflict": (409, "not_run"),
    "deadline_passed": (504, "not_run"),
    "overloaded": (503, "not_run"),
    "no_upstream": (503, "not_run"),
    "log_unavailable": (503, "not_run"),
    "upstream_broken": (502, "may_have_run"),
    "upstream_error": (502, "ran"),
    "cancelled": (409, "not_run"),
    "not_ready": (503, "not_run"),
    "shutting_down": (503, "not_run"),
}


class ErrorTableTest(unittest.TestCase):
    def test_codes_match_documented_status_and_ran(self) -> None:
        found = {
            code.value: (HTTP_STATUS[code], refusal(code, "text").ran)
            for code in ErrorCode
        }
        self.assertEqual(found, TABLE)

    def test_retry_time_is_set_only_for_status_503(self) -> None:
        for code in ErrorCode:
            retry = refusal(code, "text").retry_after_s
            self.assertEqual(retry is not None, HTTP_STATUS[code] == 503, code)

    def test_body_carries_findings_and_explicit_ran(self) -> None:
        findings = [Finding(path="$.a", message="wrong")]
        failure = error(ErrorCode.DEADLINE_PASSED, "late", Ran.MAY_HAVE_RUN, findings)
        body = failure.body()
        self.assertEqual((body.ran, failure.status), (Ran.MAY_HAVE_RUN, 504))
        self.assertEqual(body.findings, findings)
