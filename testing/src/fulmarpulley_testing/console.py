"""Print what long runs do."""


def print_flushed(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)
