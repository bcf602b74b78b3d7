"""The store of own counts: kills at each file operation, torn tails, damage, a full folder, a new session."""

from __future__ import annotations

import pytest

from willownotch.files.faulty import Fault, Faulty, Kind
from willownotch.files.layer import Files
from willownotch.files.space import Space
from willownotch.usage import store as stores
from willownotch.usage.core import Session
from willownotch.usage.settled import SettledCounts
from willownotch.usage.store import CountStore
from willownotch.usage.tally import Tally
from willownotch.usage.wire import CountKind, Row

KEY = b"acme", "status"


class KilledError(Exception):
    """Stands for SIGKILL."""


def raise_killed():
    raise KilledError


def open_store(folder, files=None, space=None, lines=None, session=7):
    say = (lines if lines is not None else []).append
    store = CountStore(folder, files or Files(), space or Space(10_000_000), say)
    sessions, settled = store.read()
    store.begin(Session(session, "here"), Tally(100))
    store.compact(sessions, settled)
    return store, sessions, settled


def read_again(folder, lines=None):
    return CountStore(folder, Files(), Space(10_000_000), (lines if lines is not None else []).append).read()


def total_taken(sessions):
    return sum(row.counts[CountKind.TAKEN] for session in sessions for row in session.rows.values())


def count(store, number=1):
    for _ in range(number):
        store.count(0.0, [("acme", "status", CountKind.TAKEN)])


def two_processes(folder, files, answered):
    """Two processes count and compact in between. `answered` gets an entry for each answer to a client."""
    for session in (1, 2):
        store, sessions, settled = open_store(folder, files, session=session)
        for n in range(4):
            count(store)
            answered.append(1)
            if n == 1:
                former = [Session(each.id, each.name, True, each.version, each.rows) for each in sessions]
                store.compact(former, settled)
        store.close()


def count_operations():
    import tempfile
    from pathlib import Path

    with tempfile.TemporaryDirectory() as folder:
        files = Faulty()
        two_processes(Path(folder), files, [])
        return files.count


@pytest.mark.parametrize("kind", [Kind.DIE, Kind.DIE_TORN])
@pytest.mark.parametrize("number", range(1, count_operations() + 1))
def test_a_kill_at_any_operation_loses_no_answered_count(tmp_path, kind, number):
    answered, lines = [], []
    with pytest.raises(KilledError):
        two_processes(tmp_path, Faulty(lambda: [Fault(kind, number=number)], raise_killed), answered)
    sessions, _ = read_again(tmp_path, lines)
    assert len(answered) <= total_taken(sessions) <= len(answered) + 1  # one may have had no answer yet
    for session in sessions:
        assert [row.version for row in session.rows.values()][-1:] in ([session.version], [])
    store, sessions, _ = open_store(tmp_path, session=3)  # the next process can count on
    count(store)
    assert total_taken(read_again(tmp_path)[0]) == total_taken(sessions) + 1


def test_a_torn_tail_is_logged_and_loses_only_its_record(tmp_path):
    store, _, _ = open_store(tmp_path)
    count(store, 3)
    log = next((tmp_path / "usage").glob("log.*"))
    log.write_bytes(log.read_bytes()[:-5])
    lines = []
    assert total_taken(read_again(tmp_path, lines)[0]) == 2
    assert any("cannot be read" in line for line in lines)


def test_a_flipped_bit_is_never_counted(tmp_path):
    store, _, _ = open_store(tmp_path)
    count(store, 3)
    log = next((tmp_path / "usage").glob("log.*"))
    whole = log.read_bytes()
    for place in range(len(whole)):
        log.write_bytes(whole[:place] + bytes([whole[place] ^ 4]) + whole[place + 1 :])
        lines = []
        assert total_taken(read_again(tmp_path, lines)[0]) in (0, 1, 2)
        assert any("cannot be read" in line for line in lines)


def test_rows_after_a_gap_are_left_out_and_logged(tmp_path):
    store, _, _ = open_store(tmp_path)
    count(store, 2)
    log = next((tmp_path / "usage").glob("log.*"))
    row = Row(*KEY, 9, (9, 0, 0, 0, 0))
    with log.open("ab") as file:
        file.write(stores.encode_record(stores.RowsRecord(7, (row,))))
    lines = []
    assert total_taken(read_again(tmp_path, lines)[0]) == 2
    assert any("from version 3" in line for line in lines)


def test_a_damaged_base_is_logged_and_its_readable_part_counts(tmp_path):
    store, _, _ = open_store(tmp_path)
    count(store, 2)
    store.compact([], SettledCounts())
    count(store, 1)
    base = tmp_path / "usage" / "base"
    base.write_bytes(base.read_bytes()[:-3])
    lines = []
    assert total_taken(read_again(tmp_path, lines)[0]) == 3
    assert any("base" in line for line in lines)


@pytest.mark.parametrize(
    "fault",
    [
        Fault(Kind.NO_SPACE, "append", "log.*"),
        Fault(Kind.IO_ERROR, "append", "log.*"),
        Fault(Kind.NO_SPACE, "append", "base*"),
        Fault(Kind.NO_SPACE, "create"),
        Fault(Kind.IO_ERROR, "replace"),
    ],
)
def test_counts_go_on_during_a_disk_fault_and_a_later_compaction_saves_them(tmp_path, fault):
    faults, lines = [], []
    store, sessions, settled = open_store(tmp_path, Faulty(lambda: faults), lines=lines)
    count(store, 2)
    faults.append(fault)
    count(store, 2)
    store.compact(sessions, settled)
    count(store, 2)
    assert store.incomplete_reason
    assert sum("in memory only" in line for line in lines) == 1
    assert store.pending_rows.qsize() == 6
    faults.clear()
    assert store.needs_compaction()
    assert store.compact(sessions, settled)
    assert not store.incomplete_reason
    count(store)
    assert total_taken(read_again(tmp_path)[0]) == 7


def test_counting_and_closing_work_with_an_unwritable_folder(tmp_path):
    store, _, _ = open_store(tmp_path, Faulty(lambda: [Fault(Kind.NO_SPACE, "create")]))
    count(store, 2)
    store.close()
    assert store.pending_rows.qsize() == 2 and store.incomplete_reason


def test_counts_stay_within_the_folder_s_space_limit(tmp_path):
    space = Space(40_000)
    store, _, _ = open_store(tmp_path, space=space)
    for n in range(1000):
        store.count(0.0, [(f"tenant {n % 50}", "status", CountKind.TAKEN)])
        if store.needs_compaction():
            store.compact([], SettledCounts())
        used = sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "usage").iterdir())
        assert used == space.bodies <= 40_000
    assert store.pending_rows.qsize() == 1000


def test_compaction_keeps_files_small_and_releases_space(tmp_path):
    space = Space(10_000_000)
    store, _, _ = open_store(tmp_path, space=space)
    for _ in range(50):
        count(store, 100)
        store.compact([], SettledCounts())
    assert len(list((tmp_path / "usage").iterdir())) == 2
    assert space.bodies == sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "usage").iterdir())
    again = Space(10_000_000)
    open_store(tmp_path, space=again, session=8)
    assert again.bodies == sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "usage").iterdir())


def test_settled_counts_are_stored(tmp_path):
    store, _, _ = open_store(tmp_path)
    settled = SettledCounts()
    for session in range(300):
        settled.fold(1000 + session, 1, [Row(b"t%d" % session, "status", 1, (session, 0, 0, 0, 0))])
    assert store.compact([], settled)
    found = read_again(tmp_path)[1]
    assert (found.sessions, found.rows, found.digest) == (settled.sessions, settled.rows, settled.digest)


def test_a_new_session_continues_in_the_same_folder(tmp_path):
    store, sessions, settled = open_store(tmp_path)
    count(store, 3)
    new = Session(8, "here")
    new.put(Row(*KEY, 1, (1, 0, 0, 0, 0)))
    old = Session(7, "here", True)
    old.put(Row(*KEY, 2, (2, 0, 0, 0, 0)))
    with store.lock:
        store.renew(new)
    count(store)
    store.compact([old], settled)
    count(store)
    assert {session.id: total_taken([session]) for session in read_again(tmp_path)[0]} == {7: 2, 8: 3}
