"""The body store with files: steps, reclaiming, recovery, a failing disk, a process that dies."""

import json
import os
import shutil
import subprocess
import sys
import threading
import unittest
import zlib
from datetime import timedelta
from unittest import mock

import pytest
from body_store_rig import Rig, body_of
from harness import ROOT, until
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from willownotch.bodies.plan import Admission, Step, Verdict
from willownotch.bodies.store import BodyLostError
from willownotch.files.faulty import Fault, Faulty, Kind
from willownotch.interface import Outcome
from willownotch.journal.records import AcceptedMessage, MessageEnded, NoticeAnswered
from willownotch.net.pending import PendingReply

LONG = bool(os.environ.get("WILLOWNOTCH_LONG"))
NO_SPACE = Fault(Kind.NO_SPACE, "append", "bodies-*")


class Case(unittest.TestCase):
    def rig(self, **more):
        self.faults = []
        self.files = Faulty(lambda: self.faults)
        rig = Rig(self.files, **more)
        self.addCleanup(shutil.rmtree, rig.folder)
        self.addCleanup(rig.journal.close)
        return rig

    def check_accounting(self, rig):
        """The accounted bytes are those of the files, and the usage is that of the live bodies."""
        space = rig.bodies.space
        self.assertEqual(
            space.bodies, sum(-(-file.stat().st_size // 512) * 512 for file in rig.folder.glob("bod*"))
        )
        self.assertLessEqual(rig.on_disk(), rig.disk)
        live = [e.message.place for e in rig.journal.live.values() if e.message.place]
        self.assertEqual(rig.bodies.usage.total, sum(place.size for place in live))


class Steps(Case):
    def test_memory_then_files_then_one_try_and_back(self):
        rig = self.rig(disk=300_000)
        steps = set()
        for n in range(40):
            found = rig.hand_in(f"s{n}", 9000, destination=n)
            steps.add(rig.bodies.steps.current)
            if isinstance(found, Admission):
                break
            self.assertLessEqual(rig.bodies.usage.memory, 50_000)
        self.assertEqual(steps, {Step.MEMORY, Step.FILES, Step.UNKEPT})
        unkept = [e.message.ref for e in rig.journal.live.values() if e.message.unkept]
        self.assertIn("no memory for one try", found.reason)
        for ref, entry in rig.journal.live.items():  # each body is its own, wherever it is stored
            self.assertEqual(rig.read(ref), body_of(ref, 9000), entry)
        for ref in list(rig.journal.live):
            rig.end(ref)
        self.assertEqual((rig.bodies.steps.current, rig.bodies.usage.memory), (Step.MEMORY, 0))
        self.assertEqual(
            [line.split(":")[1].strip() for line in rig.log.lines if "step" in line],
            ["step files", "step unkept", "step files", "step memory"],
        )
        rig.work()
        self.check_accounting(rig)
        self.assertEqual((rig.segments(), bool(unkept)), ([], True))

    def test_small_bodies_are_stored_in_journal_records_until_memory_is_used_up(self):
        rig = self.rig()
        self.assertIsNone(rig.hand_in("a", 2000).place)
        rig.hand_in("b", 49_000)
        self.assertIsNotNone(rig.hand_in("c", 2000).place)
        self.assertIsNone(rig.hand_in("d", 200).place)

    def test_the_body_needed_last_leaves_memory_first(self):
        rig = self.rig()
        for n in range(5):
            rig.hand_in(f"failing{n}", 10_000, destination=1)
        rig.bodies.observe(1, Outcome.TIMED_OUT)
        rig.clock.at += timedelta(seconds=3)
        for n in range(2):
            rig.hand_in(f"quick{n}", 10_000, destination=2)
        cached_places = {place for place in rig.bodies._cache}
        cached = [ref for ref, e in rig.journal.live.items() if e.message.place in cached_places]
        self.assertEqual(cached, ["failing0", "failing1", "failing2", "quick0", "quick1"])

    def test_a_more_valuable_class_asks_others_to_make_room(self):
        rig = self.rig(destination_share=1.0)
        n = 0
        while not rig.bodies.steps.disk_full:
            rig.hand_in(f"s{n}", 9000, destination=n % 3)
            n += 1
        found = rig.hand_in("fee", 9000, "fee", destination=9)
        self.assertEqual(found.verdict, Verdict.DROP_FIRST)
        rig.end("s0", "handed_back")
        message = AcceptedMessage("fee", 9, "fee", "acme", rig.clock.now(), body=body_of("fee", 9000))
        self.assertIsNotNone(rig.bodies.keep(message, timedelta(seconds=1), last=True).place)

    def test_a_second_hand_in_of_an_id_does_not_replace_the_first_body(self):
        """If the cache were keyed by id, a relay of the first hand-in would send the body of the second."""
        rig = self.rig()
        rig.hand_in("a", 9000)
        second = AcceptedMessage("a", 7, "status", "acme", rig.clock.now(), body=b"x" * 8000)
        kept = rig.bodies.keep(second, timedelta(seconds=1))
        self.assertEqual(rig.read("a"), body_of("a", 9000))
        rig.bodies.discard(kept)
        self.assertEqual(rig.read("a"), body_of("a", 9000))
        self.check_accounting(rig)


class Reclaim(Case):
    def test_segments_that_are_mostly_dead_are_reclaimed(self):
        rig = self.rig()
        for n in range(20):
            rig.hand_in(f"m{n}", 4000, destination=n)
        before = rig.bodies.space.bodies
        for n in range(20):
            if n % 4:
                rig.end(f"m{n}")
        rig.work()
        self.check_accounting(rig)
        self.assertGreater(rig.bodies.moves, 0)
        self.assertLess(rig.bodies.space.bodies, before / 2)
        live = [f"m{n}" for n in range(0, 20, 4)]
        self.assertEqual([rig.read(ref) for ref in live], [body_of(ref, 4000) for ref in live])
        rig.restart()
        self.assertEqual([rig.read(ref) for ref in live], [body_of(ref, 4000) for ref in live])

    def test_dead_bytes_are_reclaimed_when_room_is_needed(self):
        """One live body in each file kept the space of all the dead ones in it from being freed."""
        rig = self.rig(reclaim=1.0, destination_share=1.0)
        accepted = []
        while isinstance(found := rig.hand_in(f"m{len(accepted)}", 4000, "order"), AcceptedMessage):
            accepted.append(found.ref)
        for n, ref in enumerate(accepted):
            if n % 4:
                rig.end(ref)
        for n in range(len(accepted) // 2):
            self.assertIsInstance(rig.hand_in(f"n{n}", 4000, "order"), AcceptedMessage, n)
        self.assertGreater(rig.bodies.moves, 0)
        rig.restart()  # from the files alone
        for ref in rig.journal.live:
            self.assertEqual(rig.read(ref), body_of(ref, 4000))
        self.check_accounting(rig)

    def test_a_body_that_moves_while_it_is_read_is_found(self):
        rig = self.rig()
        rig.hand_in("a", 4000)
        old = rig.journal.live["a"].message
        rig.bodies._uncache(old.place, 7)
        for n in range(3):
            rig.hand_in(f"m{n}", 4000)
        rig.hand_in("next", 4000)
        for n in range(3):
            rig.end(f"m{n}")
        rig.work()
        self.assertNotEqual(rig.journal.live["a"].message.place, old.place)
        self.assertEqual(rig.bodies.read(old), body_of("a", 4000))  # a relay may have the old place

    def test_a_damaged_body_is_reported_and_not_copied(self):
        rig = self.rig()
        lost = []
        rig.bodies.lost = lost.append
        for n in range(4):
            rig.hand_in(f"m{n}", 4000)
        rig.hand_in("next", 4000)
        corrupt(rig, "m0")
        for n in range(1, 4):
            rig.end(f"m{n}")
        rig.work()
        self.assertEqual(lost, ["m0"])


def corrupt(rig, ref):
    """Change one byte of a body on disk."""
    place = rig.journal.live[ref].message.place
    rig.bodies._uncache(place, 7)
    with (rig.folder / f"bodies-{place.segment}").open("r+b") as file:
        file.seek(place.offset + place.size // 2)
        file.write(b"\x00")


class Recovery(Case):
    def test_a_start_reads_the_index_and_no_body(self):
        rig = self.rig()
        for n in range(10):
            rig.hand_in(f"m{n}", 6000)
        self.files.operations.clear()
        rig.restart()
        touched = {op for _, op, name in self.files.operations if name.startswith("bodies-")}
        self.assertEqual(touched, {"size"})
        self.assertEqual((rig.lost, len(rig.journal.live)), ([], 10))
        self.assertEqual(rig.read("m3"), body_of("m3", 6000))

    def test_a_truncated_segment_a_missing_file_and_a_damaged_body(self):
        rig = self.rig()
        for n in range(8):
            rig.hand_in(f"m{n}", 5000)  # three in each file
        corrupt(rig, "m7")
        first, second, _ = rig.segments()
        (rig.folder / first).unlink()
        with (rig.folder / second).open("r+b") as file:
            file.truncate(7000)
        rig.restart()
        self.assertEqual(rig.lost, ["m0", "m1", "m2", "m4", "m5"])
        self.assertEqual(rig.read("m3"), body_of("m3", 5000))
        with self.assertRaises(BodyLostError):
            rig.read("m7")
        for ref in [*rig.lost, "m7"]:
            rig.end(ref, "given_up")
            rig.journal.append([NoticeAnswered(ref)])
        rig.work()
        self.check_accounting(rig)

    def test_files_that_no_record_names_are_removed(self):
        rig = self.rig()
        (rig.folder / "bodies-77").write_bytes(b"x" * 5000)
        (rig.folder / "body-1-1").write_bytes(b"x")
        rig.restart()
        self.assertEqual([f.name for f in rig.folder.iterdir()], ["journal"])
        self.check_accounting(rig)
        self.assertEqual(rig.hand_in("a", 5000).place.segment, 78)  # no number is used twice

    def test_bodies_of_earlier_versions_are_read_and_removed(self):
        rig = self.rig()
        body = body_of("old", 5000)
        (rig.folder / "body-9-1").write_bytes(body)
        rig.journal.append(
            [
                AcceptedMessage(
                    "old",
                    7,
                    "fee",
                    "acme",
                    rig.clock.now(),
                    legacy_file="body-9-1",
                    checksum=zlib.crc32(body),
                )
            ]
        )
        rig.restart()
        self.assertEqual(rig.read("old"), body)
        rig.end("old")
        self.assertEqual([f.name for f in rig.folder.iterdir()], ["journal"])
        self.check_accounting(rig)

    def test_a_body_that_was_not_stored_is_marked_after_a_restart(self):
        rig = self.rig()
        body = b"x" * 9000
        rig.journal.append(
            [AcceptedMessage("u", 7, "status", "acme", rig.clock.now(), body=body, unkept=True)]
        )
        rig.restart()
        self.assertEqual(
            (rig.journal.live["u"].message.unkept, rig.journal.live["u"].message.body), (True, b"")
        )


class Failures(Case):
    def test_a_full_disk_during_a_burst_and_free_space_later(self):
        rig = self.rig()
        rig.hand_in("before", 9000)
        self.faults = [NO_SPACE]
        found = [rig.hand_in("fee", 9000, "fee"), rig.hand_in("order", 9000, "order")]
        self.assertEqual([f.verdict for f in found], [Verdict.REFUSE] * 2)
        self.assertTrue(rig.hand_in("status", 9000).unkept)
        tried = [name for _, op, name in self.files.operations if op == "append" and name.startswith("bod")]
        self.assertEqual(len(tried), 2)  # the disk is not tried again at once
        self.check_accounting(rig)
        self.faults = []
        rig.clock.at += timedelta(seconds=1)
        self.assertIsNotNone(rig.hand_in("after", 9000, "fee").place)
        self.assertEqual(
            (rig.bodies.steps.current, rig.read("before")), (Step.MEMORY, body_of("before", 9000))
        )
        self.check_accounting(rig)

    def test_a_short_write_is_continued_and_a_failed_one_leaves_nothing(self):
        rig = self.rig()
        self.faults = [Fault(Kind.SHORT, "append", "bodies-*")]
        rig.hand_in("a", 9000)
        self.assertEqual(rig.bodies._read_at(rig.journal.live["a"].message.place), body_of("a", 9000))
        self.faults = [
            Fault(Kind.SHORT, "append", "bodies-*", self.files.count + 1),
            Fault(Kind.IO_ERROR, "append", "bodies-*", self.files.count + 2),
        ]
        self.assertIsInstance(rig.hand_in("b", 5000, "fee"), Admission)
        self.check_accounting(rig)

    def test_a_file_that_cannot_be_truncated_takes_nothing_more(self):
        rig = self.rig()
        rig.hand_in("a", 5000)
        self.faults = [
            Fault(Kind.SHORT, "append", "bodies-*", self.files.count + 1),
            Fault(Kind.IO_ERROR, "append", "bodies-*", self.files.count + 2),
            Fault(Kind.IO_ERROR, "truncate"),
        ]
        self.assertIsInstance(rig.hand_in("b", 5000, "fee"), Admission)
        self.faults = []
        rig.clock.at += timedelta(seconds=1)
        place = rig.hand_in("c", 5000, "fee").place
        self.assertNotEqual(place.segment, rig.journal.live["a"].message.place.segment)
        self.check_accounting(rig)
        for ref in ("a", "c"):
            rig.end(ref)
        rig.work()
        self.check_accounting(rig)

    def test_a_disk_that_cannot_be_read_for_a_while_loses_nothing(self):
        rig = self.rig(memory=0)
        rig.hand_in("a", 9000)
        self.faults = [Fault(Kind.IO_ERROR, "read_at")]
        with self.assertRaises(OSError):
            rig.read("a")
        self.faults = []
        self.assertEqual(rig.read("a"), body_of("a", 9000))

    def test_a_failed_journal_write_leaves_whole_records_only(self):
        rig = self.rig()
        rig.hand_in("a", 100)
        for kind in (Kind.SHORT, Kind.NO_SPACE, Kind.IO_ERROR):
            for truncate in ([], [Fault(Kind.IO_ERROR, "truncate")]):
                self.faults = [Fault(kind, "append", "journal"), *truncate]
                with self.assertRaises(OSError):
                    rig.hand_in("b", 100)
                self.faults = []
                rig.hand_in("c", 100)
                rig.end("c")
                rig.restart()
                self.assertEqual((list(rig.journal.live), rig.journal.faults), (["a"], []))

    def test_a_hand_in_waits_for_the_disk_no_longer_than_its_patience(self):
        rig = self.rig(write_patience=timedelta(milliseconds=90))
        for patience, max_wait in [(200, 90), (40, 40)]:
            with mock.patch.object(PendingReply, "wait", autospec=True, return_value=None) as wait:
                message = AcceptedMessage("a", 7, "fee", "acme", rig.clock.now(), body=b"x" * 9000)
                rig.bodies.keep(message, timedelta(milliseconds=patience))
            self.assertEqual(wait.call_args[0][1], timedelta(milliseconds=max_wait))

    def test_a_stalled_disk_blocks_only_the_stores_thread(self):
        """Clients are answered in time, and the decision loop's calls return at once."""
        self.faults = []
        files = Faulty(lambda: self.faults)
        rig = Rig(files, thread=lambda run: threading.Thread(target=run, daemon=True).start())
        self.addCleanup(shutil.rmtree, rig.folder, True)
        rig.hand_in("a", 9000)
        self.faults = [Fault(Kind.STALL, "append", "bodies-*"), Fault(Kind.STALL, "remove", "bodies-*")]
        found = rig.hand_in("b", 9000, "fee")  # returns although the write does not
        self.assertIn("in time", found.reason)
        rig.end("a")
        rig.hand_in("small", 100)
        rig.bodies.expected_wait_s(7)
        self.assertEqual(list(rig.journal.live), ["small"])
        self.faults = []
        until(lambda: rig.bodies.usage.total == 0)
        until(lambda: not rig.segments())
        self.check_accounting(rig)


class Machine(RuleBasedStateMachine):
    """In any order of hand-ins, ends, reads, faults and restarts no body is lost or mixed up."""

    def __init__(self):
        super().__init__()
        self.faults = []
        self.rig = Rig(Faulty(lambda: self.faults), disk=150_000, memory=20_000, destination_share=1.0)
        self.live, self.count = {}, 0

    def teardown(self):
        self.rig.journal.close()
        shutil.rmtree(self.rig.folder)

    @rule(size=st.integers(0, 9000), cls=st.sampled_from(["status", "order", "fee"]), dest=st.integers(1, 3))
    def hand_in(self, size, cls, dest):
        self.count += 1
        ref = f"m{self.count}"
        try:
            found = self.rig.hand_in(ref, size, cls, dest)
        except (OSError, RuntimeError):
            return  # no 202
        if isinstance(found, AcceptedMessage):
            self.live[ref] = (body_of(ref, size), found.unkept)

    @precondition(lambda self: self.live)
    @rule(pick=st.integers(0, 99), outcome=st.sampled_from(["delivered", "given_up"]))
    def end(self, pick, outcome):
        ref = list(self.live)[pick % len(self.live)]
        try:
            self.rig.journal.append([MessageEnded(ref, outcome), NoticeAnswered(ref)])
        except (OSError, RuntimeError):
            return  # the decision loop tries it again
        del self.live[ref]

    @rule()
    def work(self):
        self.rig.work()
        self.rig.clock.at += timedelta(seconds=1)

    @rule(
        fault=st.sampled_from(
            [
                NO_SPACE,
                Fault(Kind.NO_SPACE, "append"),
                Fault(Kind.SHORT, "append", "journal"),
                Fault(Kind.IO_ERROR, "remove"),
                Fault(Kind.NO_SPACE, "create"),
                Fault(Kind.SHORT, "append", "bodies-*"),
            ]
        )
    )
    def fail(self, fault):
        self.faults = [fault]

    @rule()
    def clear_faults(self):
        self.faults = []

    @rule()
    def restart(self):
        self.faults = []
        self.rig.restart()
        assert self.rig.lost == []
        for ref in [r for r, (_, unkept) in self.live.items() if unkept]:
            assert self.rig.journal.live[ref].message.unkept
            self.rig.journal.append([MessageEnded(ref, "handed_back"), NoticeAnswered(ref)])
            del self.live[ref]

    @invariant()
    def all_bodies_are_stored(self):
        faults, self.faults = self.faults, []
        assert list(self.rig.journal.live) == list(self.live)
        for ref, (body, _) in self.live.items():
            assert self.rig.read(ref) == body
        assert self.rig.on_disk() <= self.rig.disk
        assert self.rig.bodies.usage.memory <= 20_000 + sum(
            len(e.message.body) for e in self.rig.journal.live.values() if not e.message.unkept
        )
        self.faults = faults


Machine.TestCase.settings = settings(
    max_examples=600 if LONG else 60,
    stateful_step_count=50,
    deadline=None,
    derandomize=not LONG,
    suppress_health_check=list(HealthCheck),
)
TestMachine = Machine.TestCase


@pytest.mark.parametrize("mode", ["die", "die-torn"])
def test_death_at_any_file_operation_loses_no_accepted_message(mode):
    """Spills, reads, reclaiming and recovery are interrupted; the next process opens the folder."""
    done = subprocess.run(
        [sys.executable, "tests/body_store_crashes.py", mode, "1"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=500,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    report = json.loads(done.stdout)
    assert report["broken"] == []
    assert report["deaths"] == report["operations"] > 100
