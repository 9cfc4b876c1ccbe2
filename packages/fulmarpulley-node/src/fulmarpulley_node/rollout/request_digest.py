"""Identify requests that are the same but for their ids."""

import hashlib

from fulmarpulley_core.ids import RequestDigest

from .interfaces import CallerRequest

DIGEST_BYTES = 16


def request_digest(request: CallerRequest) -> RequestDigest:
    """Return a digest of what a request asks for, and of who asks.

    Callers must not be able to make up a request with the digest of another one, which
    might be refused on their account, so this is a cryptographic hash.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = (request.method, request.host, request.target, request.caller)
    for part in parts:
        text = part.encode(errors="surrogateescape")
        state.update(len(text).to_bytes(8, "big"))
        state.update(text)
    state.update(request.body)
    return RequestDigest(state.hexdigest())
