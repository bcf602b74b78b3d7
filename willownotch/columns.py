"""Plain-text tables."""

from __future__ import annotations


def table(headers: list[str], rows: list[list[str]]) -> str:
    """Format rows in columns as wide as their content; columns of numbers are right-aligned."""
    widths = [max(len(row[n]) for row in [headers, *rows]) for n in range(len(headers))]
    right = [all(row[n][:1] in "0123456789-" for row in rows) for n in range(len(headers))]
    lines = []
    for row in [headers, *rows]:
        cells = zip(row, widths, right, strict=True)
        lines.append("  ".join(cell.rjust(w) if r else cell.ljust(w) for cell, w, r in cells).rstrip())
    return "\n".join(lines)
