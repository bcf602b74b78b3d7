"""An upgrade of a sender that has peers, while a partner system hangs: the new process cannot start."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stand_ins_2 as s

DEST = 7
DEADLINE_MS = 20000
READY_S, KILL_S = 6.0, 3.7  # until the old process gets SIGTERM; from that to SIGKILL
HANG_S = 14.0  # "took calls and answered none for a stretch of 5.2 to 17 s"


def conf(folder: Path, port: int, other: int) -> str:
    """The settings of docs/usage.md."""
    return (
        f"peers {{\n    listen 127.0.0.1:{port}\n    keys {folder / 'keys'}\n"
        f"    seeds 127.0.0.1:{other}\n}}\nusage {{\n    count yes\n}}\n"
    )


def case(record: s.Record, folder: Path, senders: list[s.Sender]) -> list[str]:
    """Play it; what broke the rule."""
    hangs_until = [0.0]
    terminal = s.Endpoint(record, "terminal", s.hanging(lambda: hangs_until[0]))
    haulier = s.Endpoint(record, "haulier", s.sound)
    platform = s.Platform(record, [terminal.entry(DEST, "terminal-operator"), haulier.entry(DEST + 1)])
    (folder / "keys").write_text("1 " + "ab" * 32 + "\n", encoding="utf-8")
    ports = [s.free_port(), s.free_port()]
    for number in range(2):
        text = conf(folder, ports[number], ports[1 - number])
        senders.append(s.Sender(record, folder, f"n{number}", platform, s.settings(2), text))
        senders[number].start(LB_MANAGEMENT=f"127.0.0.1:{s.free_port()}")
    for sender in senders:
        sender.wait_ready()
    time.sleep(1.0)

    sender, old, began, taken = senders[0], senders[0].process, time.monotonic(), []

    def charge(ref: str, dest: int) -> None:
        if s.hand_in(record, sender.address, ref, "fee-payment", dest, DEADLINE_MS, thread=ref) in (200, 202):
            taken.append(ref)

    hangs_until[0] = began + HANG_S
    for number in range(3):
        charge(f"hung{number}", DEST)
        for beside in range(3):  # the hung partner "gets up to 25% of the traffic"
            charge(f"beside{number}.{beside}", DEST + 1)
    s.wait_until(lambda: bool(terminal.calls), 3.0, "a call is out")
    new = sender.start(LB_MANAGEMENT=f"127.0.0.1:{s.free_port()}") if s.TROUBLE else old
    started, number, left_out, end = time.monotonic(), 0, 0, None
    due = [(READY_S, signal.SIGTERM), (READY_S + KILL_S, signal.SIGKILL)] if s.TROUBLE else []
    while time.monotonic() - began < HANG_S:
        ref = f"sound{number}"
        charge(ref, DEST + 1)
        left_out += ref not in taken
        number += 1
        if due and time.monotonic() - started >= due[0][0]:
            sender.signal(due.pop(0)[1], old)
        if end is None and new.poll() is not None:
            end = new.returncode
            record.say(f"the new process has ended with {end}")
        time.sleep(0.25)
    record.say(f"{left_out} of {number} hand-ins for the sound partner were not taken on")
    if end is None:
        return []
    last = sender.log().splitlines()[-1]
    record.say(f"the old process: {old.poll()}")
    return [
        f"the new process, which got no signal, ended with exit code {end}: {last}; "
        f"{left_out} of {number} hand-ins for the sound partner were not taken on"
    ]


if __name__ == "__main__":
    s.play(__file__, case)
