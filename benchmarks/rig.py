"""What the benchmarks share: a machine's size, results with date and commit, a sender and its memory."""

from __future__ import annotations

import json
import os
import platform
import statistics
import subprocess
import sys
from datetime import UTC, datetime
from pathlib import Path

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "benchmarks" / "results"
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]


def commit() -> str:
    """The commit that is measured, with a mark where the tree differs from it."""

    def git(*words):
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + "+" * bool(git("status", "--short", "--", "willownotch"))


def machine() -> str:
    """Cores and memory."""
    gib = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{os.cpu_count()} cores, {gib:.0f} GiB, Python {platform.python_version()}"


def spread(values: list[float], unit: str = "") -> str:
    """Median, and the range."""
    return f"{statistics.median(values):.3g}{unit} ({min(values):.3g} to {max(values):.3g})"


def rss_kb(pid: int) -> int:
    """Resident memory of a process now, in KB of 1,024."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def peak_kb(pid: int) -> int:
    """The most that it had since `reset_peak`."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1])
    return 0


def reset_peak(pid: int) -> None:
    """Count the peak anew from now."""
    Path(f"/proc/{pid}/clear_refs").write_text("5", encoding="utf-8")


def write(name: str, command: str, lines: list[str], data: dict) -> None:
    """A result as a page for people and as JSON."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    head = [
        f"# {name}",
        "",
        f"- {datetime.now(UTC):%Y-%m-%d}, commit {commit()}, {machine()}",
        f"- `{command}`",
        "",
    ]
    (RESULTS / f"{name}.md").write_text("\n".join([*head, *lines]) + "\n", encoding="utf-8")
    (RESULTS / f"{name}.json").write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")
    print("\n".join([*head, *lines]))
