"""Tables in plain text."""

from __future__ import annotations


def table(heads: list[str], rows: list[list[str]]) -> str:
    """Columns as wide as they need to be; what looks like a number stands to the right."""
    widths = [max(len(row[n]) for row in [heads, *rows]) for n in range(len(heads))]
    right = [all(row[n][:1] in "0123456789-" for row in rows) for n in range(len(heads))]
    lines = []
    for row in [heads, *rows]:
        cells = zip(row, widths, right, strict=True)
        lines.append("  ".join(cell.rjust(w) if r else cell.ljust(w) for cell, w, r in cells).rstrip())
    return "\n".join(lines)
