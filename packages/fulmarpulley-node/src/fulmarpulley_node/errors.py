"""Define error codes with their HTTP status and default `ran` value."""

from collections.abc import Sequence
from enum import StrEnum

from fulmarpulley_schema.generated.http import ErrorBody, Finding, Ran
from fulmarpulley_schema.generated.peer import Refusal


class ErrorCode(StrEnum):
    """List the reasons for which a request can fail."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_STEP = "unknown_step"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    CONFLICT = "conflict"
    DEADLINE_PASSED = "deadline_passed"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    LOG_UNAVAILABLE = "log_unavailable"
    UPSTREAM_BROKEN = "upstream_broken"
    UPSTREAM_ERROR = "upstream_error"
    CANCELLED = "cancelled"
    NOT_READY = "not_ready"
    SHUTTING_DOWN = "shutting_down"


HTTP_STATUS = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.UNKNOWN_KEY: 404,
    ErrorCode.UNKNOWN_STEP: 404,
    ErrorCode.KEY_REUSED: 409,
    ErrorCode.KEY_EXPIRED: 410,
    ErrorCode.CONFLICT: 409,
    ErrorCode.DEADLINE_PASSED: 504,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.LOG_UNAVAILABLE: 503,
    ErrorCode.UPSTREAM_BROKEN: 502,
    ErrorCode.UPSTREAM_ERROR: 502,
    ErrorCode.CANCELLED: 409,
    ErrorCode.NOT_READY: 503,
    ErrorCode.SHUTTING_DOWN: 503,
}
DEFAULT_RAN = {
    ErrorCode.KEY_EXPIRED: Ran.MAY_HAVE_RUN,
    ErrorCode.UPSTREAM_BROKEN: Ran.MAY_HAVE_RUN,
    ErrorCode.UPSTREAM_ERROR: Ran.RAN,
}
DEFAULT_RETRY_AFTER_S = 1.0


class RequestError(Exception):
    """Signal an error that the HTTP server returns as an error body."""

    def __init__(self, refusal: Refusal, findings: Sequence[Finding] = ()) -> None:
        super().__init__(f"{refusal.code}: {refusal.message}")
        self.refusal = refusal
        self.findings = list(findings)

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return HTTP_STATUS[ErrorCode(self.refusal.code)]

    def body(self) -> ErrorBody:
        """Return the HTTP error body (section 8 of the design document)."""
        return ErrorBody(
            code=self.refusal.code,
            message=self.refusal.message,
            ran=Ran(self.refusal.ran),
            retry_after_s=self.refusal.retry_after_s,
            findings=self.findings,
        )


def refusal(
    code: ErrorCode,
    message: str,
    ran: Ran | None = None,
    retry_after_s: float | None = None,
) -> Refusal:
    """Build a refusal; `ran` and the retry time default to the values of the code."""
    if retry_after_s is None and HTTP_STATUS[code] == 503:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    effective_ran = ran or DEFAULT_RAN.get(code, Ran.NOT_RUN)
    return Refusal(
        code=code.value,
        message=message,
        ran=effective_ran.value,
        retry_after_s=retry_after_s,
    )


def error(
    code: ErrorCode,
    message: str,
    ran: Ran | None = None,
    findings: Sequence[Finding] = (),
) -> RequestError:
    """Build the exception for an error code."""
    return RequestError(refusal(code, message, ran), findings)
