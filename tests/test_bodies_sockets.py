"""Bodies in files with a real sender: deliveries and notices with a full, slow or damaged disk."""

import json
import os
import re
import subprocess
import sys

import pytest
from harness import PATIENCE, ROOT, Host, Sender, until
from test_net_sockets import Case

LONG = bool(os.environ.get("WILLOWNOTCH_LONG"))
FILES_ONLY = (
    "bodies {\n memory 0MB\n inline 0KB\n inline-low 0KB\n segment 20KB\n" " destination-share 100%\n}\n"
)
ONE_TRY = """bodies {
    inline 0KB
    inline-low 0KB
    destination-share 1%
    class status { AT }
}
"""


class Files(Case):
    def setUp(self):
        super().setUp()
        self.other = Host()
        self.addCleanup(self.other.close)
        self.discovery.entries.append(self.discovery.entry(1, self.other, group=8))

    def delivered(self, host, ref):
        until(lambda: ref in host.refs())

    def body(self, host, ref):
        return next(body for _, head, body in host.calls if head.headers["request-id"] == ref)


class Room(Files):
    def test_one_stopped_endpoint_does_not_use_up_the_disk_for_all(self):
        """43 droppable messages of 65,000 bytes filled the disk, and even a fee of 200 bytes was rejected."""
        text = json.loads((ROOT / "examples" / "config.json").read_text(encoding="utf-8"))
        text.update(listen="127.0.0.1:0", discovery=self.discovery.address)
        for entry in self.discovery.entries:
            entry["zone"] = "walvis-main"
        self.host.held.clear()  # stopped: it accepts calls and answers none
        settings = (ROOT / "examples" / "willownotch.conf").read_text(encoding="utf-8")
        sender = Sender(text=text, settings=settings)
        self.addCleanup(sender.close)
        sender.ready()
        acme = {"tenant": "dune-carriers", "left": 15000}
        news = [sender.hand_in("slot-status", body=b"n" * 65000, **acme) for _ in range(60)]
        stored = [ref for ref, head in news if head.status == 202]
        self.assertGreater(len(stored), 15)
        for cls, dest, size in [
            ("fee-payment", 7, 200),
            ("fee-payment", 8, 200),
            ("slot-status", 8, 200),
            ("slot-order", 8, 65000),
            ("fee-payment", 8, 65000),
            ("fee-payment", 7, 65000),
            ("fee-payment", 7, 65000),
        ]:
            ref, head = sender.hand_in(cls, dest=dest, body=b"f" * size, **acme)
            self.assertEqual(head.status, 202, (cls, dest, size))
            if dest == 8:
                self.delivered(self.other, ref)
        dropped = until(lambda: [line for line in sender.lines if "makes room for fee-payment" in line])
        gone = re.search(r"dropped: (\S+) handed_back", dropped[0])[1]
        self.assertIn(gone, stored)
        self.assertEqual(self.noticed(gone)["outcome"], "handed_back")
        self.assertEqual(sender.hand_in("slot-status", dest=8, body=b"n" * 60000, **acme)[1].status, 202)

    def test_a_full_disk_during_a_burst_and_free_space_later(self):
        sender = self.sender(faults="")
        self.host.held.clear()
        first, _ = sender.hand_in("fee", body=b"o" * 9000)
        until(lambda: self.host.calls)
        burst = [sender.hand_in("order", body=b"c" * 9000) for _ in range(4)]
        sender.fail("no-space append *")
        burst += [sender.hand_in("order", body=b"c" * 9000) for _ in range(4)]
        burst += [sender.hand_in("order", body=b"c" * 90) for _ in range(4)]
        self.assertEqual([head.status for _, head in burst], [202] * 4 + [503] * 8)
        failed_writes = lambda: sum("could not be written" in line for line in sender.lines)  # noqa: E731
        before = failed_writes()
        self.host.held.set()  # the first message ends while nothing can be written
        until(lambda: failed_writes() > before)
        sender.fail("")
        accepted = [ref for ref, head in burst if head.status == 202]
        until(lambda: set(accepted) <= set(self.host.refs()))
        sender.settled()
        self.assertTrue(all(self.host.refs().count(ref) <= 1 for ref in [first, *accepted]), self.host.refs())
        until(lambda: sender.hand_in("order", body=b"c" * 9000)[1].status == 202)
        sender.restart()
        sender.settled()
        self.assertEqual(self.host.refs().count(first), 1)

    def test_at_the_last_step_a_message_gets_one_relay_and_then_a_notice(self):
        for at_limit, outcome in [("at-limit one-try", "handed_back"), ("at-limit refuse", None)]:
            settings = ONE_TRY.replace("{ AT }", f"{{\n{at_limit}\n}}")
            sender = self.sender(settings=settings, limits={"sockets": 1024, "disk_mb": 0.3})
            self.host.script.put((503, ()))
            before = len(self.host.calls)
            ref, head = sender.hand_in("status", body=b"s" * 30000)
            self.assertEqual(head.status, 202 if outcome else 503)
            if outcome:
                self.assertEqual(self.noticed(ref)["outcome"], outcome)
                self.assertEqual(len(self.host.calls) - before, 1)

    def test_a_message_without_a_stored_body_ends_by_a_notice_after_a_kill(self):
        """An unrepeatable message is given up, not handed back, and never sent twice."""
        settings = (
            "bodies {\n inline 0KB\n inline-low 0KB\n destination-share 1%\n class fee {\n"
            " at-limit one-try\n }\n}\n"
        )
        sender = self.sender(settings=settings, limits={"sockets": 1024, "disk_mb": 0.9})
        self.host.held.clear()
        fee, head = sender.hand_in("fee", body=b"f" * 30, left=15000)
        large, _ = sender.hand_in("fee", body=b"f" * 7000, left=15000)
        news, _ = sender.hand_in("status", body=b"s" * 7000, left=15000)
        until(lambda: len(self.host.calls) == 3)
        sender.process.kill()
        self.host.held.set()
        sender.restart()
        self.assertEqual(self.noticed(large)["outcome"], "given_up")
        self.assertEqual(self.noticed(news)["outcome"], "handed_back")
        self.assertEqual([self.host.refs().count(ref) for ref in (fee, large, news)], [1, 1, 1])


class Slow(Files):
    def test_a_stalled_write_does_not_block_other_messages(self):
        sender = self.sender(faults="stall append bodies-*")
        large, head = sender.hand_in("order", body=b"l" * 60000)  # answered while the write stalls
        self.assertEqual((head.status, "retry-after" in head.headers), (503, True))
        for _ in range(5):
            ref, head = sender.hand_in("order", body=b"s" * 1000)
            self.assertEqual(head.status, 202)
            self.delivered(self.host, ref)
        sender.fail("")
        until(lambda: sender.hand_in("order", body=b"l" * 60000, ref=large)[1].status == 202)
        self.delivered(self.host, large)
        sender.settled()
        until(lambda: not list(sender.state.glob("bodies-*")))

    def test_a_stalled_read_blocks_its_own_relay_only(self):
        sender = self.sender(settings=FILES_ONLY, faults="stall read_at bodies-*")
        large, head = sender.hand_in("order", body=b"l" * 60000, left=20000)
        until(lambda: any(True for _ in sender.state.glob("bodies-*")))
        self.assertEqual(head.status, 202)
        # From here on small bodies are stored in journal records and memory suffices: no other file is read.
        small = FILES_ONLY.replace("inline 0KB", "inline 2KB").replace("memory 0MB", "memory 1MB")
        sender.settings.write_text(small, encoding="utf-8")
        sender.reload({}, "the settings of")
        for dest, host in [(8, self.other), (7, self.host)]:
            ref, _ = sender.hand_in("order", dest=dest, body=b"s" * 1000)
            self.delivered(host, ref)
        self.assertNotIn(large, self.host.refs())
        sender.fail("")
        self.delivered(self.host, large)
        self.assertEqual(self.body(self.host, large), b"l" * 60000)

    def test_others_are_delivered_while_one_destination_is_silent_under_large_bodies(self):
        sender = self.sender(settings=FILES_ONLY)
        self.host.held.clear()
        silent = [sender.hand_in("order", body=b"l" * 65536, left=20000) for _ in range(20)]
        for n in range(20):
            ref, head = sender.hand_in("order", dest=8, body=bytes([n]) * 3000)
            self.assertEqual(head.status, 202)
            self.delivered(self.other, ref)
            self.assertEqual(self.body(self.other, ref), bytes([n]) * 3000)
        self.host.held.set()
        accepted = {ref for ref, head in silent if head.status == 202}
        ended = lambda: set(self.host.refs()) | {n["message"] for n in self.discovery.notices}  # noqa: E731
        until(lambda: accepted <= ended(), 3 * PATIENCE)


class Torn(Files):
    def test_a_restart_with_a_truncated_segment_and_a_missing_file(self):
        sender = self.sender(settings=FILES_ONLY, known=self.discovery.known())
        self.host.held.clear()
        first, _ = sender.hand_in("fee", key="k", body=b"0" * 8000, left=20000)
        until(lambda: self.host.calls)
        refs = [sender.hand_in("fee", key="k", body=b"%d" % n * 8000, left=20000)[0] for n in range(1, 6)]
        sender.process.kill()
        sender.process.wait(PATIENCE)
        files = sorted(sender.state.glob("bodies-*"), key=lambda file: int(file.name[7:]))
        self.assertEqual(len(files), 3)  # two bodies in each
        files[1].unlink()  # of the messages 2 and 3
        with files[2].open("r+b") as file:
            file.truncate(12000)  # half of the last one
        shown = subprocess.run(
            [sys.executable, "-m", "willownotch", "bodies", str(sender.state), "--json"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(
            (shown.returncode, json.loads(shown.stdout)["damaged"]), (1, [refs[1], refs[2], refs[4]])
        )
        self.host.held.set()
        sender.restart()
        for ref in [first, refs[1], refs[2], refs[4]]:
            self.assertEqual(self.noticed(ref)["outcome"], "given_up")
        for n in (0, 3):
            self.delivered(self.host, refs[n])
            self.assertEqual(self.body(self.host, refs[n]), b"%d" % (n + 1) * 8000)
        sender.settled()
        self.assertEqual([r for r in self.host.refs() if r != first], [refs[0], refs[3]])

    def test_a_damaged_body_ends_its_message_and_is_never_delivered(self):
        sender = self.sender(settings=FILES_ONLY)
        self.host.held.clear()
        sender.hand_in("fee", key="k", body=b"0" * 8000)
        until(lambda: self.host.calls)
        ref, _ = sender.hand_in("fee", key="k", body=b"1" * 8000)
        file = next(iter(sender.state.glob("bodies-*")))
        data = bytearray(file.read_bytes())
        data[12000] ^= 1
        file.write_bytes(data)
        self.host.held.set()
        self.assertEqual(self.noticed(ref)["outcome"], "given_up")
        after, _ = sender.hand_in("fee", key="k", body=b"2" * 8000)
        self.delivered(self.host, after)
        self.assertNotIn(ref, self.host.refs())


class Command(Files):
    def test_the_bodies_command_shows_a_folder(self):
        sender = self.sender(settings=FILES_ONLY)
        self.host.held.clear()
        for _ in range(3):
            sender.hand_in("order", body=b"o" * 3000, left=20000)
        sender.hand_in("fee", dest=8, body=b"f" * 100)
        run = [sys.executable, "-m", "willownotch", "bodies", str(sender.state)]
        shown = json.loads(subprocess.run([*run, "--json", "--verify"], cwd=ROOT, capture_output=True).stdout)
        row = shown["rows"][0]
        self.assertEqual(
            (row["message_class"], row["destination"], row["step"], row["bodies"], row["bytes"]),
            ("order", 7, "file", 3, 9000),
        )
        self.assertTrue(0 <= row["youngest_s"] <= row["oldest_s"] < 60)
        text = subprocess.run(run, cwd=ROOT, capture_output=True, text=True).stdout
        self.assertRegex(text, r"order +7 file +3 +9000 +\d")

    def test_settings_are_reloaded_completely_or_not_at_all(self):
        sender = self.sender(settings=FILES_ONLY)
        sender.settings.write_text("bodies {\n memory x\n}\n", encoding="utf-8")
        sender.reload({}, "the old settings stay")
        self.assertEqual(sender.hand_in()[1].status, 202)
        sender.settings.write_text("bodies {\n journal-share 30%\n}\n", encoding="utf-8")
        sender.reload({}, f"the settings of {sender.settings} hold now; journal-share as changed will hold")


NUMBERS = range(1, 90, 1 if LONG else 15)


@pytest.mark.parametrize("number", NUMBERS)
def test_sigkill_at_a_file_operation_under_load(number):
    """Each message that got a 202 ends once, no fee is sent twice, and each key keeps its order."""
    case = Files()
    case.setUp()
    try:
        sender = Sender(case.discovery, known=case.discovery.known(), settings=FILES_ONLY, faults="")
        case.addCleanup(sender.close)
        sender.ready()
        sender.fail(f"die * * {number + 20}")  # a start takes fewer, those of the slow start file included
        accepted, keys = [], []
        for n in range(60):
            cls, key = ("fee", f"k{n % 2}") if n % 3 else ("order", None)
            try:
                ref, head = sender.hand_in(cls, key=key, body=b"%d," % n * 1500, left=20000)
            except OSError:
                break
            if head.status == 202:
                accepted.append(ref)
                keys += [(key, ref)] if key else []
        else:
            pytest.fail("the process did not die")
        sender.process.wait(PATIENCE)
        sender.fail("")
        sender.start()
        sender.ready()
        ended = lambda: set(case.host.refs()) | {n["message"] for n in case.discovery.notices}  # noqa: E731
        until(lambda: set(accepted) <= ended(), 3 * PATIENCE)
        sender.settled()
        refs = case.host.refs()
        fees = [ref for _, ref in keys]
        assert all(refs.count(ref) <= 1 for ref in fees), number
        for expected_key in ("k0", "k1"):
            order = [ref for key, ref in keys if key == expected_key]
            sent = [ref for ref in refs if ref in order]
            assert sent == [ref for ref in order if ref in sent], number
    finally:
        case.doCleanups()
