"""A folder whose files hold what no process wrote ends no process: each is read with care or left aside."""

import json
from datetime import UTC, datetime
from pathlib import Path
from random import Random

import msgspec
import pytest
from harness import Discovery, Host, Sender

BOOT = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
NOW = datetime.now(UTC)


def record(**changed):
    fields = {"state": "failing", "failing_since": 1.0, "unreachable_at": 1.0, "returned_at": 1.0}
    fields |= {"answered_at": 1.0, "warm_at": 1.0, "assumed": False, "unknown": False, "last_answer": 1.0}
    fields |= {"usual": 1.0, "limit": 5.0, "pace": 2.0}
    fields |= changed
    return {"endpoint": 1, **fields}


def snapshot(saved_at=NOW, saved_s=5.0, **changed):
    return msgspec.msgpack.encode([saved_at, saved_s, [["s-0", record(**changed)]], True])


def origin(monotonic_s=0.0, at="2026-01-01T00:00:00Z"):
    return json.dumps({"boot": BOOT, "time": at, "monotonic_s": monotonic_s}).encode()


FILES = {
    "slow-start of an unknown state": ("slow-start", snapshot(state="asleep")),
    "slow-start with a time that is none": ("slow-start", snapshot(failing_since=float("nan"))),
    "slow-start with a negative limit": ("slow-start", snapshot(limit=-3.0)),
    "slow-start without a pace": ("slow-start", snapshot(pace=float("nan"))),
    "slow-start of endless times": ("slow-start", snapshot(warm_at=float("inf"), usual=float("inf"))),
    "slow-start without a time zone": ("slow-start", snapshot(saved_at="2026-01-01T00:00:00")),
    "slow-start saved at no time": ("slow-start", snapshot(saved_s=float("inf"))),
    "slow-start of many levels": ("slow-start", b"\x91" * 50_000),
    "slow-start of noise": ("slow-start", Random(1).randbytes(5000)),
    "clock far ahead": ("clock", origin(at="9999-12-31T23:59:59Z")),
    "clock without a time zone": ("clock", origin(at="2026-01-01T00:00:00")),
    "clock of the first year": ("clock", origin(at="0001-01-01T00:00:00Z")),
    "clock before all time": ("clock", origin(monotonic_s=-1e300)),
    "clock of many levels": ("clock", b"[" * 100_000),
    "journal of noise": ("journal", Random(2).randbytes(50_000)),
}


@pytest.mark.parametrize("name", FILES)
def test_a_file_that_no_process_wrote_ends_no_process(name):
    file, data = FILES[name]
    discovery = Discovery([Host()])
    sender = Sender(discovery)
    try:
        sender.ready()
        sender.process.kill()
        sender.process.wait()
        (sender.state / file).write_bytes(data)
        sender.start()
        sender.ready()
        for _ in range(5):
            assert sender.hand_in()[1].status == 202
        assert sender.process.poll() is None, "".join(sender.lines[-3:])
    finally:
        sender.close()
        discovery.close()
