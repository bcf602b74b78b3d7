"""How notices of final outcomes are posted to a platform that answers slowly."""

from types import SimpleNamespace

import pytest

from willownotch.net import notices
from willownotch.net.clock import seconds
from willownotch.net.notices import MAX_NOTICE_TIMEOUT, NOTICE_TIMEOUT, Notice, NoticeSender

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
    began_s = platform.now_s
    try:
        platform.platform.pause = lambda span, moves: (_ for _ in ()).throw(InterruptedError)
        platform.send(1)
    except InterruptedError:
        pass
    assert platform.now_s - began_s == pytest.approx(seconds(MAX_NOTICE_TIMEOUT))
