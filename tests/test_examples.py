"""The examples run as their README says, and end what they started."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
PATIENCE = 120.0


def test_the_small_control_plane_plays_its_story_and_ends_all(tmp_path):
    found = subprocess.run(
        [sys.executable, "examples/control_plane.py"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=PATIENCE,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    )
    assert found.returncode == 0, found
    for text in (
        "revision 1 is committed: 1 set",
        "revision 1 is in force",
        "the writer is ",
        "revision 2 is committed: 0 set, 1 removed",
        "revision 2 is in force",
        "done",
    ):
        assert text in found.stdout, found.stdout
    assert not list(tmp_path.iterdir())
    ours = [path for path in Path("/proc").glob("[0-9]*/cmdline") if str(tmp_path) in _words(path)]
    assert not ours


def _words(path):
    try:
        return path.read_bytes().decode("utf-8", "replace")
    except OSError:
        return ""  # it has ended meanwhile
