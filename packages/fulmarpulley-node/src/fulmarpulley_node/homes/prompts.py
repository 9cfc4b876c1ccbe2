"""Describe prompts to the dispatcher."""

import xxhash

# Prompts that share this many characters are likely to share a cached prefix.
PREFIX_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4


def prompt_tokens(prompt: str) -> int:
    """Estimate the tokens of a prompt."""
    return 1 + len(prompt) // CHARACTERS_PER_TOKEN


def default_prefix_id(prompt: str) -> str:
    """Return the prefix id of a prompt that names none."""
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())
