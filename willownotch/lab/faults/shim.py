"""Makes system calls of one process fail: the library of `shim.c`, and the environment that loads it.

The C compiler is a tool of the tests. Nothing here is loaded by a sender.
"""

from __future__ import annotations

import errno
import functools
import hashlib
import os
import subprocess
import tempfile
from dataclasses import dataclass
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
SHORT, SLOW = "short", "slow"


@dataclass(frozen=True)
class CallFault:
    """What befalls a call: the name of an error, `SHORT` or `SLOW`.

    Either with a probability (`rate`) or at its Nth time alone, between two times in seconds since the
    process began.
    """

    call: str
    effect: str
    rate: float = 0.0
    nth: int = 0
    from_s: float = 0.0
    to_s: float = 1e6

    def text(self) -> str:
        """As the library reads it."""
        effect = self.effect if self.effect in (SHORT, SLOW) else str(getattr(errno, self.effect))
        rate = f"#{self.nth}" if self.nth else f"{self.rate:.6f}"
        return f"{self.call}:{effect}:{rate}:{self.from_s:.3f}:{self.to_s:.3f}"


@functools.cache
def library() -> Path:
    """The path of the built library; `CalledProcessError` where there is no C compiler."""
    digest = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    path = Path(tempfile.gettempdir()) / f"willownotch-fault-shim-{os.getuid()}-{digest}.so"
    if not path.exists():
        new = path.with_suffix(f".{os.getpid()}")
        subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", str(new), str(SOURCE), "-ldl"], check=True)
        new.replace(path)
    return path


def environment(
    faults: list[CallFault],
    folder: Path,
    seed: int = 1,
    step_s: float = 0.0,
    step_from_s: float = 0.0,
    log: Path | None = None,
) -> dict[str, str]:
    """The variables that load the library into a process: its faults, the folder whose files they strike, and
    a step of the wall clock in seconds."""
    found = {
        "LD_PRELOAD": str(library()),
        "FAULT_SHIM_PLAN": " ".join(fault.text() for fault in faults),
        "FAULT_SHIM_FOLDER": str(folder),
        "FAULT_SHIM_SEED": str(seed),
    }
    if step_s:
        found["FAULT_SHIM_STEP"] = f"{step_s}:{step_from_s}"
    if log is not None:
        found["FAULT_SHIM_LOG"] = str(log)
    return found


def struck(log: Path) -> dict[str, int]:
    """How often each fault struck, by `CALL EFFECT`, as the library's log has it."""
    counts: dict[str, int] = {}
    for line in log.read_text(encoding="ascii").splitlines() if log.exists() else ():
        counts[line] = counts.get(line, 0) + 1
    return counts
