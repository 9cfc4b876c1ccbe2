"""Print results as text or JSON."""

import sys
from collections.abc import Sequence
from typing import Any

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated.http import Finding
from fulmarpulley_schema.jsonc import render


def print_json(value: Any) -> None:
    """Print a struct or built-in value as one line of JSON."""
    sys.stdout.write(codec.to_json(value).decode() + "\n")


def print_line(text: str) -> None:
    """Print one line of text."""
    sys.stdout.write(text + "\n")


def print_findings(findings: Sequence[Finding], as_json: bool) -> None:
    """Print the findings, one per line or as JSON."""
    if as_json:
        print_json({"findings": codec.to_builtins(list(findings))})
        return
    for finding in findings:
        print_line(render(finding))


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table with aligned columns."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print_line("  ".join(padded).rstrip())
