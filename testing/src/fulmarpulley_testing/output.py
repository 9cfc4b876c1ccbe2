"""Print the progress of long runs."""


def print_flushed(text: str) -> None:
    """Print a line and flush it."""
    print(text, flush=True)
