"""Evidence from silent idle connections and from refusals."""

import unittest

from helpers import UNSAFE, Sender, sends

from willownotch.interface import CloseIdle, Outcome


class Silence(unittest.TestCase):
    def closes_elsewhere(self, fresh):
        """Whether idle connections to 3 are closed after a silent call to 1 and a new connection there."""
        rows = [(1, 1, 0, 0), (2, 2, 0, 0), (3, 3, 0, 0)]
        sender = Sender(rows=rows, keepalive_s=10.0, handshake_price=0.04)
        for dest in (1, 2, 3):
            sender.serve(1, dest=dest)
        lost = sends(sender.step(sender.message(UNSAFE, dest=1), after=3.0))[0]
        sender.step(sender.ended(lost, Outcome.TIMED_OUT), after=0.1)
        route = sender.control.store.routes[1]
        route.idle_since = -100.0  # kept connections are closed by now, so the next one is new
        new = sends(sender.step(sender.message(UNSAFE, dest=1), after=0.5))[0]
        sender.step(sender.ended(new, fresh, took=1.5), after=1.5)
        return CloseIdle(3) in sender.step(sender.message(UNSAFE, dest=3), after=0.5)

    def test_an_endpoint_where_new_connections_fail_too_dropped_nothing(self):
        """If one kind was silent, idle connections to all were closed, and most calls opened a new one."""
        table = [(Outcome.UNREACHABLE, False), (Outcome.TIMED_OUT, False), (Outcome.DELIVERED, True)]
        for fresh, closes in table:
            with self.subTest(fresh=fresh):
                self.assertEqual(self.closes_elsewhere(fresh), closes)


class Refusals(unittest.TestCase):
    def test_a_refusal_that_reports_a_used_up_limit_is_no_outage(self):
        """A destination at its limit was judged to be out, and calls to it were limited for many seconds."""
        table = [(4.0, 0.0, False), (0.0, 0.0, True), (None, None, True), (4.0, 0.9, True)]
        for limit, room, failing in table:
            sender = Sender()
            for _ in range(12):
                sent = sends(sender.step(sender.message(), after=2.0))
                report = {"room_left": room, "limit_per_s": limit}
                refusals = [sender.ended(s, Outcome.REJECTED, **report) for s in sent]
                sender.step(*refusals, after=0.1)
            with self.subTest(limit=limit, room=room):
                self.assertEqual(sender.control.store.routes[1].failing, failing)
