"""Own counts in the folder: death at each file operation, torn tails, damage, no room, another life."""

from __future__ import annotations

import pytest

from willownotch.files.faulty import Fault, Faulty, Kind
from willownotch.files.layer import Files
from willownotch.files.space import Space
from willownotch.usage import store as books
from willownotch.usage.core import Session
from willownotch.usage.settled import Settled
from willownotch.usage.store import CountStore
from willownotch.usage.tally import Tally
from willownotch.usage.wire import CountKind, Row

KEY = b"acme", "status"


class DiedError(Exception):
    """Stands for SIGKILL."""


def die():
    raise DiedError


def opened(folder, files=None, space=None, said=None, life=7):
    say = (said if said is not None else []).append
    store = CountStore(folder, files or Files(), space or Space(10_000_000), say)
    sessions, settled = store.read()
    store.begin(Session(life, "here"), Tally(100))
    store.compact(sessions, settled)
    return store, sessions, settled


def reread(folder, said=None):
    return CountStore(folder, Files(), Space(10_000_000), (said if said is not None else []).append).read()


def held(sessions):
    return sum(row.counts[CountKind.TAKEN] for life in sessions for row in life.rows.values())


def count(store, number=1):
    for _ in range(number):
        store.count(0.0, [("acme", "status", CountKind.TAKEN)])


def story(folder, files, answered):
    """Two processes, with files written anew in the middle; `answered` has what clients heard."""
    for life in (1, 2):
        store, sessions, settled = opened(folder, files, life=life)
        for n in range(4):
            count(store)
            answered.append(1)
            if n == 1:
                former = [Session(each.id, each.name, True, each.upto, each.rows) for each in sessions]
                store.compact(former, settled)
        store.close()


def operations():
    import tempfile
    from pathlib import Path

    with tempfile.TemporaryDirectory() as folder:
        files = Faulty()
        story(Path(folder), files, [])
        return files.count


@pytest.mark.parametrize("kind", [Kind.DIE, Kind.DIE_TORN])
@pytest.mark.parametrize("number", range(1, operations() + 1))
def test_death_at_each_operation_loses_nothing_that_was_answered(tmp_path, kind, number):
    answered, said = [], []
    with pytest.raises(DiedError):
        story(tmp_path, Faulty(lambda: [Fault(kind, number=number)], die), answered)
    sessions, _ = reread(tmp_path, said)
    assert len(answered) <= held(sessions) <= len(answered) + 1  # the one that was about to be answered
    for life in sessions:
        assert [row.version for row in life.rows.values()][-1:] in ([life.upto], [])
    store, sessions, _ = opened(tmp_path, life=3)  # and the next process goes on
    count(store)
    assert held(reread(tmp_path)[0]) == held(sessions) + 1


def test_a_torn_tail_is_said_and_costs_only_itself(tmp_path):
    store, _, _ = opened(tmp_path)
    count(store, 3)
    log = next((tmp_path / "usage").glob("log.*"))
    log.write_bytes(log.read_bytes()[:-5])
    said = []
    assert held(reread(tmp_path, said)[0]) == 2
    assert any("cannot be read" in line for line in said)


def test_a_flipped_bit_is_never_a_count(tmp_path):
    store, _, _ = opened(tmp_path)
    count(store, 3)
    log = next((tmp_path / "usage").glob("log.*"))
    whole = log.read_bytes()
    for place in range(len(whole)):
        log.write_bytes(whole[:place] + bytes([whole[place] ^ 4]) + whole[place + 1 :])
        said = []
        assert held(reread(tmp_path, said)[0]) in (0, 1, 2)
        assert any("cannot be read" in line for line in said)


def test_what_follows_a_gap_is_left_out_and_said(tmp_path):
    store, _, _ = opened(tmp_path)
    count(store, 2)
    log = next((tmp_path / "usage").glob("log.*"))
    row = Row(*KEY, 9, (9, 0, 0, 0, 0))
    with log.open("ab") as file:
        file.write(books.frame(books.RowRecord(7, (row,))))
    said = []
    assert held(reread(tmp_path, said)[0]) == 2
    assert any("from version 3" in line for line in said)


def test_a_damaged_base_is_said_and_what_can_be_read_counts(tmp_path):
    store, _, _ = opened(tmp_path)
    count(store, 2)
    store.compact([], Settled())
    count(store, 1)
    base = tmp_path / "usage" / "base"
    base.write_bytes(base.read_bytes()[:-3])
    said = []
    assert held(reread(tmp_path, said)[0]) == 3
    assert any("base" in line for line in said)


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
def test_a_disk_that_fails_costs_no_count_and_is_made_good_later(tmp_path, fault):
    faults, said = [], []
    store, sessions, settled = opened(tmp_path, Faulty(lambda: faults), said=said)
    count(store, 2)
    faults.append(fault)
    count(store, 2)
    store.compact(sessions, settled)
    count(store, 2)
    assert store.broken
    assert sum("in memory only" in line for line in said) == 1
    assert store.rows.qsize() == 6
    faults.clear()
    assert store.needs_compaction()
    assert store.compact(sessions, settled)
    assert not store.broken
    count(store)
    assert held(reread(tmp_path)[0]) == 7


def test_a_folder_that_never_could_be_written_stops_neither_counts_nor_the_end(tmp_path):
    store, _, _ = opened(tmp_path, Faulty(lambda: [Fault(Kind.NO_SPACE, "create")]))
    count(store, 2)
    store.close()
    assert store.rows.qsize() == 2 and store.broken


def test_the_folder_s_limit_holds_for_counts_too(tmp_path):
    space = Space(40_000)
    store, _, _ = opened(tmp_path, space=space)
    for n in range(1000):
        store.count(0.0, [(f"tenant {n % 50}", "status", CountKind.TAKEN)])
        if store.needs_compaction():
            store.compact([], Settled())
        used = sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "usage").iterdir())
        assert used == space.bodies <= 40_000
    assert store.rows.qsize() == 1000


def test_files_stay_small_and_space_is_given_back(tmp_path):
    space = Space(10_000_000)
    store, _, _ = opened(tmp_path, space=space)
    for _ in range(50):
        count(store, 100)
        store.compact([], Settled())
    assert len(list((tmp_path / "usage").iterdir())) == 2
    assert space.bodies == sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "usage").iterdir())
    again = Space(10_000_000)
    opened(tmp_path, space=again, life=8)
    assert again.bodies == sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "usage").iterdir())


def test_the_settled_part_is_kept(tmp_path):
    store, _, _ = opened(tmp_path)
    settled = Settled()
    for life in range(300):
        settled.fold(1000 + life, 1, [Row(b"t%d" % life, "status", 1, (life, 0, 0, 0, 0))])
    assert store.compact([], settled)
    found = reread(tmp_path)[1]
    assert (found.sessions, found.rows, found.digest) == (settled.sessions, settled.rows, settled.digest)


def test_another_life_goes_on_in_the_same_folder(tmp_path):
    store, sessions, settled = opened(tmp_path)
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
    assert {life.id: held([life]) for life in reread(tmp_path)[0]} == {7: 2, 8: 3}
