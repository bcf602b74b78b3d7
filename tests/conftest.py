"""What holds for all tests: the same cases at each run, so that a verdict is a change's and no draw's.

KNOWN-RED.txt at the root lists tests that fail for a real fault: `test | cause | issue`, three at most. They
are passed over, and printed at the end of each run; `WILLOWNOTCH_RED=1` runs them all the same.
"""

import os
from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("short", derandomize=True, deadline=None)  # nor one of the machine's load
if not os.environ.get("WILLOWNOTCH_LONG"):  # `make long` draws anew each time
    settings.load_profile("short")

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def known_red():
    lines = LIST.read_text(encoding="utf-8").splitlines() if LIST.exists() else []
    rows = [[part.strip() for part in line.split("|")] for line in lines if line.strip()]
    if len(rows) > MOST or any(len(row) != 3 or not all(row) for row in rows):
        raise pytest.UsageError(f"{LIST.name}: a line is 'test | cause | issue', {MOST} lines at most")
    return rows


def pytest_collection_modifyitems(config, items):
    red = set() if os.environ.get("WILLOWNOTCH_RED") else {row[0] for row in known_red()}
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in red])
    items[:] = [item for item in items if item.nodeid not in red]


def pytest_terminal_summary(terminalreporter):
    for test, cause, issue in known_red():
        terminalreporter.write_line(f"known red, passed over: {test}: {cause} ({issue})")
