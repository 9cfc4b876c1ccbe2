"""Phrase the refusals of requests with keys."""

from fulmarpulley_core.claim_messages import RefuseKey
from fulmarpulley_schema.generated.peer import Refusal

from ..errors import ErrorCode, refusal

_TEXTS = {
    ErrorCode.BAD_REQUEST: "the key was not issued by this service; ask for a key",
    ErrorCode.KEY_REUSED: "the key was used with another body; use a new key",
    ErrorCode.KEY_EXPIRED: "the key is older than the records of the log",
    ErrorCode.UNKNOWN_KEY: "no request with this key is known",
    ErrorCode.UPSTREAM_BROKEN: "the holder of the request was lost",
    ErrorCode.UPSTREAM_ERROR: "the request ran, but its answer is lost",
    ErrorCode.LOG_UNAVAILABLE: "the claims of the key cannot be read",
}


def key_refusal(refused: RefuseKey) -> Refusal:
    """Return the refusal that a claim table decided."""
    code = ErrorCode(refused.code)
    return refusal(code, _TEXTS.get(code, refused.code), refused.ran)
