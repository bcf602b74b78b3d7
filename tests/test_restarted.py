"""Messages and attempts from before a restart, and calls shortly before the process is stopped."""

import unittest
from datetime import UTC, datetime, timedelta

from helpers import KEYED, ORDERED, SAFE, UNSAFE, Sender, answers, sends

from willownotch.interface import Endpoint, EndpointList, Fail, Outcome, PastAttempt, Refuse, Stopping, Timer
from willownotch.journal.records import AcceptedMessage, Entry
from willownotch.net.delivery import soonest_first


class Restarted(unittest.TestCase):
    def recovered(self, cls, past, **more):
        sender = Sender(**more)
        message = sender.message(cls, key="k" if cls is ORDERED else None)
        values = {name: getattr(message, name) for name in message.__slots__} | {
            "past": past,
            "is_retry": True,
        }
        sender.tries[message.ref] = len(past) - 1
        return sender, type(message)(**values)

    def test_what_may_have_run_counts_as_before_the_restart(self):
        ran, never = PastAttempt(1, 3.0, True), PastAttempt(1, 3.0, False)
        old = PastAttempt(99, 11.0, True)  # before the dedup window, at an endpoint that is no longer listed
        table = [
            (UNSAFE, (ran,), Fail),
            (UNSAFE, (never,), None),
            (SAFE, (ran, ran), None),
            (KEYED, (ran,), None),
            (KEYED, (old,), Refuse),
            (SAFE, (never,) * 8, Refuse),
            (UNSAFE, (never, ran), Fail),
        ]
        for cls, past, ending in table:
            with self.subTest(cls=cls.name, past=past):
                sender, message = self.recovered(cls, past)
                out = sender.step(message)
                self.assertEqual([type(a) for a in answers(out)], [ending] if ending else [])
                self.assertEqual(len(sends(out)), 0 if ending else 1)

    def test_messages_found_by_a_restart_go_in_order_of_deadline_among_equals(self):
        """They arrive in one round; in journal order those with the least time left missed their deadline."""
        ends = datetime(2026, 12, 2, tzinfo=UTC)
        rows = [("a", None, 9), ("b", "k", 8), ("c", None, 7), ("d", "k", 5), ("e", None, 8)]
        found = [
            Entry(AcceptedMessage(ref, 1, "x", "", ends + timedelta(seconds=left), key), 0)
            for ref, key, left in rows
        ]
        refs = [entry.message.ref for entry in soonest_first(found)]
        self.assertEqual(refs, ["b", "d", "c", "e", "a"])  # by key in order of arrival
        sender = Sender(slots=1)
        messages = {ref: sender.message(SAFE) for ref in refs}
        out, order = sender.step(*messages.values()), []
        while len(order) < len(refs):
            for sent in sends(out):
                order.append(sent.ref)
                out = sender.step(sender.ended(sent, Outcome.DELIVERED), after=0.1)
        self.assertEqual(order, [message.ref for message in messages.values()])

    def test_attempts_are_numbered_on_from_those_before_the_restart(self):
        sender, message = self.recovered(SAFE, (PastAttempt(1, 1.0, False),) * 2)
        sent = sends(sender.step(message))[0]
        sender.step(sender.ended(sent, Outcome.DELIVERED))
        self.assertEqual(sender.control.store.jobs, {})
        self.assertEqual(sender.control.store.slots_used, 0)

    def test_a_key_stays_quiet_after_a_restart_while_an_attempt_may_still_run(self):
        sender, message = self.recovered(ORDERED, (PastAttempt(1, 0.2, True),), max_attempts=1)
        out = sender.step(message, sender.message(ORDERED, key="k"))
        self.assertEqual(len(answers(out)), 1)
        while not sends(out) and sender.now < 3:
            out = sender.tick()
        self.assertGreaterEqual(sender.now, 0.5)

    def test_no_unsafe_attempt_starts_that_the_stop_could_cut_off(self):
        sender = Sender()
        sender.step(EndpointList((Endpoint(1, 1, 0, 0),), True), Stopping(3.5))
        self.assertEqual(len(sends(sender.step(sender.message(UNSAFE), after=1.0))), 1)
        self.assertEqual(sends(sender.step(sender.message(UNSAFE), at=1.6)), [])
        self.assertEqual(len(sends(sender.step(sender.message(KEYED), Timer(1), after=0.1))), 1)
