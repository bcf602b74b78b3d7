"""The folder of the control plane: torn tails at each byte, failures at each operation, owners, formats."""

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


def open_store(folder, files=REAL, owner=OWNER):
    store = Store(folder, files, owner)
    return store, store.load()


def read_payloads(folder, owner=OWNER):
    store, payloads = open_store(folder, owner=owner)
    store.close()
    return payloads


def write_store(folder, appends=APPENDS):
    store, _ = open_store(folder)
    for payloads in appends:
        store.append(payloads)
    store.close()
    return (folder / stores.NAME).read_bytes()


def flat(appends):
    return list(itertools.chain(*appends))


@given(
    appends=st.lists(st.lists(st.binary(max_size=2000), max_size=4), max_size=6), rewritten=st.integers(0, 6)
)
def test_appended_payloads_are_read_in_order(tmp_path_factory, appends, rewritten):
    folder = tmp_path_factory.mktemp("any") / "made"
    store, found = open_store(folder)
    assert found == []
    for n, payloads in enumerate(appends):
        if n == rewritten:
            store.rewrite(flat(appends[:n]))
        store.append(payloads)
    assert store.size == (folder / stores.NAME).stat().st_size
    store.close()
    assert read_payloads(folder) == flat(appends)


def test_a_tail_torn_at_any_byte_is_truncated_and_appends_continue(tmp_path):
    whole = write_store(tmp_path / "made")
    last = len(write_store(tmp_path / "shorter", APPENDS[:-1]))
    for at in range(last, len(whole)):
        folder = tmp_path / f"torn{at}"
        folder.mkdir()
        (folder / stores.NAME).write_bytes(whole[:at])
        store, found = open_store(folder)
        assert found == flat(APPENDS[:-1])
        assert store.torn_bytes == at - last and store.size == last
        store.append([b"next"])
        store.close()
        assert read_payloads(folder) == [*flat(APPENDS[:-1]), b"next"]


@pytest.mark.parametrize("tail", [b"\0" * 600, b"wnP1", b"wnP1" * 9, b"\xff" * 12])
def test_a_tail_that_is_not_a_frame_is_truncated(tmp_path, tail):
    whole = write_store(tmp_path / "made")
    (tmp_path / "made" / stores.NAME).write_bytes(whole + tail)
    store, found = open_store(tmp_path / "made")
    assert found == flat(APPENDS) and store.torn_bytes == len(tail)
    store.close()
    assert (tmp_path / "made" / stores.NAME).read_bytes() == whole


def test_damage_at_any_byte_before_the_last_frame_is_reported_and_left_unchanged(tmp_path):
    small = [[b"promised"], [b"accepted"], [b"committed"]]
    whole = write_store(tmp_path / "made", small)
    last = len(write_store(tmp_path / "shorter", small[:-1]))
    path = tmp_path / "made" / stores.NAME
    for at in range(last):
        damaged = bytearray(whole)
        damaged[at] ^= 0x40
        path.write_bytes(damaged)
        with pytest.raises(StoreError, match=f"{path}.*(damaged at byte|belongs to|format)"):
            read_payloads(tmp_path / "made")
        assert path.read_bytes() == damaged


@pytest.mark.parametrize("left", range(0, 40))
def test_a_file_truncated_within_its_header_is_reported(tmp_path, left):
    whole = write_store(tmp_path / "made", [])
    assert len(whole) > 20
    (tmp_path / "made" / stores.NAME).write_bytes(whole[: min(left, len(whole) - 1)])
    with pytest.raises(StoreError, match="damaged at byte 0"):
        read_payloads(tmp_path / "made")


def test_another_owners_folder_is_refused(tmp_path):
    write_store(tmp_path / "made")
    with pytest.raises(StoreError, match="belongs to 'member m1', not to 'member m2'"):
        read_payloads(tmp_path / "made", "member m2")
    assert read_payloads(tmp_path / "made") == flat(APPENDS)


def test_a_newer_format_is_refused(tmp_path, monkeypatch):
    monkeypatch.setattr(stores, "FORMAT", 2)
    write_store(tmp_path / "made")
    monkeypatch.undo()
    with pytest.raises(StoreError, match=r"records: is of format 2, this version reads up to 1"):
        read_payloads(tmp_path / "made")


def test_frames_of_another_kind_are_refused(tmp_path):
    whole = write_store(tmp_path / "made")
    (tmp_path / "made" / stores.NAME).write_bytes(whole + stores.frame(b"\xc3"))
    with pytest.raises(StoreError, match="another kind"):
        read_payloads(tmp_path / "made")


def test_a_folder_cannot_be_opened_twice(tmp_path):
    store, _ = open_store(tmp_path / "made")
    with pytest.raises(StoreError, match="another process has this folder"):
        read_payloads(tmp_path / "made")
    store.append([b"still"])
    store.close()
    assert read_payloads(tmp_path / "made") == [b"still"]


POSSIBLE_TAILS = [[], *([bytes([n]) * 200, b"%d" % n] for n in range(6))]


def run_operations(folder, files, acknowledged):
    """Open, append, rewrite, append; `acknowledged` gets the payloads of each append that succeeded."""
    store = Store(folder, files, OWNER)
    try:
        store.load()
        for n in range(6):
            payload = bytes([n]) * 200
            try:
                if n == 3:
                    store.rewrite(acknowledged)
                store.append([payload, b"%d" % n])
            except OSError:
                continue
            acknowledged += [payload, b"%d" % n]
    except OSError:
        pass  # the folder could not be opened
    finally:
        store.close()


@pytest.mark.parametrize("kind", [Kind.NO_SPACE, Kind.IO_ERROR])
def test_a_failure_at_any_operation_keeps_exactly_the_acknowledged_payloads(tmp_path, kind):
    recording = Faulty()
    run_operations(tmp_path / "counted", recording, [])
    for number in range(1, recording.count + 1):
        for operation in ("*", "append-once-short"):
            faults = [Fault(kind, number=number)]
            if operation != "*":
                # Half of the data is written, then the disk is full.
                faults = [
                    Fault(Kind.SHORT, "append", number=number),
                    Fault(kind, "append", number=number + 1),
                ]
            acknowledged = []
            folder = tmp_path / f"{kind.name}{number}{operation == '*'}"
            run_operations(folder, Faulty(lambda faults=faults: faults), acknowledged)
            assert read_payloads(folder) == acknowledged, (
                number,
                operation,
                recording.operations[number - 1],
            )


@pytest.mark.parametrize("kind", [Kind.NO_SPACE, Kind.IO_ERROR])
def test_a_period_of_failures_that_starts_at_any_operation_loses_nothing(tmp_path, kind):
    recording = Faulty()
    run_operations(tmp_path / "counted", recording, [])
    for number in range(1, recording.count + 1):
        files = Faulty()
        files.faults = lambda files=files, number=number: (
            [Fault(kind)] if number <= files.count < number + 7 else []
        )
        acknowledged = []
        folder = tmp_path / f"{kind.name}{number}"
        run_operations(folder, files, acknowledged)
        found = read_payloads(folder)
        assert found[: len(acknowledged)] == acknowledged, (number, recording.operations[number - 1])
        # If it fails until the end, the last failed append may be in the file, but only as a whole.
        assert (
            found[len(acknowledged) :] in POSSIBLE_TAILS
            if files.count < number + 7
            else found == acknowledged
        ), number


def test_a_new_file_whose_folder_is_not_synced_is_used_and_the_folder_is_synced_before_the_next_write(
    tmp_path,
):
    faults = []
    files = Faulty(lambda: faults)
    store, _ = open_store(tmp_path / "made", files)
    store.append([b"old"])
    faults.append(Fault(Kind.IO_ERROR, "sync", "made"))
    store.rewrite([b"new"])
    with pytest.raises(OSError, match="Input/output"):
        store.append([b"refused"])
    faults.clear()
    files.operations.clear()
    store.append([b"next"])
    assert [name for _, operation, name in files.operations if operation == "sync"] == ["made", stores.NAME]
    store.close()
    assert read_payloads(tmp_path / "made") == [b"new", b"next"]


class KilledError(Exception):
    """Simulates the end of the process."""


def kill():
    raise KilledError


@pytest.mark.parametrize("kind", [Kind.DIE, Kind.DIE_TORN])
def test_a_crash_at_any_operation_keeps_all_acknowledged_payloads(tmp_path, kind):
    recording = Faulty()
    run_operations(tmp_path / "counted", recording, [])
    for number in range(1, recording.count + 1):
        acknowledged = []
        folder = tmp_path / f"{kind.name}{number}"
        with pytest.raises(KilledError):
            run_operations(
                folder, Faulty(lambda number=number: [Fault(kind, number=number)], kill), acknowledged
            )
        found = read_payloads(folder)
        assert found[: len(acknowledged)] == acknowledged, (number, recording.operations[number - 1])
        # The append in progress may be in the file, too, but only as a whole.
        assert found[len(acknowledged) :] in POSSIBLE_TAILS


def test_a_full_disk_leaves_the_file_unchanged_and_appends_work_once_it_has_space(tmp_path):
    faults = []
    files = Faulty(lambda: faults)
    store, _ = open_store(tmp_path / "made", files)
    store.append([b"first"])
    before = (tmp_path / "made" / stores.NAME).read_bytes()
    faults += [Fault(Kind.SHORT, "append", number=files.count + 1), Fault(Kind.NO_SPACE, "append")]
    for _ in range(3):
        with pytest.raises(OSError, match="No space left"):
            store.append([b"x" * 1000])
        assert (tmp_path / "made" / stores.NAME).read_bytes() == before
    faults.clear()
    store.append([b"second"])
    store.close()
    assert read_payloads(tmp_path / "made") == [b"first", b"second"]


def test_a_torn_write_that_cannot_be_truncated_at_once_is_truncated_before_the_next_one(tmp_path):
    faults = []
    files = Faulty(lambda: faults)
    store, _ = open_store(tmp_path / "made", files)
    faults += [
        Fault(Kind.SHORT, "append", number=files.count + 1),
        Fault(Kind.IO_ERROR, "append", number=files.count + 2),
        Fault(Kind.IO_ERROR, "truncate"),
    ]
    for _ in range(2):
        with pytest.raises(OSError, match="Input/output"):
            store.append([b"x" * 1000])
    assert (tmp_path / "made" / stores.NAME).stat().st_size > store.size
    faults.clear()
    store.append([b"next"])
    store.close()
    assert read_payloads(tmp_path / "made") == [b"next"]


def test_a_write_is_synced_before_it_returns(tmp_path):
    files = Faulty()
    store, _ = open_store(tmp_path / "made", files)
    files.operations.clear()
    store.append([b"x"])
    assert [operation for _, operation, _ in files.operations] == ["append", "sync"]
    files.operations.clear()
    store.rewrite([b"x"])
    operations = [operation for _, operation, _ in files.operations]
    assert (
        operations.index("sync")
        < operations.index("replace")
        < len(operations) - 1 - operations[::-1].index("sync")
    )
    store.close()


def test_the_file_is_worth_rewriting_once_most_of_it_is_obsolete(tmp_path):
    store, _ = open_store(tmp_path / "made")
    while not store.worth_rewriting(20_000):
        store.append([b"x" * 20_000])
    assert store.size > 2 * 20_000 + stores.REWRITE_SLACK_BYTES
    store.rewrite([b"x" * 20_000])
    assert not store.worth_rewriting(20_000) and store.size < 21_000
    store.close()
    assert read_payloads(tmp_path / "made") == [b"x" * 20_000]


def test_a_large_rewrite_uses_several_frames(tmp_path):
    files = Faulty()
    store, _ = open_store(tmp_path / "made", files)
    payloads = [bytes([n % 251]) * 100_000 for n in range(40)]
    files.operations.clear()
    store.rewrite(iter(payloads))
    assert 4 <= sum(operation == "append" for _, operation, _ in files.operations) <= 6
    store.close()
    assert read_payloads(tmp_path / "made") == payloads
