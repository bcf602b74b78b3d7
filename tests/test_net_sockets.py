"""Tests a sender process over real sockets. Docstrings name the fault that a test guards against."""

import json
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from harness import PATIENCE, ROOT, SETTINGS, Discovery, Host, Sender, until

from willownotch.net import http
from willownotch.net.client_side import ClientSide
from willownotch.net.config import read_config

FIN_ACKNOWLEDGED = b"\x05"  # TCP state FIN-WAIT-2: the peer's kernel has acknowledged our FIN


class Case(unittest.TestCase):
    """A fake endpoint, fake discovery and, on request, a sender. All are closed after the test."""

    def setUp(self):
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.addCleanup(self.host.close)
        self.addCleanup(self.discovery.close)
        self.addCleanup(self.host.held.set)

    def sender(self, **more):
        sender = Sender(self.discovery, **more)
        self.addCleanup(sender.close)
        return sender.ready()

    def noticed(self, ref):
        return until(lambda: [n for n in self.discovery.notices if n["message"] == ref])[0]


class Delivery(Case):
    def test_a_message_passes_unchanged_on_a_connection_of_its_own(self):
        sender, bodies = self.sender(), [bytes(range(256)), b"", b"x" * 65536]
        refs = []
        for n, body in enumerate(bodies):
            ref, head = sender.hand_in("order", body=body)
            self.assertEqual(head.status, 202)
            refs.append(ref)
            until(lambda n=n: len(self.host.calls) == n + 1)
            sender.settled()
        self.assertEqual(self.host.refs(), refs)
        for (_, head, body), sent, ref in zip(self.host.calls, bodies, refs, strict=True):
            self.assertEqual((body, head.headers["idempotency-key"]), (sent, f"i{ref}"))
            self.assertTrue(0 < int(head.headers["request-timeout-ms"]) <= 8000)
            self.assertFalse(head.keeps_alive())
        self.assertEqual(self.host.connections, len(bodies))
        self.assertEqual(self.discovery.notices, [])

    def test_what_is_refused_goes_again_and_what_may_have_run_unrepeatable_does_not(self):
        sender = self.sender()
        self.host.script.put((503, ()))
        first, _ = sender.hand_in("fee", key="a")
        until(lambda: self.host.refs().count(first) == 2)
        # The connection breaks after the request's last byte: the call may have run.
        self.host.script.put(None)
        second, _ = sender.hand_in("fee", key="b")
        self.assertEqual(self.noticed(second)["outcome"], "given_up")
        self.assertEqual(self.host.refs().count(second), 1)

    def test_a_spoilt_answer_may_have_run_whatever_its_first_line_says(self):
        """An unreadable 503 was trusted as a rejection: a message that must not run twice was sent again. A
        first line with 200 was trusted alone: it may be of an answer that nobody asked for."""
        sender, good = self.sender(), b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
        # The answer, the outcome in a notice, calls for the message.
        table = [
            (b"HTTP/1.1 503 No\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "given_up", 1),
            (b"HTTP/1.1 429 No\r\nRetry-After: 9\r\nno colon\r\n\r\n", "given_up", 1),
            (b"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nshort", "given_up", 1),
            (b"HTTP/1.1 504 No\r\nX-Pad: " + b"p" * 20000, "given_up", 1),
            (b"\x16\x03 noise that never ends its line", "given_up", 1),
            (b"HTTP/1.1 OK 200\r\nContent-Length: 0\r\n\r\n", "given_up", 1),
            (b"HTTP/1.1 503 No\r\nServer-Load: \x01\r\nContent-Length: 0\r\n\r\n", None, 2),
            (good + b"Content-Length: 3\r\n\r\n", "given_up", 1),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmuch", "given_up", 1),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "given_up", 1),
            (good + b"\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "given_up", 1),
            (good + b"\r\n" + good + b"\r\n", None, 1),
            (b"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 102 On\r\n\r\n" + good + b"\r\n", None, 1),
        ]
        for answer, end, calls in table:
            with self.subTest(answer=answer[:60]):
                self.host.script.put(answer)
                ref, _ = sender.hand_in("fee")
                until(lambda ref=ref, calls=calls: self.host.refs().count(ref) == calls)
                sender.settled()
                notices = [n["outcome"] for n in self.discovery.notices if n["message"] == ref]
                self.assertEqual((notices, self.host.refs().count(ref)), ([end] if end else [], calls))
                after, _ = sender.hand_in()
                until(lambda after=after: after in self.host.refs())
                sender.settled()
                self.assertEqual(self.host.connections, len(self.host.calls))

    def test_a_time_out_closes_the_connection_and_ends_by_a_notice_in_time(self):
        sender = self.sender()
        self.host.held.clear()
        began = time.monotonic()
        ref, _ = sender.hand_in("status", left=600)
        notice = self.noticed(ref)
        self.assertLess(time.monotonic() - began, 0.6 + 0.3)
        self.assertEqual(notice["outcome"], "handed_back")  # at once, with a time to wait if one is known
        self.assertEqual(set(notice) - {"retry_in_ms"}, {"message", "outcome"})

    def test_a_wait_told_is_kept_for_every_message(self):
        sender = self.sender()
        self.host.script.put((429, [("Retry-After", "0.700")]))
        sender.hand_in()
        until(lambda: self.host.calls)
        sender.hand_in()
        until(lambda: len(self.host.calls) >= 2)
        self.assertGreaterEqual(self.host.calls[1][0] - self.host.calls[0][0], 0.7)

    def test_messages_of_a_key_go_one_at_a_time_in_order(self):
        sender = self.sender()
        self.host.held.clear()
        refs = [sender.hand_in("fee", key="k")[0] for _ in range(3)]
        other, _ = sender.hand_in("fee", key="other")
        until(lambda: len(self.host.calls) == 2)
        self.assertEqual(set(self.host.refs()), {refs[0], other})
        self.host.held.set()
        until(lambda: len(self.host.calls) == 4)
        self.assertEqual([r for r in self.host.refs() if r != other], refs)

    def test_a_key_waits_until_the_notice_of_the_one_before_is_answered(self):
        sender = self.sender()
        self.discovery.ignores_notices = True
        self.host.script.put((500, ()))
        first, _ = sender.hand_in("fee", key="k")
        until(lambda: any("not answered" in line for line in sender.lines))
        second, _ = sender.hand_in("fee", key="k")
        free, _ = sender.hand_in("fee", key="free")
        until(lambda: free in self.host.refs())
        self.assertNotIn(second, self.host.refs())
        self.discovery.ignores_notices = False
        self.assertEqual(self.noticed(first)["outcome"], "given_up")
        until(lambda: second in self.host.refs())

    def test_nothing_new_goes_to_a_host_that_drains(self):
        sender = self.sender()
        self.discovery.change(0, self.host, "Terminating")
        other = Host()
        self.addCleanup(other.close)
        self.discovery.change(1, other, "Ready")
        until(lambda: sender.hand_in()[1].status == 202 and other.calls)
        count = len(self.host.calls)
        for _ in range(4):
            sender.hand_in()
        until(lambda: len(other.calls) >= 5)
        self.assertEqual(len(self.host.calls), count)

    def test_a_new_id_at_an_old_address_is_another_host(self):
        """Connections were kept by address: a call could reach a later endpoint at the same address."""
        sender = self.sender()
        sender.hand_in()
        sender.settled()
        kept = self.host.socks[-1]
        self.discovery.change(0, self.host, "Gone")
        until(lambda: kept.fileno() < 0)  # the sender has read the change, and closed the connection
        self.discovery.change(1, self.host, "Ready")
        until(lambda: sender.hand_in()[1].status == 202)
        until(lambda: len(self.host.calls) > 1)
        sender.settled()
        self.assertEqual(self.host.connections, 2)
        # Before the list says that the old endpoint is gone.
        self.discovery.change(2, self.host, "Ready", group=8)
        until(lambda: sender.hand_in(dest=8)[1].status == 202)
        self.assertEqual(sender.hand_in(dest=7)[1].status, 503)

    def test_a_host_that_does_not_end_a_connection_proves_nothing_by_its_answer(self):
        """What comes in front of the end may be of another call; without an end more may follow."""
        self.host.ends_connections = False
        sender = self.sender()
        ref, _ = sender.hand_in("fee")
        self.assertEqual(self.noticed(ref)["outcome"], "given_up")
        self.assertEqual(self.host.refs(), [ref])
        self.assertTrue(any("answer: answered, but not ended" in line for line in sender.lines))

    def test_a_host_that_closes_or_keeps_connections_costs_no_message(self):
        sender = self.sender(keepalive=0.8)
        for n in range(3):
            sender.hand_in("fee")
            until(lambda n=n: len(self.host.calls) == n + 1)
            sender.settled()
            until(lambda: all(sock.fileno() < 0 for sock in self.host.socks))
        self.assertEqual((self.host.connections, self.discovery.notices), (3, []))


class Admission(Case):
    def test_answers_where_nothing_is_taken_on(self):
        sender = self.sender()
        valid = [
            ("Request-Id", "a"),
            ("Request-Class", "status"),
            ("Tenant", "acme"),
            ("Request-Timeout-Ms", "900"),
            ("X-Consignee", "dest=7"),
        ]
        table = [
            ("unknown class", "POST", "/api", {**dict(valid), "Request-Class": "x"}, 400),
            ("unknown tenant", "POST", "/api", {**dict(valid), "Tenant": "x"}, 400),
            ("no id", "POST", "/api", {**dict(valid), "Request-Id": ""}, 400),
            ("no time", "POST", "/api", {**dict(valid), "Request-Timeout-Ms": "-1"}, 400),
            ("no destination", "POST", "/api", {**dict(valid), "X-Consignee": "dest=x"}, 400),
            ("unlisted destination", "POST", "/api", {**dict(valid), "X-Consignee": "dest=99"}, 503),
            ("unknown path", "POST", "/nothing", dict(valid), 404),
            ("wrong method", "GET", "/api", {}, 405),
            ("alive", "GET", "/health/live", {}, 200),
        ]
        with sender.connect() as sock:  # each request is read to its end, so one connection serves them all
            for name, method, target, headers, status in table:
                body = b"x" if method == "POST" else None
                head = sender.exchange(sender.request(method, target, headers.items(), body), sock)
                self.assertEqual(head.status, status, name)
                self.assertEqual("retry-after" in head.headers, status == 503, name)
        self.assertEqual(self.host.calls, [])

    def test_lost_framing_is_answered_and_the_connection_closed(self):
        sender = self.sender()
        for data, status in [
            (b"nonsense\r\n\r\n", 400),
            (b"POST /api HTTP/1.1\r\n\r\n", 411),
            (b"POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413),
            (b"GET / HTTP/1.1\r\nX: " + b"y" * 20000, 431),
        ]:
            with sender.connect() as sock:
                self.assertEqual(sender.exchange(data, sock).status, status)
                self.assertEqual(sock.recv(1), b"")

    def test_a_connection_gets_an_error_or_a_close_within_3_s_of_connecting(self):
        """A silent connection was kept for 120 s, and one with an incomplete request for 5 s."""
        sender = self.sender()
        began = time.monotonic()
        with sender.connect() as silent, sender.connect() as slow, sender.connect() as large:
            slow.sendall(b"POST /api HT")
            large.sendall(b"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + b"y" * 100_000)
            self.assertEqual(sender.exchange(b"", large).status, 413)
            self.assertLess(time.monotonic() - began, 1)
            self.assertEqual(silent.recv(1), b"")
            self.assertEqual(sender.exchange(b"", slow).status, 408)
        self.assertLess(time.monotonic() - began, 3)

    def test_hundreds_that_say_nothing_do_not_keep_others_out(self):
        """At the limit, the listener waited for a connection to end before it accepted the next one."""
        sender = self.sender(limits={"sockets": 72, "disk_mb": 3})  # room for 16 client connections
        for _ in range(200):
            self.addCleanup(sender.connect().close)
        began = time.monotonic()
        self.assertEqual(sender.hand_in()[1].status, 202)
        self.assertLess(time.monotonic() - began, 2)

    def test_the_bound_on_clients_follows_the_memory(self):
        """Each connection has a thread: the memory may allow fewer than the descriptors do. 200 at 32 MB were
        too many: beside as much of half requests as they were let send, the process had 57 MB."""
        text = {"settings": SETTINGS, "listen": "127.0.0.1:0", "state": "s", "discovery": "127.0.0.1:1"}
        found = []
        for memory in (32, 192):
            limits = {"sockets": 1024, "disk_mb": 3, "memory_mb": memory}
            config = read_config(json.dumps({**text, "limits": limits}).encode(), {})
            client_side = ClientSide(config, None, None, None, None, None, None)
            client_side.listener.close()
            found.append(client_side.max_clients)
        self.assertEqual(found, [112, 384])

    def test_bad_requests_in_a_row_are_read_ever_more_slowly(self):
        """A client that repeated a bad request at once took processor time from other clients."""
        sender = self.sender()
        with sender.connect() as sock:
            began, answers = time.monotonic(), b""
            sock.sendall(sender.request("POST", "/api", (), b"") * 300)
            while answers.count(b"HTTP/1.1 400") < 6:
                answers += sock.recv(65536)
            self.assertGreaterEqual(time.monotonic() - began, 0.01 + 0.02 + 0.04 + 0.08 + 0.16)

    def test_an_open_id_is_no_strangers_to_end(self):
        """A hand-in with the id of another client's open message was answered 202, whatever its content."""
        sender = self.sender()
        self.host.held.clear()
        held, _ = sender.hand_in("fee", key="k")
        until(lambda: self.host.calls)
        ref, _ = sender.hand_in("fee", key="k", ref="mine")
        self.assertEqual(sender.hand_in("fee", key="k", ref=ref, body=b"other")[1].status, 409)
        with sender.connect() as sock:  # closes before it can receive its answer
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            sock.sendall(sender.message("fee", key="k", ref=ref, body=b"other"))
        self.host.held.set()
        until(lambda: ref in self.host.refs())
        self.assertEqual([call[2] for call in self.host.calls], [b"hello", b"hello"])

    def test_a_request_with_both_lengths_is_never_passed_on(self):
        sender = self.sender()
        headers = sender.headers("status")
        hidden = sender.request("POST", "/api", sender.headers("status"), b"")
        data = http.write_request("POST", "/api", "x", [*headers, ("Transfer-Encoding", "chunked")], hidden)
        with sender.connect() as sock:
            self.assertEqual(sender.exchange(data, sock).status, 400)
            self.assertEqual(sock.recv(1), b"")
        after, _ = sender.hand_in()
        until(lambda: self.host.calls)
        self.assertEqual(self.host.refs(), [after])

    def test_a_full_sender_gives_back_off_answers_and_loses_nothing(self):
        sender = self.sender()
        self.host.held.clear()
        answers = [sender.hand_in("order", body=b"y" * 100) for _ in range(60)]
        taken = [ref for ref, head in answers if head.status == 202]
        self.assertTrue(all("retry-after" in head.headers for _, head in answers if head.status == 503))
        self.assertTrue(0 < len(taken) < 60)
        self.host.held.set()
        ended = lambda: set(self.host.refs()) | {n["message"] for n in self.discovery.notices}  # noqa: E731
        until(lambda: set(taken) <= ended(), 3 * PATIENCE)

    def test_bodies_never_outgrow_the_disk(self):
        sender = self.sender(limits={"sockets": 1024, "disk_mb": 0.3})
        self.host.held.clear()
        statuses = [sender.hand_in("order", body=b"z" * 60000)[1].status for _ in range(10)]
        size = sum(-(-f.stat().st_size // 512) * 512 for f in sender.state.iterdir())
        self.assertLessEqual(size, 300_000)
        self.assertEqual(set(statuses), {202, 503})
        self.host.held.set()
        until(lambda: len({r for r in self.host.refs()}) == statuses.count(202))
        until(lambda: not list(sender.state.glob("bodies-*")))  # ended messages free their space

    def test_the_same_id_again_is_the_same_message(self):
        sender = self.sender()
        for _ in range(3):
            self.assertEqual(sender.hand_in(ref="same")[1].status, 202)
        other, _ = sender.hand_in()
        until(lambda: other in self.host.refs())
        self.assertEqual(self.host.refs().count("same"), 1)

    def test_an_id_that_was_turned_away_may_come_again(self):
        """A rejected id was remembered as ended: its next hand-in was answered 202, and never sent."""
        sender = self.sender()
        for left in (1, 8000):  # 1 ms left: rejected in the round of the hand-in
            _, head = sender.hand_in(ref="again", left=left)
        self.assertEqual(head.status, 202)
        until(lambda: "again" in self.host.refs())

    def test_a_body_that_comes_slowly_is_taken_on_all_the_same(self):
        """The time to answer ran from the first byte: a body that took 250 ms to come was always rejected."""
        sender = self.sender()
        headers = [
            ("Request-Id", "a"),
            ("Request-Class", "status"),
            ("Tenant", "acme"),
            ("Request-Timeout-Ms", "8000"),
            ("X-Consignee", "dest=7"),
        ]
        data = sender.request("POST", "/api", headers, b"slow" * 100)
        with sender.connect() as sock:
            sock.sendall(data[:-200])
            time.sleep(0.4)
            self.assertEqual(sender.exchange(data[-200:], sock).status, 202)

    def test_slow_clients_do_not_keep_others_out(self):
        sender = self.sender(limits={"sockets": 72, "disk_mb": 3})  # room for 16 client connections
        slow = [sender.connect() for _ in range(40)]
        for sock in slow:
            self.addCleanup(sock.close)
            try:
                sock.sendall(b"POST /api HTTP/1.1\r\nContent-")
            except OSError:
                pass  # ended to make room for the next
        ref, head = sender.hand_in()
        self.assertEqual(head.status, 202)
        until(lambda: ref in self.host.refs())


class Restarts(Case):
    def test_what_was_owed_survives_a_kill_in_order_and_nothing_unrepeatable_runs_twice(self):
        sender = self.sender(known=self.discovery.known())
        self.host.held.clear()
        out, _ = sender.hand_in("fee", key="k", left=20000)
        again, _ = sender.hand_in("order", left=20000, body=b"q" * 5000)
        until(lambda: len(self.host.calls) == 2)
        rest = [sender.hand_in("fee", key="k", left=20000)[0] for _ in range(2)]
        sender.process.kill()
        self.host.held.set()
        sender.restart()
        self.assertEqual(self.noticed(out)["outcome"], "given_up")
        until(lambda: set(rest) <= set(self.host.refs()) and self.host.refs().count(again) == 2)
        refs = self.host.refs()
        self.assertEqual((refs.count(out), [r for r in refs if r in rest]), (1, rest))
        self.assertEqual(self.host.calls[-1][2] if refs[-1] == again else b"q" * 5000, b"q" * 5000)

    def test_a_message_delivered_before_a_kill_is_not_run_again_for_its_repeat(self):
        # Its client had no 202 and repeated it at the next process, which sent it again.
        sender = self.sender(known=self.discovery.known())
        ref, _ = sender.hand_in("fee", ref="once")
        sender.settled()
        for again in (sender.restart, sender.restart, sender.upgrade, sender.restart):
            again()
            self.assertEqual(sender.hand_in("fee", ref="once")[1].status, 202)
        sender.hand_in("fee", ref="other")
        until(lambda: "other" in self.host.refs())
        self.assertEqual(self.host.refs(), [ref, "other"])

    def test_an_unanswered_notice_is_sent_again_by_the_next_process(self):
        sender = self.sender(known=self.discovery.known())
        self.discovery.ignores_notices = True
        self.host.script.put((500, ()))
        ref, _ = sender.hand_in("fee", key="k")
        until(lambda: any("not answered" in line for line in sender.lines))
        sender.process.kill()
        self.discovery.ignores_notices = False
        sender.restart()
        self.assertEqual(self.noticed(ref)["outcome"], "given_up")

    def test_what_is_owed_ends_in_time_even_if_no_list_comes(self):
        """Recovered messages waited for a list of endpoints, and their deadlines passed without a notice."""
        sender = self.sender()
        self.host.held.clear()
        ref, _ = sender.hand_in("status", left=2000)
        until(lambda: self.host.calls)
        sender.process.kill()
        sender.process.wait(PATIENCE)
        self.discovery.entries = []
        sender.start()
        self.assertEqual(self.noticed(ref)["outcome"], "handed_back")

    def test_a_missing_or_damaged_journal_starts_cleanly_and_says_so(self):
        sender = self.sender(known=self.discovery.known())
        self.assertTrue(any("no journal found" in line for line in sender.lines))
        sender.process.kill()
        sender.process.wait(PATIENCE)
        (sender.state / "journal").write_bytes(b"\x00garbage" * 500)
        sender.restart()
        self.assertTrue(any("torn or damaged" in line for line in sender.lines))
        shutil.rmtree(sender.state)
        sender.restart()
        self.assertEqual(sender.hand_in()[1].status, 202)

    def test_after_sigterm_messages_are_taken_and_no_unrepeatable_relay_begins(self):
        sender = self.sender()
        sender.hand_in("status")
        until(lambda: self.host.calls)
        sender.process.send_signal(signal.SIGTERM)
        until(lambda: any("SIGTERM" in line for line in sender.lines))
        # Less than 2 s remain of the 3.5 s until a kill: too short for a call to a new endpoint.
        time.sleep(1.7)
        fee, head = sender.hand_in("fee", left=15000)
        safe, _ = sender.hand_in("status")
        until(lambda: safe in self.host.refs())
        self.assertEqual((head.status, self.host.refs().count(fee)), (202, 0))
        self.assertEqual(sender.process.wait(PATIENCE), 0)
        sender.start()
        until(lambda: fee in self.host.refs())


class Platform(Case):
    def test_no_list_no_readiness_and_nonsense_keeps_the_last_list(self):
        self.discovery.entries = []
        sender = Sender(self.discovery)
        self.addCleanup(sender.close)
        self.assertEqual(sender.exchange(sender.request("GET", "/health/ready")).status, 503)
        self.discovery.change(0, self.host, "Ready")
        sender.ready()
        self.discovery.listener.close()  # a new watch would get an empty list
        self.discovery.tell("{nonsense")
        until(lambda: any("watch: broken off" in line for line in sender.lines))
        self.assertEqual(sender.hand_in()[1].status, 202)

    def test_a_known_list_serves_while_discovery_is_gone(self):
        known = self.discovery.known()
        self.discovery.close()
        sender = self.sender(known=known)
        self.assertEqual(sender.hand_in()[1].status, 202)
        until(lambda: self.host.calls)


class Reloads(Case):
    def test_a_reload_moves_watch_and_notices_at_once_and_keeps_all_that_is_held(self):
        """SIGHUP ended the sender, and a watch that waited for the old agent's next line never moved."""
        sender = self.sender(env={"LB_DISCOVERY": self.discovery.address})
        self.host.held.clear()
        held, _ = sender.hand_in("fee", key="k", left=20000)
        until(lambda: self.host.calls)
        behind, _ = sender.hand_in("fee", key="k", left=20000)
        old = self.discovery
        for _ in range(2):  # twice: the old agent stays up and silent each time
            other = Host()
            self.addCleanup(other.close)
            new = Discovery([self.host])
            self.addCleanup(new.close)
            new.entries.append(new.entry(1, other, group=8))
            sender.reload({"discovery": new.address}, "discovery is now")
            until(lambda new=new: new.watched == ["/registry/instances?watch=1&from=0"])
            until(lambda: sender.hand_in(dest=8)[1].status == 202)
            until(lambda other=other: other.calls)
        self.assertEqual(len(old.watched), 1)
        self.host.held.set()
        until(lambda: behind in self.host.refs())
        self.assertEqual([r for r in self.host.refs() if r in (held, behind)], [held, behind])

    def test_a_waiting_notice_goes_to_the_new_address(self):
        sender = self.sender()
        sender.hand_in("fee")
        until(lambda: self.host.calls)
        self.discovery.ignores_notices = True
        self.host.script.put((500, ()))
        ref, _ = sender.hand_in("fee", key="k")
        until(lambda: any("not answered" in line for line in sender.lines))
        self.discovery, old = Discovery([self.host]), self.discovery
        self.addCleanup(old.close)
        sender.reload({"discovery": self.discovery.address}, "discovery is now")
        self.assertEqual(self.noticed(ref)["outcome"], "given_up")

    def test_a_bad_file_changes_nothing(self):
        """A half-written or invalid file must not cut the sender off from the platform."""
        sender = self.sender()
        for text in ("{", {"discovery": "nowhere"}, {"settings": {}}, {"seed": "no"}):
            sender.reload(text, "the old settings stay")
        sender.reload({"limits": {"sockets": 512, "disk_mb": 3}}, "discovery stays")
        self.assertEqual(len(self.discovery.watched), 1)
        self.discovery.change(0, self.host, "Gone")
        until(lambda: sender.hand_in()[1].status == 503)


class CommandLine(unittest.TestCase):
    def run_it(self, *arguments, env=None):
        return subprocess.run(
            [sys.executable, "-m", "willownotch", *arguments],
            cwd=ROOT,
            text=True,
            capture_output=True,
            env=env,
            timeout=30,
        )

    def test_bad_configurations_are_one_plain_line_and_exit_2(self):
        good = json.loads((ROOT / "examples" / "config.json").read_text(encoding="utf-8"))
        for change in [{"settings": {}}, {"listen": "nowhere"}, {"seed": "no"}, {"limits": {"sockets": 3}}]:
            with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
                json.dump({**good, **change}, file)
                file.flush()
                for command in ("check", "serve"):
                    done = self.run_it(command, "--config", file.name)
                    self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), change)
        self.assertEqual(self.run_it(env={}).returncode, 2)

    def test_a_dead_thread_is_logged_and_ends_the_process(self):
        """A sender without its decision loop or its watch looks alive, but serves nobody."""
        for work, forever in [("lambda: 1 / 0", False), ("lambda: None", True)]:
            code = (
                "import threading; from willownotch.cli import Threads; "
                "from willownotch.net.log import Log; from willownotch.net.clock import Clock; "
                f"Threads(Log(Clock())).start('watch', {work}, {forever}); threading.Event().wait(20)"
            )
            done = subprocess.run(
                [sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, timeout=30
            )
            self.assertEqual(done.returncode, 70)
            self.assertIn("thread watch has died", done.stderr)

    def test_version_and_check(self):
        self.assertRegex(self.run_it("version").stdout, r"^willownotch \d")
        for name in ("config", "rooms"):
            self.assertEqual(self.run_it("check", "--config", f"examples/{name}.json").returncode, 0)

    def test_the_example_delivers_as_written(self):
        toy = subprocess.Popen(
            [sys.executable, "examples/toy.py", "--port", "0"], cwd=ROOT, text=True, stdout=subprocess.PIPE
        )
        self.addCleanup(toy.stdout.close)
        self.addCleanup(toy.wait, PATIENCE)
        self.addCleanup(toy.kill)
        discovery = toy.stdout.readline().split()[-1]
        text = json.loads((ROOT / "examples" / "config.json").read_text(encoding="utf-8"))
        text.update(listen="127.0.0.1:0", discovery=discovery)
        sender = Sender(text=text)
        self.addCleanup(sender.close)
        sender.ready()
        ref, head = sender.hand_in("slot-status", tenant="dune-carriers")
        self.assertEqual(head.status, 202)
        self.assertIn(f"{ref} 200 b'hello'", toy.stdout.readline())
