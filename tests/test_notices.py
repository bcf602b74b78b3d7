"""How notices of final outcomes are posted to a platform that answers slowly."""

import errno
import threading
from types import SimpleNamespace

import pytest
from harness import Discovery, until

from willownotch.net import http, notices
from willownotch.net.clock import Clock, seconds
from willownotch.net.log import Log
from willownotch.net.notices import MAX_NOTICE_TIMEOUT, NOTICE_TIMEOUT, Notice, NoticeSender
from willownotch.net.registry import SHORTAGE_RETRY_DELAY, Platform

NOTICES = 8


class SlowPlatform(NoticeSender):
    """Posts to a platform whose answers take `answer_s` of a simulated clock."""

    def __init__(self, monkeypatch, answer_s):
        self.answer_s, self.now_s, self.posts, self.answered = answer_s, 0.0, 0, []
        platform = SimpleNamespace(moves=0, pause=lambda span, moves: None)
        super().__init__(platform, SimpleNamespace(say=lambda *line: None), self.answered.extend)
        clock = SimpleNamespace(monotonic=lambda: self.now_s)
        monkeypatch.setattr(notices, "time", clock, raising=False)

    def _exchange(self, notices, timeout):
        self.posts += 1
        self.now_s += min(self.answer_s, seconds(timeout))
        if self.answer_s > seconds(timeout):
            raise TimeoutError
        return 204

    def send(self, count):
        """Posts some notices one after the other; returns how many posts that took."""
        before = self.posts
        for number in range(count):
            self._send([Notice(f"m{number}", "given_up")])
        return self.posts - before


def test_a_slow_platform_gets_each_notice_once_after_the_first(monkeypatch):
    # Each notice was given up after 150 and 300 ms again, so that a slow platform got three times as many.
    platform = SlowPlatform(monkeypatch, answer_s=0.4)
    assert platform.send(1) == 3
    assert platform.send(NOTICES) == NOTICES
    assert len(platform.answered) == 1 + NOTICES


def test_a_notice_waits_no_longer_than_before_once_the_platform_is_fast_again(monkeypatch):
    platform = SlowPlatform(monkeypatch, answer_s=0.4)
    platform.send(2)
    platform.answer_s = 0.001
    platform.send(1)
    platform.answer_s = seconds(NOTICE_TIMEOUT) + 0.001
    assert platform.send(1) == 2


def test_a_notice_never_waits_longer_than_the_bound(monkeypatch):
    platform = SlowPlatform(monkeypatch, answer_s=0.9 * seconds(MAX_NOTICE_TIMEOUT))
    platform.send(2)
    platform.answer_s = seconds(MAX_NOTICE_TIMEOUT) + 0.001
    began_s, posts = platform.now_s, platform.posts
    try:
        platform.platform.pause = lambda span, moves: (_ for _ in ()).throw(InterruptedError)
        platform.send(1)
    except InterruptedError:
        pass
    posts = platform.posts - posts
    assert posts == 2  # the second at once, without a pause
    assert platform.now_s - began_s == pytest.approx(posts * seconds(MAX_NOTICE_TIMEOUT))


@pytest.mark.parametrize("number", [errno.ENOMEM, errno.EMFILE, errno.EADDRNOTAVAIL, errno.ENETUNREACH])
def test_a_notice_waits_only_a_moment_for_what_this_machine_lacks(number):
    """With a connection for each post, a socket that was missing once made notices of 30 senders up to half a
    second late: each failure waited for the growing pauses (soak, seed 849)."""

    class ShortOfSockets(Platform):
        failures, pauses = 2, []

        def _connect_once(self):
            if self.failures:
                self.failures -= 1
                raise OSError(number, "for a moment")
            return super()._connect_once()

        def pause(self, span, moves):
            self.pauses.append(span)

    discovery = Discovery()
    platform = ShortOfSockets(("127.0.0.1", discovery.listener.getsockname()[1]))
    answered = []
    NoticeSender(platform, Log(Clock()), answered.extend)._send([Notice("a", "given_up")])
    assert answered == ["a"] and platform.pauses == [SHORTAGE_RETRY_DELAY] * 2
    discovery.close()


class RepeatingDiscovery(Discovery):
    """Answers each post of notices by the bytes that its script has next, else by 204."""

    def __init__(self, script):
        super().__init__()
        self.script, self.asked = list(script), []

    def answer(self, head, body, sock):
        if head.method != "POST":
            return super().answer(head, body, sock)
        self.asked.append(head)
        return self.script.pop(0) if self.script else super().answer(head, body, sock)


TAKEN, REFUSED = http.write_answer(204), http.write_answer(503)


@pytest.mark.parametrize(
    "answer",
    [
        TAKEN + REFUSED,
        REFUSED + TAKEN,
        TAKEN + http.write_answer(400),
        TAKEN + REFUSED[:20],
        TAKEN[:10] + REFUSED,
        http.write_answer(200)[:-8],
        REFUSED,
        None,
    ],
)
def test_a_notice_is_not_over_by_an_answer_in_front_of_its_own(answer):
    """A second copy of a 204 in front of a 503 ended notices that the platform had refused: 15 of 52 lost."""
    discovery = RepeatingDiscovery([answer, answer])
    platform = Platform(("127.0.0.1", discovery.listener.getsockname()[1]))
    answered = []
    sender = NoticeSender(platform, Log(Clock()), answered.extend)
    threading.Thread(target=sender.run, daemon=True).start()
    for ref in ("a", "b"):
        sender.post(Notice(ref, "given_up"))
        until(lambda ref=ref: ref in answered)
    told = {notice["message"] for notice in discovery.notices}
    assert told == {"a", "b"} and len(discovery.asked) >= 4
    assert discovery.connections == len(discovery.asked)  # each post has a connection of its own
    assert not any(head.keeps_alive() for head in discovery.asked)
    discovery.close()


def test_equal_answers_are_as_good_as_one():
    discovery = RepeatingDiscovery([TAKEN + TAKEN])
    platform = Platform(("127.0.0.1", discovery.listener.getsockname()[1]))
    answered = []
    sender = NoticeSender(platform, Log(Clock()), answered.extend)
    threading.Thread(target=sender.run, daemon=True).start()
    sender.post(Notice("a", "given_up"))
    until(lambda: answered == ["a"])
    assert len(discovery.asked) == 1
    discovery.close()
