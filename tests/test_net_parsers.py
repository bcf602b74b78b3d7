"""Table-driven tests of all that parses bytes or text: HTTP, the journal, the configuration, the list."""

import json
import queue
import re
import tempfile
import threading
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path

import msgspec
from harness import ROOT, SETTINGS

from willownotch.adapter import read_settings
from willownotch.files.space import Space, round_to_blocks
from willownotch.interface import Outcome
from willownotch.journal import records
from willownotch.journal.records import (
    AcceptedMessage,
    MessageEnded,
    NoticeAnswered,
    RelayFailed,
    RelaysCounted,
    RelayStarted,
)
from willownotch.lifecycle import SharedLifecycle
from willownotch.net import bulk, http
from willownotch.net import config as configs
from willownotch.net.answers import parse_load_report, parse_retry_after, read_outcome
from willownotch.net.attempts import Relay
from willownotch.net.client_requests import RefusedError, read_message
from willownotch.net.clock import Clock, millis
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.endpoint_side import EndpointSide
from willownotch.net.events import Answer, Verdict
from willownotch.net.journal import Journal, JournalFullError
from willownotch.net.log import MOST, Log
from willownotch.net.pending import PendingReply
from willownotch.net.registry import Host, Hosts
from willownotch.net.watch_decoder import WatchDecoder

ENDS = datetime(2026, 12, 1, 12, 0, tzinfo=UTC)


def parse_all(data, answer=False, size=None):
    """All HTTP messages in the data, fed at once or in pieces of `size`, and then the end of the
    connection."""
    parser, out = http.Parser(answer), []
    for at in range(0, len(data), size or len(data)):
        parser.feed(data[at : at + (size or len(data))])
        while found := parser.next():
            out.append(found)
    parser.feed(b"")
    while found := parser.next():
        out.append(found)
        break
    return out


class Http(unittest.TestCase):
    def test_messages_are_parsed_however_they_are_split(self):
        table = [
            (b"GET /a HTTP/1.1\r\n\r\n", False, [b""]),
            (b"\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n", False, [b""]),
            (b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.0\r\n\r\n", False, [b"abc", b""]),
            (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", False, [b"abc"]),
            (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: 1\r\n\r\n",
                False,
                [b"abcd"],
            ),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", True, [b"ok"]),
            (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204\r\n\r\n", True, [b""]),
            (b"HTTP/1.1 200 OK\r\n\r\nto the end", True, [b"to the end"]),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n", True, [b""]),
        ]
        for data, answer, bodies in table:
            for size in (1, 2, 7, None):
                with self.subTest(data=data, size=size):
                    self.assertEqual([body for _, body in parse_all(data, answer, size)], bodies)

    def test_ambiguous_or_broken_framing_is_rejected(self):
        post = b"POST / HTTP/1.1\r\n"
        table = [
            (b"GET  / HTTP/1.1\r\n\r\n", 400),
            (b"GET / HTTP/2.0\r\n\r\n", 505),
            (b"\x16\x03\x01\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nbad name: x\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nA : x\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\n folded: x\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nA: \x00\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", 400),
            (post + b"\r\n", 411),
            (post + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n", 400),
            (post + b"Content-Length: 3, 3\r\n\r\n", 400),
            (post + b"Content-Length: -3\r\n\r\n", 400),
            (post + b"Content-Length: 65537\r\n\r\n", 413),
            (post + b"Content-Length: 99999999999999\r\n\r\n", 400),
            (post + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
            (post + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501),
            (post + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400),
            (post + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400),
            (post + b"Transfer-Encoding: chunked\r\n\r\n10001\r\n" + b"x" * 65537, 413),
            (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 101 + b"\r\n", 431),
            (b"GET / HTTP/1.1\r\nA: " + b"b" * 20000, 431),
            (post + b"Request-Id: a\r\nRequest-Id: b\r\n\r\n", 400),
        ]
        for data, status in table:
            with self.subTest(data=data[:70]), self.assertRaises(http.BadMessageError) as caught:
                parse_all(data)
            self.assertEqual(caught.exception.status, status, data[:70])

    def test_an_invalid_optional_header_is_ignored(self):
        data = b"HTTP/1.1 503 No\r\nServer-Load: \x01\r\nContent-Length: 0\r\n\r\n"
        parser = http.Parser(answer=True, optional=(b"server-load",))
        parser.feed(data)
        self.assertEqual(list(parser.next()[0].headers), ["content-length"])
        with self.assertRaises(http.BadMessageError):
            parse_all(data, answer=True)

    def test_keep_alive(self):
        for minor, value, keeps in [
            (1, "", True),
            (1, "Close", False),
            (1, "x, close", False),
            (0, "", False),
            (0, "keep-alive", True),
        ]:
            head = http.Head(minor, headers={"connection": value})
            self.assertEqual(head.keeps_alive(), keeps, (minor, value))

    def test_the_status_is_known_before_the_rest(self):
        parser = http.Parser(answer=True)
        parser.feed(b"HTTP/1.1 200 OK\r\nServer-")
        self.assertIsNone(parser.next())
        self.assertEqual(parser.status, 200)

    def test_a_line_end_in_a_header_is_not_written(self):
        for value in ("a\r\nB: c", "a\nb"):
            with self.assertRaises(ValueError):
                http.write_answer(200, [("A", value)])


class EndpointAnswers(unittest.TestCase):
    def test_each_status_and_its_outcome(self):
        table = [
            (200, {}, Outcome.DELIVERED, True, False, 0),
            (500, {}, Outcome.ERROR, False, False, 0),
            (429, {"retry-after": "0.75"}, Outcome.REJECTED, False, False, 0.75),
            (503, {}, Outcome.REJECTED, False, False, 0),
            (503, {"x-line-busy": "1"}, Outcome.NOT_SENT, False, True, 0),
            (504, {}, Outcome.NOT_SENT, False, False, 0),
            (410, {}, Outcome.NOT_SENT, True, False, 0),
            (418, {}, Outcome.ERROR, False, False, 0),
        ]
        for status, headers, outcome, over, no_slot, wait in table:
            ended = read_outcome(None, status, headers)
            found = (ended.outcome, ended.over, ended.no_slot, ended.wait.total_seconds())
            self.assertEqual(found, (outcome, over, no_slot, wait), status)

    def test_a_200_that_is_read_after_the_deadline_is_no_delivery(self):
        """A sender short of CPU read one late, recorded no outcome, and sent the key's next message."""
        clock = Hand()
        config = configs.read_config(
            json.dumps(
                {"settings": SETTINGS, "listen": "127.0.0.1:0", "state": "s", "discovery": "127.0.0.1:1"}
            ).encode(),
            {},
        )
        endpoint_side = EndpointSide(config, clock, None, None, None, {}, None, None)
        relay = Relay(accepted("a"), 0, 1, None, ENDS, ENDS)
        for early, status, outcome in [
            (0.2, 200, Outcome.DELIVERED),
            (0.0, 200, Outcome.TIMED_OUT),
            (-0.2, 200, Outcome.TIMED_OUT),
            (-0.2, 500, Outcome.ERROR),
        ]:
            clock.at = ENDS - timedelta(seconds=early)
            ended = endpoint_side._check_deadline(read_outcome(relay, status, {}))
            self.assertEqual((ended.outcome, ended.over), (outcome, outcome is Outcome.DELIVERED), early)

    def test_load_reports_and_retry_after(self):
        for text, found in [
            ("x0=0.4,x1=25", (0.4, 25.0)),
            ("x1=3", (None, 3.0)),
            (None, (None, None)),
            ("x0=much, x1 = 2", (None, None)),
            ("x0=nan,x1=-1", (None, None)),
            (",=", (None, None)),
        ]:
            self.assertEqual(parse_load_report(text), found, text)
        for text, span in [
            ("2", 2.0),
            ("0.25", 0.25),
            (None, 0.0),
            ("soon", 0.0),
            ("-1", 0.0),
            ("inf", 0.0),
            ("nan", 0.0),
        ]:
            self.assertEqual(parse_retry_after(text).total_seconds(), span, text)


class ClientRequests(unittest.TestCase):
    good = {
        "request-id": "a1",
        "request-class": "fee",
        "tenant": "acme",
        "request-timeout-ms": "480",
        "x-consignee": "dest=7",
    }
    config = configs.read_config(
        json.dumps(
            {"settings": SETTINGS, "listen": "127.0.0.1:0", "state": "s", "discovery": "127.0.0.1:1"}
        ).encode(),
        {},
    )

    def read(self, target="/api?thread=k%20k", **changes):
        headers = {k: v for k, v in {**self.good, **changes}.items() if v is not None}
        return read_message(http.Head(1, "POST", target, headers=headers), b"b", ENDS, self.config)

    def test_a_message_is_read(self):
        accepted = self.read(**{"client-retry": "again", "idempotency-key": "i"})
        self.assertEqual(
            (accepted.ref, accepted.destination, accepted.key, accepted.is_retry, accepted.idempotency_key),
            ("a1", 7, "k k", True, "i"),
        )
        self.assertEqual(accepted.ends_at - ENDS, timedelta(milliseconds=480))
        self.assertIsNone(
            self.read(**{"request-class": "status"}).key
        )  # only classes delivered in order have keys

    def test_an_invalid_request_is_rejected(self):
        for change in [
            {"request-id": None},
            {"request-id": "a b"},
            {"request-class": "x"},
            {"tenant": None},
            {"request-timeout-ms": "0"},
            {"request-timeout-ms": "1.5"},
            {"x-consignee": "dest=-1"},
            {"x-consignee": "x"},
            {"idempotency-key": "a b"},
            {"target": "/api?thread=a&thread=b"},
        ]:
            with self.subTest(change), self.assertRaises(RefusedError):
                self.read(**change)

    def test_a_pending_reply_is_either_claimed_or_abandoned(self):
        """A message whose client was rejected must not be accepted afterwards, nor the reverse."""
        abandoned, claimed = PendingReply(), PendingReply()
        self.assertIsNone(abandoned.wait(timedelta(0), timedelta(0)))
        self.assertFalse(abandoned.claim())
        self.assertTrue(claimed.claim())
        claimed.settle(Answer(Verdict.ACCEPTED))
        self.assertEqual(claimed.wait(timedelta(0), timedelta(0)).verdict, Verdict.ACCEPTED)


class Configuration(unittest.TestCase):
    def test_both_readers_of_settings_agree(self):
        """The simulator and the real sender must read the same settings into equal objects."""
        files = [json.loads((ROOT / "examples" / name).read_text()) for name in ("config.json", "rooms.json")]
        for settings in (SETTINGS, *(file["settings"] for file in files)):
            text = json.dumps(settings).encode()
            entry = configs.msgspec.json.decode(text, type=configs.SettingsEntry)
            self.assertEqual(configs.module_settings(entry), read_settings(settings))

    def test_addresses(self):
        self.assertEqual(configs.read_address("127.8.0.1:8000", "x"), ("127.8.0.1", 8000))
        for text in ["", "8000", ":1", "h:", "h:x", "h:99999", "h:-1"]:
            with self.assertRaises(configs.ConfigError, msg=text):
                configs.read_address(text, "x")

    def test_lists_of_a_watch_however_they_are_split_and_indented(self):
        """A list over several lines was parsed line by line, so that no watch ever delivered one."""
        entry = {"name": "s-\u00e4", "address": "127.0.0.1:1", "group": 1, "status": "Ready"}
        lists = [{"index": n, "snapshot": True, "endpoints": [entry] * n} for n in range(4)]
        texts = [json.dumps(each, indent=n) for each, n in zip(lists, (None, 2, 4, None), strict=True)]
        data = ("\r\n\n".join(texts) + "\n{").encode()
        for size in (1, 3, 50, 5000):
            decoder, out = WatchDecoder(), []
            for at in range(0, len(data), size):
                out += decoder.feed(data[at : at + size])[0]
            self.assertEqual([(each.index, len(each.endpoints)) for each in out], [(n, n) for n in range(4)])

    def test_invalid_data_ends_a_watch_at_once(self):
        for data in (b"{nonsense\n", b"[1]\n", b"}\n", b'{"index":1,\n\n', b'{"index":1,\n"x":}\n'):
            with self.assertRaises((msgspec.DecodeError, http.BadMessageError), msg=data):
                WatchDecoder().feed(data)
        decoder = WatchDecoder()
        self.assertEqual(decoder.feed(b"\n"), ([], True))
        self.assertEqual(decoder.feed(b'{"index"'), ([], False))  # a partial line does not count as data


def accepted(ref, body=b"b", key="k"):
    return AcceptedMessage(ref, 7, "fee", "acme", ENDS, key, body=body)


class Journals(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def open(self, size=100_000):
        journal = Journal(self.folder, Space(size))
        journal.open()
        self.addCleanup(journal.close)
        return journal

    def on_disk(self):
        return sum(round_to_blocks(f.stat().st_size) for f in self.folder.iterdir())

    def test_replay(self):
        """Deadlines, relays and order are restored; a relay that was in progress may have been executed."""
        large = b"l" * 5000
        self.open().append(
            [
                accepted("a"),
                accepted("b", large),
                accepted("c"),
                accepted("d"),
                RelayStarted("a", 0, ENDS, "s"),
                RelayFailed("a", 0, False),
                RelayStarted("a", 2, ENDS, "s"),
                RelayStarted("b", 0, ENDS, "s"),
                RelayFailed("b", 0, True),
                MessageEnded("c", "delivered"),
                MessageEnded("d", "handed_back", 500),
                accepted("e"),
                MessageEnded("e", "given_up"),
                NoticeAnswered("e"),
            ]
        )
        for _ in range(2):  # as appended, and as rewritten
            live = self.open().live
            self.assertEqual(list(live), ["a", "b", "d"])
            marks = [live["a"].may_have_run(n) for n in range(live["a"].count())]
            self.assertEqual(marks, [False, False, True])
            self.assertEqual((live["b"].may_have_run(0), live["b"].message.body), (True, large))
            self.assertEqual((live["d"].ended.retry_in_ms, live["d"].message.body), (500, b""))
            self.assertEqual(live["a"].message.ends_at, ENDS)

    def test_a_torn_tail_loses_only_the_last_record(self):
        self.open().append([accepted("a"), accepted("b")])
        path = self.folder / "journal"
        data = path.read_bytes()
        second = data.index(records.MAGIC, 1)
        for cut in range(second, len(data)):
            path.write_bytes(data[:cut])
            self.assertEqual(list(self.open().live), ["a"], cut)

    def test_damage_in_the_middle_loses_only_the_damaged_record(self):
        self.open().append([accepted("a"), accepted("b"), accepted("c")])
        path = self.folder / "journal"
        data = bytearray(path.read_bytes())
        data[data.index(records.MAGIC, 1) + 20] ^= 1
        path.write_bytes(data)
        journal = self.open()
        self.assertEqual((list(journal.live), len(journal.faults)), (["a", "c"], 1))

    def test_leftover_files_are_removed(self):
        (self.folder / "journal.new").write_bytes(b"x")
        self.open()
        self.assertEqual([f.name for f in self.folder.iterdir()], ["journal"])

    def test_the_folder_never_exceeds_its_limit(self):
        """Old and new file exist together during a rewrite, and the bodies offered may exceed the limit."""
        journal, open_refs = self.open(), []
        for n in range(600):
            message = accepted(f"m{n}", b"z" * (n * 37 % 2000))
            if journal.fits([message]):
                journal.append([message, RelayStarted(message.ref, 0, ENDS, "s")])
                open_refs.append(message.ref)
            else:
                journal.append([MessageEnded(open_refs.pop(0), "delivered")])
            new = sum(len(records.frame(r)) for entry in journal.live.values() for r in entry.records())
            self.assertLessEqual(self.on_disk() + round_to_blocks(new), 100_000)
        self.assertGreater(len(open_refs), 5)
        self.assertEqual(list(self.open().live), open_refs)

    def test_the_reserve_covers_all_records_of_a_message(self):
        """If the space reserved for a message is too small, its final outcome cannot be recorded."""
        for length in (1, 16, 128):
            message = AcceptedMessage("r" * length, 7, "fee", "acme", ENDS, "k" * 200, "i" * 100)
            ref = message.ref
            end = [MessageEnded(ref, "handed_back", 2000), NoticeAnswered(ref), RelaysCounted(ref, 12)]
            room, size = (
                records.bytes_to_reserve(message),
                sum(len(records.frame(r)) for r in [message, *end]),
            )
            for n in range(12):
                relay = [RelayStarted(ref, n, datetime.now(UTC), "s-5be2a07c"), RelayFailed(ref, n, True)]
                size += sum(map(len, map(records.frame, relay)))
                self.assertLessEqual(size, room + n * records.relay_record_bytes(ref), (length, n))

    def test_as_many_messages_fit_as_a_sender_holds_on_its_busiest_day(self):
        """Reserving space for twelve relays each had clients rejected at half of the limit of messages."""
        journal = self.open(3_000_000)
        for n in range(980):
            message = AcceptedMessage(
                f"{n:016x}", 7, "slot-order", "erongo-haulage", ENDS, "k" * 16, "i" * 32, body=b"z" * 500
            )
            self.assertTrue(journal.fits([message]), n)
            journal.append(
                [
                    message,
                    RelayStarted(message.ref, 0, ENDS, "s-5be2a07c"),
                    RelayFailed(message.ref, 0, False),
                ]
            )
        self.assertEqual(self.open(3_000_000).live[f"{0:016x}"].count(), 1)

    def test_relays_leave_space_for_final_outcomes(self):
        """On a disk that was filled by relays, their outcomes could not be recorded."""
        journal, count = self.open(20_000), 0
        while journal.fits([accepted(f"m{count}")]):
            journal.append([accepted(f"m{count}")])
            count += 1
        with self.assertRaises(JournalFullError):
            for n in range(count * 12):
                journal.append([RelayStarted(f"m{n % count}", n // count, ENDS, "s-5be2a07c")])
        journal.append([MessageEnded(f"m{n}", "handed_back", 2000) for n in range(count)])
        journal.append([NoticeAnswered(f"m{n}") for n in range(count)])
        self.assertEqual((count > 5, self.open(20_000).live), (True, {}))

    def test_the_messages_of_a_round_must_fit_together(self):
        """Each message of a round fitted on its own, but together they would have exceeded the limit."""
        journal, together = self.open(), []
        while journal.fits([*together, accepted(f"m{len(together)}", b"z" * 3000)]):
            together.append(accepted(f"m{len(together)}", b"z" * 3000))
        journal.append(together)
        self.assertTrue(3 < len(together) < 16)
        self.assertLessEqual(self.on_disk(), 100_000)

    def test_a_record_that_does_not_fit_is_refused_and_the_journal_stays_intact(self):
        journal = self.open(20_000)
        with self.assertRaises(JournalFullError):
            journal.append([accepted(f"m{n}", b"z" * 2000) for n in range(20)])
        self.assertEqual([f.name for f in self.folder.iterdir()], ["journal"])
        journal.append([accepted("a")])
        self.assertEqual(list(self.open(20_000).live), ["a"])


class Hand:
    """A clock that tests set."""

    at = ENDS

    def now(self):
        return self.at


class BoundedState(unittest.TestCase):
    """A sender runs indefinitely, so nothing may grow with the number of hosts ever listed."""

    def test_numbers_of_hosts_that_are_gone(self):
        clock = Hand()
        hosts, numbers = Hosts(("haulier",), ("here",), clock, None), set()
        for n in range(300):
            clock.at += timedelta(seconds=1)
            for index, status in ((n, "Ready"), (n - 5, "Gone")):
                address = f"127.0.0.1:{1000 + index}"
                entry = configs.ListedEndpoint(f"s-{index}", address, 7, status, "haulier")
                endpoint_list, _ = hosts.read(configs.ListUpdate(n, False, [entry]))
                numbers.add(endpoint_list.entries[0].number)
        self.assertLess(len(hosts._number_by_name), 80)
        self.assertEqual((len(numbers), sorted(hosts.by_number)), (305, sorted(hosts.by_number)))
        self.assertEqual(len(hosts.by_number), 5)
        hosts.read(configs.ListUpdate(1, True, []))
        clock.at += timedelta(seconds=61)
        hosts.read(configs.ListUpdate(2, True, []))
        self.assertEqual((hosts._number_by_name, hosts._unlisted_since), ({}, {}))

    def test_waits_of_destinations(self):
        clock = Hand()
        config = configs.read_config(
            json.dumps(
                {"settings": SETTINGS, "listen": "127.0.0.1:0", "state": "s", "discovery": "127.0.0.1:1"}
            ).encode(),
            {},
        )
        hosts = {n: Host(n, f"s-{n}", ("127.0.0.1", n), n, True) for n in range(1, 60)}
        endpoint_side = EndpointSide(config, clock, None, None, None, hosts, None, None)
        for n in hosts:
            clock.at += timedelta(seconds=1)
            endpoint_side.conditions.wait(n, timedelta(seconds=2))
        self.assertLessEqual(len(endpoint_side.conditions.waits), 3)


class Rounds(unittest.TestCase):
    def test_items_within_a_period_share_a_round(self):
        """One round for each item took the CPU that the sockets needed, and clients timed out."""
        settings = {**SETTINGS, "periodS": 0.05}
        config = configs.read_config(
            json.dumps(
                {"settings": settings, "listen": "127.0.0.1:0", "state": "s", "discovery": "127.0.0.1:1"}
            ).encode(),
            {},
        )
        clock = Clock()
        decision_loop = DecisionLoop(config, clock, Log(clock), None, None, None, SharedLifecycle())
        decision_loop._recovered = None
        decision_loop._round_started_at = clock.now()
        decision_loop.post(1)
        threading.Timer(0.01, decision_loop.post, (2,)).start()
        self.assertEqual(decision_loop._next_items(), [1, 2])
        decision_loop.config = msgspec.structs.replace(config, period=timedelta(0))
        for duration, share in [(timedelta(0), [1]), (timedelta(milliseconds=20), [1, 2])]:
            # After a long round the next one starts later.
            decision_loop._round_duration, decision_loop._round_started_at = duration, clock.now()
            decision_loop.post(1)
            timer = threading.Timer(0.01, decision_loop.post, (2,))
            timer.start()
            self.assertEqual(decision_loop._next_items(), share)
            timer.join()
            decision_loop._inbox = queue.SimpleQueue()


class LogAndClock(unittest.TestCase):
    def test_the_on_call_page_lists_every_event_word(self):
        page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
        code = "".join(p.read_text(encoding="utf-8") for p in (ROOT / "willownotch").rglob("*.py"))
        words = set(re.findall(r'\bsay\(\s*"([a-z]+)"', code)) | {"full", "unlisted", "early"}
        self.assertGreater(len(words), 15)
        self.assertEqual([word for word in words if f"| `{word}` |" not in page], [])

    def test_the_log_limits_its_rate_and_counts_what_it_omits(self):
        class Sink(list):
            def write(self, text):
                self.append(text)

            def flush(self):
                pass

        clock, sink = Hand(), Sink()
        log = Log(clock, "n0", sink)
        for n in range(MOST + 3):
            log.say("word", f"line {n}\nsecond")
        clock.at += timedelta(seconds=2)
        log.say("word", "later")
        lines = "".join(sink).splitlines()
        self.assertEqual(len(lines), MOST + 1)
        self.assertIn("3 more", lines[-1])

    def test_the_clock_shows_the_wall_time_and_never_runs_backwards(self):
        clock = Clock()
        first = clock.now()
        self.assertLess(abs(first - datetime.now(UTC)), timedelta(seconds=1))
        self.assertGreaterEqual(clock.now(), first)
        self.assertEqual((millis(timedelta(microseconds=2900)), millis(timedelta(seconds=-1))), (2, 0))


class BulkCalls(unittest.TestCase):
    """Calls that carry several messages."""

    def test_the_body_has_a_line_and_the_body_of_each_message(self):
        self.assertEqual(
            bulk.write_body([("a1", None, b"hello"), ("a2", "k", b"\r\n")]),
            b"a1 - 5\r\nhello\r\na2 k 2\r\n\r\n\r\n",
        )
        for ref, key, body in [("a1", None, b"x" * 65536), ("r" * 128, "k" * 128, b"")]:
            most = len(body) + bulk.max_overhead_bytes(ref, key)
            self.assertLessEqual(len(bulk.write_body([(ref, key, body)])), most)

    def test_answers_that_omit_or_misname_messages(self):
        table = [
            (b"a1 delivered\r\n", (Outcome.DELIVERED, True)),
            (b"a1 failed\n", (Outcome.ERROR, False)),
            (b"a1 refused\r\n", (Outcome.REJECTED, False)),
            (b"a1 over\r\n", (Outcome.NOT_SENT, True)),
            (b"a1 spent\r\n", (Outcome.NOT_SENT, False)),
            (b"", (Outcome.ERROR, False)),
            (b"a1 fine\r\n", (Outcome.ERROR, False)),
            (b"a1\r\n", (Outcome.ERROR, False)),
            (b"a1 refused\r\na1 delivered\r\n", (Outcome.ERROR, False)),
            (b"\xff\xfe", (Outcome.ERROR, False)),
        ]
        for body, found in table:
            self.assertEqual(
                bulk.read_answer(b"a2 delivered\r\n" + body, ["a1", "a2"]),
                {"a1": found, "a2": (Outcome.DELIVERED, True)},
                body,
            )
