"""A kill and a restart under charges whose calls are out, for a tenant that shared budgets hold hard."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stand_ins_2 as s

DEST, CHARGES, TENANT, MOST_AGAIN = 7, 3, "dune-carriers", 3
DEADLINE_MS = 20000
DISCOVERY_DOWN_S = 8.0
HANG_S = 8.0  # "take calls and answer none for 5.2 to 17 s"
BESIDE = 4  # messages for sound partners beside each charge: the hung one "gets up to 25% of the traffic"
AGAIN_S = 0.6  # a client's wait before it hands a refused message in again


def conf(folder: Path, port: int, seed: int | None) -> str:
    """The settings of docs/shared-state.md, for two senders."""
    seeds = f"    seeds 127.0.0.1:{seed}\n" if seed else ""
    return (
        f"peers {{\n    listen 127.0.0.1:{port}\n    keys {folder / 'keys'}\n{seeds}}}\n"
        f"shared {{\n    budgets yes\n    instances 2\n    hard {TENANT}\n}}\n"
    )


def case(record: s.Record, folder: Path, senders: list[s.Sender]) -> list[str]:
    """Play it; what broke the rule."""
    hangs_until = [0.0]
    host = s.Endpoint(record, "terminal", s.hanging(lambda: hangs_until[0]))
    others = [s.Endpoint(record, f"haulier{number}", s.sound) for number in range(3)]
    entries = [other.entry(DEST + 1 + number) for number, other in enumerate(others)]
    platform = s.Platform(record, [host.entry(DEST, "terminal-operator"), *entries])
    (folder / "keys").write_text("1 " + "ab" * 32 + "\n", encoding="utf-8")
    ports = [s.free_port(), s.free_port()]
    for number in range(2):
        text = conf(folder, ports[number], ports[0] if number else None)
        senders.append(s.Sender(record, folder, f"n{number}", platform, s.settings(2), text))
        senders[number].start()
    for sender in senders:
        sender.wait_ready()
    time.sleep(4.5)  # a new process spends its reserve alone for the length of a loan, 3 s

    sender, taken = senders[0], []
    hangs_until[0] = time.monotonic() + HANG_S
    for number in range(CHARGES):
        ref = f"fee{number}"
        status = s.hand_in(
            record, sender.address, ref, "fee-payment", DEST, DEADLINE_MS, TENANT, f"booking-{number}"
        )
        if status not in (200, 202):
            raise s.UnableError(f"{ref} was answered {status}")
        taken.append(ref)
        for beside in range(BESIDE):
            name = f"beside{number}.{beside}"
            s.hand_in(record, sender.address, name, "slot-status", DEST + 1 + beside % 3, DEADLINE_MS)
        time.sleep(1.0)  # 1 a second of the 1.5 that are this sender's part of 3
    s.wait_until(lambda: any(host.of(ref) for ref in taken), 5.0, "a charge is called")
    called = [ref for ref in taken if host.of(ref)]
    record.say(f"called and not answered: {' '.join(called)}")
    if s.TROUBLE:
        platform.down.set()
        discovery_back = time.monotonic() + DISCOVERY_DOWN_S
        record.say("discovery is down")
        sender.kill()
        time.sleep(0.6)
        sender.start()
        sender.wait_ready()
        time.sleep(max(0.0, discovery_back - time.monotonic()))
        platform.down.clear()
        record.say("discovery is back")
    ends = time.monotonic() + 26.0
    again: dict[str, str] = {}  # the id under which a charge was handed in again
    while time.monotonic() < ends and not all(
        platform.outcomes(ref) or any(call.status == 200 for call in host.of(ref)) for ref in taken
    ):
        time.sleep(0.05)
    for ref in taken:
        if "handed_back" in platform.outcomes(ref):  # "handing it in again is harmless"
            for attempt in range(MOST_AGAIN):
                time.sleep(AGAIN_S)
                again[ref] = f"{ref}-again{attempt}"
                status = s.hand_in(
                    record,
                    sender.address,
                    again[ref],
                    "fee-payment",
                    DEST,
                    DEADLINE_MS,
                    TENANT,
                    f"booking-{ref[3:]}",
                    again=True,
                )
                if status in (200, 202):
                    break
    time.sleep(2.0)
    broken = []
    for ref in called:
        if "handed_back" in platform.outcomes(ref):
            calls = len(host.of(ref))
            runs = len(host.of(again.get(ref, "")))
            broken.append(
                f"{ref} may not be repeated and may have run ({calls} call read to its last byte, without an "
                f"outcome), yet it was handed back; handed in again, it was called {runs} more time"
            )
    return broken


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(s.UNABLE))
    s.play(__file__, case)
