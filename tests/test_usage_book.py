"""Own counts in the folder: death at each file operation, torn tails, damage, no room, another life."""

from __future__ import annotations

import pytest

from willownotch.files.faulty import Fault, Faulty, Kind
from willownotch.files.layer import Files
from willownotch.files.space import Space
from willownotch.usage import book as books
from willownotch.usage.book import Book
from willownotch.usage.core import Life
from willownotch.usage.settled import Settled
from willownotch.usage.tally import Tally
from willownotch.usage.wire import Row, Sort

KEY = b"acme", "status"


class DiedError(Exception):
    """Stands for SIGKILL."""


def die():
    raise DiedError


def opened(folder, files=None, space=None, said=None, life=7):
    say = (said if said is not None else []).append
    book = Book(folder, files or Files(), space or Space(10_000_000), say)
    lives, settled = book.read()
    book.begin(Life(life, "here"), Tally(100))
    book.write_anew(lives, settled)
    return book, lives, settled


def reread(folder, said=None):
    return Book(folder, Files(), Space(10_000_000), (said if said is not None else []).append).read()


def held(lives):
    return sum(row.counts[Sort.TAKEN] for life in lives for row in life.rows.values())


def count(book, number=1):
    for _ in range(number):
        book.count(0.0, [("acme", "status", Sort.TAKEN)])


def story(folder, files, answered):
    """Two processes, with files written anew in the middle; `answered` has what clients heard."""
    for life in (1, 2):
        book, lives, settled = opened(folder, files, life=life)
        for n in range(4):
            count(book)
            answered.append(1)
            if n == 1:
                former = [Life(each.id, each.name, True, each.upto, each.rows) for each in lives]
                book.write_anew(former, settled)
        book.close()


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
    lives, _ = reread(tmp_path, said)
    assert len(answered) <= held(lives) <= len(answered) + 1  # the one that was about to be answered
    for life in lives:
        assert [row.version for row in life.rows.values()][-1:] in ([life.upto], [])
    book, lives, _ = opened(tmp_path, life=3)  # and the next process goes on
    count(book)
    assert held(reread(tmp_path)[0]) == held(lives) + 1


def test_a_torn_tail_is_said_and_costs_only_itself(tmp_path):
    book, _, _ = opened(tmp_path)
    count(book, 3)
    log = next((tmp_path / "usage").glob("log.*"))
    log.write_bytes(log.read_bytes()[:-5])
    said = []
    assert held(reread(tmp_path, said)[0]) == 2
    assert any("cannot be read" in line for line in said)


def test_a_flipped_bit_is_never_a_count(tmp_path):
    book, _, _ = opened(tmp_path)
    count(book, 3)
    log = next((tmp_path / "usage").glob("log.*"))
    whole = log.read_bytes()
    for place in range(len(whole)):
        log.write_bytes(whole[:place] + bytes([whole[place] ^ 4]) + whole[place + 1 :])
        said = []
        assert held(reread(tmp_path, said)[0]) in (0, 1, 2)
        assert any("cannot be read" in line for line in said)


def test_what_follows_a_gap_is_left_out_and_said(tmp_path):
    book, _, _ = opened(tmp_path)
    count(book, 2)
    log = next((tmp_path / "usage").glob("log.*"))
    row = Row(*KEY, 9, (9, 0, 0, 0, 0))
    with log.open("ab") as file:
        file.write(books.frame(books.RowRecord(7, (row,))))
    said = []
    assert held(reread(tmp_path, said)[0]) == 2
    assert any("from version 3" in line for line in said)


def test_a_damaged_base_is_said_and_what_can_be_read_counts(tmp_path):
    book, _, _ = opened(tmp_path)
    count(book, 2)
    book.write_anew([], Settled())
    count(book, 1)
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
    book, lives, settled = opened(tmp_path, Faulty(lambda: faults), said=said)
    count(book, 2)
    faults.append(fault)
    count(book, 2)
    book.write_anew(lives, settled)
    count(book, 2)
    assert book.broken
    assert sum("in memory only" in line for line in said) == 1
    assert book.rows.qsize() == 6
    faults.clear()
    assert book.wants_anew()
    assert book.write_anew(lives, settled)
    assert not book.broken
    count(book)
    assert held(reread(tmp_path)[0]) == 7


def test_a_folder_that_never_could_be_written_stops_neither_counts_nor_the_end(tmp_path):
    book, _, _ = opened(tmp_path, Faulty(lambda: [Fault(Kind.NO_SPACE, "create")]))
    count(book, 2)
    book.close()
    assert book.rows.qsize() == 2 and book.broken


def test_the_folder_s_limit_holds_for_counts_too(tmp_path):
    space = Space(40_000)
    book, _, _ = opened(tmp_path, space=space)
    for n in range(1000):
        book.count(0.0, [(f"tenant {n % 50}", "status", Sort.TAKEN)])
        if book.wants_anew():
            book.write_anew([], Settled())
        used = sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "usage").iterdir())
        assert used == space.bodies <= 40_000
    assert book.rows.qsize() == 1000


def test_files_stay_small_and_space_is_given_back(tmp_path):
    space = Space(10_000_000)
    book, _, _ = opened(tmp_path, space=space)
    for _ in range(50):
        count(book, 100)
        book.write_anew([], Settled())
    assert len(list((tmp_path / "usage").iterdir())) == 2
    assert space.bodies == sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "usage").iterdir())
    again = Space(10_000_000)
    opened(tmp_path, space=again, life=8)
    assert again.bodies == sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "usage").iterdir())


def test_the_settled_part_is_kept(tmp_path):
    book, _, _ = opened(tmp_path)
    settled = Settled()
    for life in range(300):
        settled.fold(1000 + life, 1, [Row(b"t%d" % life, "status", 1, (life, 0, 0, 0, 0))])
    assert book.write_anew([], settled)
    found = reread(tmp_path)[1]
    assert (found.lives, found.rows, found.digest) == (settled.lives, settled.rows, settled.digest)


def test_another_life_goes_on_in_the_same_folder(tmp_path):
    book, lives, settled = opened(tmp_path)
    count(book, 3)
    new = Life(8, "here")
    new.put(Row(*KEY, 1, (1, 0, 0, 0, 0)))
    old = Life(7, "here", True)
    old.put(Row(*KEY, 2, (2, 0, 0, 0, 0)))
    with book.lock:
        book.renew(new)
    count(book)
    book.write_anew([old], settled)
    count(book)
    assert {life.id: held([life]) for life in reread(tmp_path)[0]} == {7: 2, 8: 3}
