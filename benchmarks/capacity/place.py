"""Where the scripts of this folder find `rig`, the project and each other; imported first by all of them."""

from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
RESULTS = ROOT / "benchmarks" / "results" / "capacity"
sys.path[:0] = [str(HERE), str(HERE.parent)]
