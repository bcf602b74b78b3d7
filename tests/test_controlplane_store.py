"""A control plane folder: torn tails at every byte, failures at every operation, other owners and formats."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from willownotch.controlplane import store as stores
from willownotch.controlplane.store import Store, StoreError
from willownotch.files.faulty import Fault, Faulty, Kind
from willownotch.files.layer import REAL

OWNER = "member m1"
APPENDS = [[b"a"], [b"b" * 300, b"c"], [b"d" * 5000]]


def opened(folder, files=REAL, owner=OWNER):
    made = Store(folder, files, owner)
    return made, made.load()


def read(folder, owner=OWNER):
    made, payloads = opened(folder, owner=owner)
    made.close()
    return payloads


def written(folder, appends=APPENDS):
    made, _ = opened(folder)
    for payloads in appends:
        made.append(payloads)
    made.close()
    return (folder / stores.NAME).read_bytes()


def flat(appends):
    return list(itertools.chain(*appends))


@given(
    appends=st.lists(st.lists(st.binary(max_size=2000), max_size=4), max_size=6), rewritten=st.integers(0, 6)
)
def test_what_was_appended_comes_back_in_order(tmp_path_factory, appends, rewritten):
    folder = tmp_path_factory.mktemp("any") / "made"
    made, found = opened(folder)
    assert found == []
    for n, payloads in enumerate(appends):
        if n == rewritten:
            made.rewrite(flat(appends[:n]))
        made.append(payloads)
    assert made.size == (folder / stores.NAME).stat().st_size
    made.close()
    assert read(folder) == flat(appends)


def test_a_tail_torn_at_any_byte_is_cut_off_and_appended_behind(tmp_path):
    whole = written(tmp_path / "made")
    last = len(written(tmp_path / "shorter", APPENDS[:-1]))
    for at in range(last, len(whole)):
        folder = tmp_path / f"torn{at}"
        folder.mkdir()
        (folder / stores.NAME).write_bytes(whole[:at])
        made, found = opened(folder)
        assert found == flat(APPENDS[:-1])
        assert made.torn_bytes == at - last and made.size == last
        made.append([b"next"])
        made.close()
        assert read(folder) == [*flat(APPENDS[:-1]), b"next"]


@pytest.mark.parametrize("tail", [b"\0" * 600, b"wnP1", b"wnP1" * 9, b"\xff" * 12])
def test_a_tail_that_is_no_frame_is_cut_off(tmp_path, tail):
    whole = written(tmp_path / "made")
    (tmp_path / "made" / stores.NAME).write_bytes(whole + tail)
    made, found = opened(tmp_path / "made")
    assert found == flat(APPENDS) and made.torn_bytes == len(tail)
    made.close()
    assert (tmp_path / "made" / stores.NAME).read_bytes() == whole


def test_damage_at_any_byte_before_the_last_frame_is_told_and_left_as_it_is(tmp_path):
    small = [[b"promised"], [b"accepted"], [b"committed"]]
    whole = written(tmp_path / "made", small)
    last = len(written(tmp_path / "shorter", small[:-1]))
    path = tmp_path / "made" / stores.NAME
    for at in range(last):
        damaged = bytearray(whole)
        damaged[at] ^= 0x40
        path.write_bytes(damaged)
        with pytest.raises(StoreError, match=f"{path}.*(damaged at byte|belongs to|format)"):
            read(tmp_path / "made")
        assert path.read_bytes() == damaged


@pytest.mark.parametrize("left", range(0, 40))
def test_a_file_cut_within_its_head_is_told(tmp_path, left):
    whole = written(tmp_path / "made", [])
    assert len(whole) > 20
    (tmp_path / "made" / stores.NAME).write_bytes(whole[: min(left, len(whole) - 1)])
    with pytest.raises(StoreError, match="damaged at byte 0"):
        read(tmp_path / "made")


def test_another_owners_folder_is_refused(tmp_path):
    written(tmp_path / "made")
    with pytest.raises(StoreError, match="belongs to 'member m1', not to 'member m2'"):
        read(tmp_path / "made", "member m2")
    assert read(tmp_path / "made") == flat(APPENDS)


def test_a_newer_format_is_refused(tmp_path, monkeypatch):
    monkeypatch.setattr(stores, "FORMAT", 2)
    written(tmp_path / "made")
    monkeypatch.undo()
    with pytest.raises(StoreError, match=r"records: is of format 2, this version reads up to 1"):
        read(tmp_path / "made")


def test_frames_of_another_kind_are_refused(tmp_path):
    whole = written(tmp_path / "made")
    (tmp_path / "made" / stores.NAME).write_bytes(whole + stores.frame(b"\xc3"))
    with pytest.raises(StoreError, match="another kind"):
        read(tmp_path / "made")


def test_a_folder_is_open_once(tmp_path):
    made, _ = opened(tmp_path / "made")
    with pytest.raises(StoreError, match="another process has this folder"):
        read(tmp_path / "made")
    made.append([b"still"])
    made.close()
    assert read(tmp_path / "made") == [b"still"]


TRIED = [[], *([bytes([n]) * 200, b"%d" % n] for n in range(6))]


def story(folder, files, kept):
    """Open, append, write anew, append; `kept` has what an append or a rewrite returned for."""
    made = Store(folder, files, OWNER)
    try:
        made.load()
        for n in range(6):
            payload = bytes([n]) * 200
            try:
                if n == 3:
                    made.rewrite(kept)
                made.append([payload, b"%d" % n])
            except OSError:
                continue
            kept += [payload, b"%d" % n]
    except OSError:
        pass  # it could not be opened
    finally:
        made.close()


@pytest.mark.parametrize("kind", [Kind.NO_SPACE, Kind.IO_ERROR])
def test_a_failure_at_any_operation_keeps_all_that_was_told_and_nothing_else(tmp_path, kind):
    counting = Faulty()
    story(tmp_path / "counted", counting, [])
    for number in range(1, counting.count + 1):
        for operation in ("*", "append-once-short"):
            faults = [Fault(kind, number=number)]
            if operation != "*":
                # Half of it is written, then the disk is full.
                faults = [
                    Fault(Kind.SHORT, "append", number=number),
                    Fault(kind, "append", number=number + 1),
                ]
            kept = []
            folder = tmp_path / f"{kind.name}{number}{operation == '*'}"
            story(folder, Faulty(lambda faults=faults: faults), kept)
            assert read(folder) == kept, (number, operation, counting.operations[number - 1])


@pytest.mark.parametrize("kind", [Kind.NO_SPACE, Kind.IO_ERROR])
def test_from_any_operation_on_everything_fails_then_works_again(tmp_path, kind):
    counting = Faulty()
    story(tmp_path / "counted", counting, [])
    for number in range(1, counting.count + 1):
        files = Faulty()
        files.faults = lambda files=files, number=number: (
            [Fault(kind)] if number <= files.count < number + 7 else []
        )
        kept = []
        folder = tmp_path / f"{kind.name}{number}"
        story(folder, files, kept)
        found = read(folder)
        assert found[: len(kept)] == kept, (number, counting.operations[number - 1])
        # Where it fails until the end, the last that was refused may stand there, but only whole.
        assert found[len(kept) :] in TRIED if files.count < number + 7 else found == kept, number


def test_a_new_file_whose_name_is_not_synced_holds_and_is_synced_before_the_next_write(tmp_path):
    faults = []
    files = Faulty(lambda: faults)
    made, _ = opened(tmp_path / "made", files)
    made.append([b"old"])
    faults.append(Fault(Kind.IO_ERROR, "sync", "made"))
    made.rewrite([b"new"])
    with pytest.raises(OSError, match="Input/output"):
        made.append([b"refused"])
    faults.clear()
    files.operations.clear()
    made.append([b"next"])
    assert [name for _, operation, name in files.operations if operation == "sync"] == ["made", stores.NAME]
    made.close()
    assert read(tmp_path / "made") == [b"new", b"next"]


class KilledError(Exception):
    """Stands for the process that is gone."""


def kill():
    raise KilledError


@pytest.mark.parametrize("kind", [Kind.DIE, Kind.DIE_TORN])
def test_an_end_at_any_operation_keeps_all_that_was_told(tmp_path, kind):
    counting = Faulty()
    story(tmp_path / "counted", counting, [])
    for number in range(1, counting.count + 1):
        kept = []
        folder = tmp_path / f"{kind.name}{number}"
        with pytest.raises(KilledError):
            story(folder, Faulty(lambda number=number: [Fault(kind, number=number)], kill), kept)
        found = read(folder)
        assert found[: len(kept)] == kept, (number, counting.operations[number - 1])
        # What was under way may be there, too, but only whole.
        assert found[len(kept) :] in TRIED


def test_a_full_disk_leaves_the_file_as_it_was_and_room_lets_it_go_on(tmp_path):
    faults = []
    files = Faulty(lambda: faults)
    made, _ = opened(tmp_path / "made", files)
    made.append([b"first"])
    before = (tmp_path / "made" / stores.NAME).read_bytes()
    faults += [Fault(Kind.SHORT, "append", number=files.count + 1), Fault(Kind.NO_SPACE, "append")]
    for _ in range(3):
        with pytest.raises(OSError, match="No space left"):
            made.append([b"x" * 1000])
        assert (tmp_path / "made" / stores.NAME).read_bytes() == before
    faults.clear()
    made.append([b"second"])
    made.close()
    assert read(tmp_path / "made") == [b"first", b"second"]


def test_what_cannot_be_cut_off_at_once_is_cut_off_before_the_next_write(tmp_path):
    faults = []
    files = Faulty(lambda: faults)
    made, _ = opened(tmp_path / "made", files)
    faults += [
        Fault(Kind.SHORT, "append", number=files.count + 1),
        Fault(Kind.IO_ERROR, "append", number=files.count + 2),
        Fault(Kind.IO_ERROR, "truncate"),
    ]
    for _ in range(2):
        with pytest.raises(OSError, match="Input/output"):
            made.append([b"x" * 1000])
    assert (tmp_path / "made" / stores.NAME).stat().st_size > made.size
    faults.clear()
    made.append([b"next"])
    made.close()
    assert read(tmp_path / "made") == [b"next"]


def test_a_write_is_synced_before_it_counts(tmp_path):
    files = Faulty()
    made, _ = opened(tmp_path / "made", files)
    files.operations.clear()
    made.append([b"x"])
    assert [operation for _, operation, _ in files.operations] == ["append", "sync"]
    files.operations.clear()
    made.rewrite([b"x"])
    operations = [operation for _, operation, _ in files.operations]
    assert (
        operations.index("sync")
        < operations.index("replace")
        < len(operations) - 1 - operations[::-1].index("sync")
    )
    made.close()


def test_the_file_is_worth_writing_anew_once_most_of_it_is_over(tmp_path):
    made, _ = opened(tmp_path / "made")
    while not made.worth_rewriting(20_000):
        made.append([b"x" * 20_000])
    assert made.size > 2 * 20_000 + stores.SLACK
    made.rewrite([b"x" * 20_000])
    assert not made.worth_rewriting(20_000) and made.size < 21_000
    made.close()
    assert read(tmp_path / "made") == [b"x" * 20_000]


def test_a_large_document_is_written_in_pieces(tmp_path):
    files = Faulty()
    made, _ = opened(tmp_path / "made", files)
    payloads = [bytes([n % 251]) * 100_000 for n in range(40)]
    files.operations.clear()
    made.rewrite(iter(payloads))
    assert 4 <= sum(operation == "append" for _, operation, _ in files.operations) <= 6
    made.close()
    assert read(tmp_path / "made") == payloads
