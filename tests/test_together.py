"""Bulk calls of a real sender: each message has exactly one outcome, however its call ends."""

import threading
import unittest

from harness import SETTINGS, Discovery, Host, Sender, until

BULK_SETTINGS = {**SETTINGS, "familyInfo": {**SETTINGS["familyInfo"], "slots": 2, "kindBatch": [3]}}


class BulkHost(Host):
    """Accepts single and bulk calls. `words` has a message's word in the answer, or None to omit its line."""

    def __init__(self):
        self.words, self.groups = {}, []
        super().__init__()

    def answer(self, head, body, sock):
        if head.target != "/inbox/bulk":
            self.groups.append([head.headers["request-id"]])
            return super().answer(head, body, sock)
        refs, at = [], 0
        while at < len(body):
            line, _, _ = body[at:].partition(b"\r\n")
            ref, _, size = line.decode().split(" ")
            refs.append(ref)
            at += len(line) + 4 + int(size)
        self.groups.append(refs)
        answer = super().answer(head, body, sock)
        if answer is None or not answer.startswith(b"HTTP/1.1 200"):
            return answer
        answered = [(ref, self.words.get(ref, "delivered")) for ref in refs]
        text = "".join(f"{ref} {word}\r\n" for ref, word in answered if word).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)

    def pass_one(self):
        """Answer the calls that are held now, and hold those that come next."""
        self.held.set()
        self.held = threading.Event()

    def refs(self):
        return [ref for group in self.groups for ref in group]


class BulkCalls(unittest.TestCase):
    settings = BULK_SETTINGS

    def setUp(self):
        self.host = BulkHost()
        self.discovery = Discovery([self.host])
        self.sender = Sender(self.discovery)
        text = {**self.sender.text, "settings": self.settings}
        self.sender.close()
        self.sender = Sender(text={**text, "discovery": self.discovery.address})
        for resource in (self.host, self.discovery, self.sender):
            self.addCleanup(resource.close)
        self.addCleanup(self.host.held.set)
        self.sender.ready()

    def queue_behind(self, cls, count=3, **more):
        """Hand in messages that wait for a call in progress, and then go together in one call."""
        self.host.held.clear()
        first, _ = self.sender.hand_in("order")
        until(lambda: first in self.host.refs())
        refs = [self.sender.hand_in(cls, **more)[0] for _ in range(count)]
        self.assertEqual(self.host.refs(), [first])
        return refs

    def release_together(self, refs):
        """Answer the call in progress, and wait until these messages have come in one call."""
        self.host.held.set()
        until(lambda: any(sorted(group) == sorted(refs) for group in self.host.groups))

    def ends(self):
        return {n["message"]: n["outcome"] for n in self.discovery.notices}

    def test_waiting_messages_go_in_one_call_on_a_connection_of_its_own(self):
        refs = self.queue_behind("order")
        self.release_together(refs)
        self.sender.settled()
        self.assertEqual((len(self.host.groups), self.host.connections, self.ends()), (2, 2, {}))

    def test_each_message_ends_by_its_own_line_of_the_answer(self):
        done, failed, omitted = refs = self.queue_behind("fee")
        self.host.words = {failed: "failed", omitted: None}
        self.release_together(refs)
        until(lambda: self.ends() == {failed: "given_up", omitted: "given_up"})
        self.assertEqual(sorted(self.host.refs()).count(done), 1)

    def test_refused_messages_are_sent_again_and_the_others_are_not(self):
        refs = self.queue_behind("fee")
        self.host.words = {refs[1]: "refused"}
        self.release_together(refs)
        until(lambda: self.host.refs().count(refs[1]) == 2)
        self.host.words = {}
        self.sender.settled()
        self.assertEqual([self.host.refs().count(ref) for ref in (refs[0], refs[2])], [1, 1])
        self.assertEqual(self.ends(), {})

    def test_a_message_whose_time_runs_out_ends_while_the_call_goes_on(self):
        self.host.held.clear()
        first, _ = self.sender.hand_in("order")
        until(lambda: first in self.host.refs())
        short, _ = self.sender.hand_in("fee", left=1500)
        long, _ = self.sender.hand_in("fee")
        self.host.script.put((200, ()))
        self.host.pass_one()
        until(lambda: [short, long] in self.host.groups or [long, short] in self.host.groups)
        until(lambda: short in self.ends())
        self.host.held.set()
        self.sender.settled()
        self.assertEqual(self.ends(), {short: "given_up"})
        self.assertEqual(self.host.refs().count(long), 1)

    def test_a_lost_connection_after_the_last_byte_means_that_all_may_have_run(self):
        refs = self.queue_behind("fee")
        self.host.script.put((200, ()))
        self.host.script.put(None)
        self.release_together(refs)
        until(lambda: self.ends() == dict.fromkeys(refs, "given_up"))


class OverdueMessages(unittest.TestCase):
    setUp, ends = BulkCalls.setUp, BulkCalls.ends
    settings = {
        **BULK_SETTINGS,
        "services": [{**entry, "promiseS": 0.5} for entry in BULK_SETTINGS["services"]],
        "familyInfo": {**BULK_SETTINGS["familyInfo"], "slots": 4},
        "policyLimits": {**BULK_SETTINGS["policyLimits"], "secondCopies": False},
    }

    def test_an_overdue_message_is_sent_again_only_after_its_call_is_closed(self):
        self.host.held.clear()
        first = [self.sender.hand_in("order")[0] for _ in range(3)]  # as many as one destination may have
        until(lambda: sorted(self.host.refs()) == sorted(first))
        safe, _ = self.sender.hand_in("status")  # awaited for one second
        fee, _ = self.sender.hand_in("fee", left=6000)  # awaited to its deadline, since it must not run twice
        for _ in first:
            self.host.script.put((200, ()))
        self.host.pass_one()
        until(lambda: sorted(self.host.groups[-1]) == sorted([safe, fee]))
        until(lambda: self.host.refs().count(safe) == 2)
        (at, _, _), (again, _, _) = self.host.calls[3:]
        # The call was closed at the deadline of 'fee', not when 'status' became overdue.
        self.assertGreater(again - at, 4.0)
        self.host.held.set()
        self.sender.settled()
        self.assertEqual((self.host.refs().count(safe), self.host.refs().count(fee)), (2, 1))
        self.assertEqual(self.ends(), {fee: "given_up"})
