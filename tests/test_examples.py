"""The examples run as their README says, and end the processes that they started."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
PATIENCE = 120.0


def test_the_small_control_plane_plays_its_story_and_ends_all(tmp_path):
    result = subprocess.run(
        [sys.executable, "examples/control_plane.py"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=PATIENCE,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    )
    assert result.returncode == 0, result
    for text in (
        "revision 1 is committed: 1 set",
        "revision 1 is in force",
        "the writer is ",
        "revision 2 is committed: 0 set, 1 removed",
        "revision 2 is in force",
        "done",
    ):
        assert text in result.stdout, result.stdout
    assert not list(tmp_path.iterdir())
    left_running = [
        path for path in Path("/proc").glob("[0-9]*/cmdline") if str(tmp_path) in _command_line(path)
    ]
    assert not left_running


def _command_line(path):
    try:
        return path.read_bytes().decode("utf-8", "replace")
    except OSError:
        return ""  # the process has ended in the meantime
