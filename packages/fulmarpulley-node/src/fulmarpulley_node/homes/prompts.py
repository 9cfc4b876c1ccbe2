"""Estimate the size and cache prefix of prompts for the dispatcher."""

import xxhash

# Prompts that share this many leading characters are likely to share a cached prefix.
PREFIX_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4


def prompt_tokens(prompt: str) -> int:
    """Estimate the number of tokens of a prompt."""
    return 1 + len(prompt) // CHARACTERS_PER_TOKEN


def default_prefix_id(prompt: str) -> str:
    """Return the prefix id of a prompt that was submitted without one."""
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())
