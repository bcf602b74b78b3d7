"""A platform that is steadily slower than a time-out is heard all the same."""

import time

import pytest
from harness import Discovery, Host, Sender, until


class SlowDiscovery(Discovery):
    """Answers each watch so many seconds late, with the list that it has then."""

    late_s = 0.0

    def answer(self, head, body, sock):
        if head.method == "GET":
            time.sleep(self.late_s)
        return super().answer(head, body, sock)


@pytest.mark.parametrize("late_s", [0.2, 0.6, 1.5, 3.0])
def test_a_list_that_always_comes_late_is_known_within_the_grace(late_s):
    """Each watch was given up after 0.5 s, so that an old list was used for ever."""
    old, moved = Host(), Host()
    discovery = SlowDiscovery([old])
    known = discovery.known()
    # The address of the known endpoint is another destination's by now.
    discovery.index = 9
    discovery.entries = [
        {**discovery.entry(5, old, group=8), "since_ms": 5},
        {**discovery.entry(6, moved, group=7), "since_ms": 5},
    ]
    discovery.late_s = late_s
    sender = Sender(discovery, known=known)
    began = time.monotonic()
    try:
        sender.ready()
        until(lambda: sender.hand_in(left=4000)[1].status in (202, 503) and moved.calls, 6.0)
        assert time.monotonic() - began <= 6.0
        wrong = len(old.calls)
        for _ in range(5):
            sender.hand_in(left=4000)
        until(lambda: len(moved.calls) >= 5)
        assert len(old.calls) == wrong
    finally:
        sender.close()
        discovery.close()


def test_a_watch_that_only_trickles_keeps_no_other_from_being_heard():
    class Trickling(SlowDiscovery):
        def answer(self, head, body, sock):
            if head.method == "GET" and not self.watched:
                self.watched.append(head.target)
                for _ in range(60):
                    sock.sendall(b"H")
                    time.sleep(0.05)
                return None
            return super().answer(head, body, sock)

    host = Host()
    discovery = Trickling([host])
    sender = Sender(discovery)
    try:
        sender.ready()
        assert sender.hand_in()[1].status == 202
    finally:
        sender.close()
        discovery.close()
