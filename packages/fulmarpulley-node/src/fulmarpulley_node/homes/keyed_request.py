"""Represent a request with an idempotency key at its partition home."""

import asyncio
from typing import Any

import msgspec
import xxhash

from fulmarpulley_core.claim_messages import ServiceKey
from fulmarpulley_core.ids import RequestKey, ServiceName
from fulmarpulley_schema.codec import to_builtins
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.peer import KeyedSubmit, WorkSubmit, WorkTokens

from ..locator import work_shard
from ..progress import Progress
from .prompts import default_prefix_id, prompt_tokens


class StoredAnswer(msgspec.Struct, kw_only=True):
    """Represent an answer as stored in the log."""

    tokens: list[str]
    versions: list[int | None]
    upstream: str


class KeyedRequest:
    """Track a request, or only its key when a caller polls for the answer."""

    def __init__(self, key: ServiceKey, message: KeyedSubmit | None) -> None:
        self.key = key
        self.message = message
        self.fingerprint = "" if message is None else fingerprint_of(message)
        self.progress = Progress()
        self.claim_id = ""
        self.cancelled = False
        # Set once the claims were read; before, the state may miss a running request.
        self.claims_checked = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.arrived_at = asyncio.get_running_loop().time()

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.message is not None and self.message.repeatable

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        if self.message is None:
            return 0.0
        return max(0.0, self.message.deadline_s - self.age_s())

    def age_s(self) -> float:
        """Return the seconds since the request arrived."""
        return asyncio.get_running_loop().time() - self.arrived_at

    def to_stored(self) -> dict[str, Any]:
        """Return the answer in the form stored in the log."""
        answer = StoredAnswer(
            tokens=self.progress.tokens,
            versions=self.progress.versions,
            upstream=self.progress.upstream,
        )
        plain: dict[str, Any] = to_builtins(answer)
        return plain

    def restore(self, stored: dict[str, Any]) -> None:
        """Finish the request with an answer stored by the log or the claim holder."""
        answer = msgspec.convert(stored, StoredAnswer)
        self.progress.apply(
            WorkTokens(start=0, tokens=answer.tokens, versions=answer.versions)
        )
        self.progress.finish(answer.upstream)


def key_of(service: str, key: str) -> ServiceKey:
    """Return the key of a request within its service."""
    return ServiceKey(ServiceName(service), RequestKey(key))


def fingerprint_of(message: KeyedSubmit) -> str:
    """Return a hash of the request fields that must match when a key is reused."""
    parts = (
        message.input,
        message.class_name,
        message.max_tokens,
        message.priority,
        message.repeatable,
    )
    return xxhash.xxh128_hexdigest(msgspec.json.encode(parts))


def keyed_submission(
    document: ServiceDocument, request: KeyedRequest, message: KeyedSubmit
) -> WorkSubmit:
    """Build the work item of a claimed request."""
    prefix = default_prefix_id(message.input)
    return WorkSubmit(
        work_id=f"{message.service}/{message.key}/{request.claim_id}",
        service=message.service,
        shard=work_shard(document, prefix),
        tenant=message.class_name or "default",
        kind="desk",
        model=document.model,
        prompt=message.input,
        max_tokens=message.max_tokens,
        prompt_tokens=prompt_tokens(message.input),
        prefix=prefix,
        region=message.region,
        repeatable=message.repeatable,
        priority=message.priority,
        deadline_s=request.remaining_s(),
    )
