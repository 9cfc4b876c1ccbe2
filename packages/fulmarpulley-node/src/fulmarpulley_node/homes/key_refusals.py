"""Build refusals of requests that carry an idempotency key."""

from fulmarpulley_core.claim_messages import RefuseKey
from fulmarpulley_schema.generated.peer import Refusal

from ..errors import ErrorCode, refusal

_TEXTS = {
    ErrorCode.BAD_REQUEST: "the key was not issued by this service; request a new key",
    ErrorCode.KEY_REUSED: "the key was used with another request body; use a new key",
    ErrorCode.KEY_EXPIRED: "the key is older than the oldest record in the log",
    ErrorCode.UNKNOWN_KEY: "no request with this key is known",
    ErrorCode.UPSTREAM_BROKEN: "the node responsible for the request was lost",
    ErrorCode.UPSTREAM_ERROR: "the request ran, but its answer was lost",
    ErrorCode.LOG_UNAVAILABLE: "the claims of the key cannot be read from the log",
}


def key_refusal(refused: RefuseKey) -> Refusal:
    """Return the peer message for a refusal decided by the claim table."""
    code = ErrorCode(refused.code)
    return refusal(code, _TEXTS.get(code, refused.code), refused.ran)
