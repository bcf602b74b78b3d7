"""Several messages in one call, with a real sender: one end for each, whatever becomes of the call."""

import threading
import unittest

from harness import SETTINGS, Discovery, Host, Sender, until

MANY = {**SETTINGS, "familyInfo": {**SETTINGS["familyInfo"], "slots": 2, "kindBatch": [3]}}


class Partner(Host):
    """Takes single calls and calls of several; `said` has the word for a message, None for no line."""

    def __init__(self):
        self.said, self.groups = {}, []
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
        words = [(ref, self.said.get(ref, "delivered")) for ref in refs]
        text = "".join(f"{ref} {word}\r\n" for ref, word in words if word).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)

    def pass_one(self):
        """Answer what is held now, and hold what comes next."""
        self.held.set()
        self.held = threading.Event()

    def refs(self):
        return [ref for group in self.groups for ref in group]


class Together(unittest.TestCase):
    settings = MANY

    def setUp(self):
        self.host = Partner()
        self.discovery = Discovery([self.host])
        self.sender = Sender(self.discovery)
        text = {**self.sender.text, "settings": self.settings}
        self.sender.close()
        self.sender = Sender(text={**text, "discovery": self.discovery.address})
        for thing in (self.host, self.discovery, self.sender):
            self.addCleanup(thing.close)
        self.addCleanup(self.host.held.set)
        self.sender.ready()

    def behind(self, cls, count=3, **more):
        """Messages held behind one whose call is out; they go together once it is answered."""
        self.host.held.clear()
        first, _ = self.sender.hand_in("order")
        until(lambda: first in self.host.refs())
        refs = [self.sender.hand_in(cls, **more)[0] for _ in range(count)]
        self.assertEqual(self.host.refs(), [first])
        return refs

    def together(self, refs):
        self.host.held.set()
        until(lambda: any(sorted(group) == sorted(refs) for group in self.host.groups))

    def ends(self):
        return {n["message"]: n["outcome"] for n in self.discovery.notices}

    def test_what_is_held_goes_in_one_call_on_one_connection(self):
        refs = self.behind("order")
        self.together(refs)
        self.sender.settled()
        self.assertEqual((len(self.host.groups), self.host.connections, self.ends()), (2, 1, {}))

    def test_each_ends_as_the_answer_says_of_it(self):
        done, failed, unsaid = refs = self.behind("fee")
        self.host.said = {failed: "failed", unsaid: None}
        self.together(refs)
        until(lambda: self.ends() == {failed: "given_up", unsaid: "given_up"})
        self.assertEqual(sorted(self.host.refs()).count(done), 1)

    def test_refused_ones_go_again_and_the_others_do_not(self):
        refs = self.behind("fee")
        self.host.said = {refs[1]: "refused"}
        self.together(refs)
        until(lambda: self.host.refs().count(refs[1]) == 2)
        self.host.said = {}
        self.sender.settled()
        self.assertEqual([self.host.refs().count(ref) for ref in (refs[0], refs[2])], [1, 1])
        self.assertEqual(self.ends(), {})

    def test_one_whose_time_runs_out_ends_while_the_call_goes_on(self):
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

    def test_a_break_after_the_last_byte_leaves_all_as_perhaps_run(self):
        refs = self.behind("fee")
        self.host.script.put((200, ()))
        self.host.script.put(None)
        self.together(refs)
        until(lambda: self.ends() == dict.fromkeys(refs, "given_up"))


class Waiting(unittest.TestCase):
    setUp, ends = Together.setUp, Together.ends
    settings = {
        **MANY,
        "services": [{**entry, "promiseS": 0.5} for entry in MANY["services"]],
        "familyInfo": {**MANY["familyInfo"], "slots": 4},
        "policyLimits": {**MANY["policyLimits"], "secondCopies": False},
    }

    def test_one_that_is_not_waited_for_is_sent_again_only_once_its_call_is_closed(self):
        self.host.held.clear()
        first = [self.sender.hand_in("order")[0] for _ in range(3)]  # all that one partner may have
        until(lambda: sorted(self.host.refs()) == sorted(first))
        safe, _ = self.sender.hand_in("status")  # waited for for a second
        fee, _ = self.sender.hand_in("fee", left=6000)  # until its end: it may not run twice
        for _ in first:
            self.host.script.put((200, ()))
        self.host.pass_one()
        until(lambda: sorted(self.host.groups[-1]) == sorted([safe, fee]))
        until(lambda: self.host.refs().count(safe) == 2)
        (at, _, _), (again, _, _) = self.host.calls[3:]
        self.assertGreater(again - at, 4.0)  # with the fee's time, which closed the call, not with its own
        self.host.held.set()
        self.sender.settled()
        self.assertEqual((self.host.refs().count(safe), self.host.refs().count(fee)), (2, 1))
        self.assertEqual(self.ends(), {fee: "given_up"})
