"""Compute the deterministic tokens and lengths of a generation by prompt and seed.

A token contains the hash of its prompt, its seed, its index and the version that
generated it, so that the checker detects foreign, missing and mislabelled tokens.
"""

from typing import NamedTuple

import xxhash

# On average one in 25 generations is a straggler that runs to max_tokens.
STRAGGLER_PERIOD = 25


class Token(NamedTuple):
    """Hold the fields of a token text."""

    prompt_hash: str
    seed: int
    position: int
    version: int


def prompt_hash(prompt: str) -> str:
    """Return the hash by which a token identifies its prompt."""
    return xxhash.xxh64_hexdigest(prompt.encode())


def token_text(prompt: str, seed: int, index: int, version: int) -> str:
    """Return the text of one token, which ends with a space as separator."""
    return f"{prompt_hash(prompt)}:{seed}:{index}:{version} "


def parse(text: str) -> list[Token] | None:
    """Split a text into its tokens; return None if a token is malformed."""
    if text and not text.endswith(" "):
        return None
    try:
        return [_parse_token(part) for part in text.split(" ")[:-1]]
    except ValueError:
        return None


def _parse_token(part: str) -> Token:
    prompt_digest, seed, index, version = part.split(":")
    return Token(prompt_digest, int(seed), int(index), int(version))


def generation_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Return the number of tokens of a complete generation, at least 1."""
    digest = xxhash.xxh64_intdigest(f"{seed}/{prompt}".encode())
    if digest % STRAGGLER_PERIOD == 0:
        return max_tokens
    max_length = max(1, max_tokens // 2)
    return 1 + (digest >> 8) % max_length


def plain_result(body: str) -> str:
    """Return the deterministic answer of plain services to a body."""
    return f"result {prompt_hash(body)}"
