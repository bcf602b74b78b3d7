"""The journal's file when closing or replacing it fails, or when a kill has truncated a record."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest

from willownotch.files.layer import Files
from willownotch.files.replacing import replace_file
from willownotch.files.space import Space
from willownotch.journal.records import AcceptedMessage, MessageEnded, RelayStarted, frame
from willownotch.net.journal import NAME, Journal
from willownotch.net.timebase import Origin, continues

NOW = datetime(2026, 12, 2, tzinfo=UTC)
DISK = 1_000_000


def message(ref, at=NOW, time_left=timedelta(seconds=8)):
    return AcceptedMessage(ref, 7, "status", "acme", at + time_left, body=b"hello", at=at)


class Failing(Files):
    """Fails the calls named in `failing`, once each."""

    def __init__(self):
        self.failing = set()
        self.open_files = set()

    def _fails(self, call):
        if call in self.failing:
            self.failing.discard(call)
            raise OSError(5, "Input/output error")

    def create(self, path):
        file = super().create(path)
        self.open_files.add(file)
        return file

    def close(self, file):
        super().close(file)
        self.open_files.discard(file)
        self._fails("close")

    def replace(self, old, new):
        super().replace(old, new)  # the rename has taken effect
        self._fails("replace")


def open_journal(folder, files=None):
    journal = Journal(folder, Space(DISK, 0.5), files or Files())
    journal.open(NOW)
    return journal


def test_a_close_that_fails_leaves_the_new_file_in_use(tmp_path):
    """Records were written to the old descriptor's number, which may belong to another file by then."""
    files = Failing()
    journal = open_journal(tmp_path, files)
    journal.append([message("a")])
    files.failing.add("close")
    journal.compact()
    journal.append([message("b")])
    assert list(open_journal(tmp_path).live) == ["a", "b"] and len(files.open_files) == 1


def test_a_rename_that_fails_after_it_took_effect_loses_no_record(tmp_path):
    """Records were written to the old descriptor, whose file had been replaced."""
    files = Failing()
    journal = open_journal(tmp_path, files)
    journal.append([message("a")])
    files.failing.add("replace")
    with pytest.raises(OSError):
        journal.compact()
    journal.append([message("b")])
    assert list(open_journal(tmp_path).live) == ["a", "b"]


def test_a_record_truncated_at_any_byte_loses_only_itself(tmp_path):
    whole = [frame(message("a")), frame(RelayStarted("a", 0, NOW, "h")), frame(message("b"))]
    last = frame(MessageEnded("b", "given_up"))
    for cut in range(len(last)):
        (tmp_path / NAME).write_bytes(b"".join(whole) + last[:cut])
        journal = open_journal(tmp_path)
        assert list(journal.live) == ["a", "b"] and journal.live["b"].ended is None
        journal.append([message("c")])
        assert list(open_journal(tmp_path).live) == ["a", "b", "c"], cut


def test_a_message_from_the_future_lives_no_longer_than_its_time_to_live(tmp_path):
    """The wall clock was set back by an hour over a reboot."""
    later = NOW + timedelta(hours=1)
    (tmp_path / NAME).write_bytes(
        frame(message("a", later))
        + frame(RelayStarted("a", 0, later, "h"))
        + frame(message("b", NOW - timedelta(seconds=1)))
    )
    journal = open_journal(tmp_path)
    assert journal.live["a"].message.ends_at == NOW + timedelta(seconds=8)
    assert journal.live["a"].started[0].at == NOW
    assert journal.live["b"].message.ends_at == NOW + timedelta(seconds=7)
    assert any("1 messages have times after now" in fault for fault in journal.faults)


@pytest.mark.parametrize(
    "origin,continued",
    [
        (None, False),
        (Origin("b1", NOW, 100.0), True),
        (Origin("b1", NOW, 200.0), True),
        (Origin("b1", NOW, 200.1), False),
        (Origin("b2", NOW, 100.0), False),
        (Origin("", NOW, 100.0), False),
    ],
)
def test_recorded_times_are_used_only_within_the_same_boot(origin, continued):
    boot = origin.boot if origin is not None and not origin.boot else "b1"
    assert continues(origin, boot, 200.0) == continued


def test_a_file_is_replaced_completely_or_not_at_all(tmp_path):
    path, files = Path(tmp_path / "x"), Failing()
    replace_file(files, path, b"one")
    assert path.read_bytes() == b"one" and not files.open_files
    with pytest.raises(OSError):
        replace_file(Full(), path, b"two")
    assert path.read_bytes() == b"one" and sorted(p.name for p in tmp_path.iterdir()) == ["x"]


class Full(Files):
    """A disk without free space."""

    def append(self, file, data):
        raise OSError(28, "No space left on device")
