"""What a change of the list costs: by what it names, not by all that is listed. Counted, not timed."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from helpers import Sender, sends

from willownotch.interface import Endpoint, EndpointList, Outcome, Readiness, SettingsChanged, Timer
from willownotch.net.config import ListedEndpoint, ListUpdate
from willownotch.net.registry import Hosts

SIZES = (100, 2000)
MOST = 50  # entries of small tables that a step on one endpoint walks over, whatever is listed


class Walked(dict):
    """A table that counts the entries which it hands out one after the other."""

    def __init__(self, table, counts):
        super().__init__(table)
        self.counts = counts

    def counted(self, each):
        for one in each:
            self.counts.append(1)
            yield one

    def __iter__(self):
        return self.counted(super().__iter__())

    def keys(self):
        return self.counted(super().keys())

    def values(self):
        return self.counted(super().values())

    def items(self):
        return self.counted(super().items())


def watch(owner, counts):
    """Have all tables of an object count what is walked over."""
    for name, table in vars(owner).items():
        if type(table) is dict:
            setattr(owner, name, Walked(table, counts))


def walked_by(counts, step):
    """How many entries a step walks over."""
    counts.clear()
    step()
    return len(counts)


def module_steps(size, **changes):
    """Entries walked over by each step of a module with so many endpoints, one a destination."""
    sender, counts = Sender([(n, n, 0, 0) for n in range(size)], **changes), []
    watch(sender.control.store, counts)

    def news(readiness):
        return EndpointList((Endpoint(5, 5, 0, 0, readiness, rate=3.0),), False)

    def play(outcome, **told):
        out = sends(sender.step(sender.message(dest=5), after=0.5))
        sent = out or sends(sender.step(Timer(1), after=5.0))
        more = sends(sender.step(sender.ended(sent[0], outcome, **told), after=0.1))
        while outcome is Outcome.DELIVERED and more:  # what was held, too: a call that is out keeps its route
            more = sends(sender.step(*[sender.ended(call, outcome) for call in more], after=0.1))

    found, route = {}, sender.control.store.routes[5]
    found["drained"] = walked_by(counts, lambda: sender.step(news(Readiness.DRAINING), after=1.0))
    found["back"] = walked_by(counts, lambda: sender.step(news(Readiness.SERVING), after=1.0))
    found["a told wait"] = walked_by(counts, lambda: play(Outcome.REJECTED, wait=4.0))
    assert route.back_at is not None
    found["failures"] = walked_by(counts, lambda: [play(Outcome.UNREACHABLE) for _ in range(2)])
    assert route.failing
    found["a return"] = walked_by(counts, lambda: play(Outcome.DELIVERED))
    assert not route.failing
    found["gone"] = walked_by(counts, lambda: sender.step(news(Readiness.GONE), after=1.0))
    assert len(sender.control.store.routes) == size - 1
    found["new"] = walked_by(counts, lambda: sender.step(news(Readiness.SERVING), after=1.0))
    return found


@pytest.mark.parametrize("listed_rates", [False, True])
def test_a_change_costs_the_module_nothing_for_the_endpoints_that_it_does_not_name(listed_rates):
    """A change of one endpoint took 0.3 ms at 1,000 and 100 ms at 60,000: all routes were looked at for those
    that may be forgotten, for their rates, and for those that share a limit with a failing one."""
    few, many = (module_steps(size, listed_rates=listed_rates) for size in SIZES)
    assert few == many
    assert max(many.values()) < MOST


class Hand:
    """A clock that is moved by hand."""

    at = datetime(2026, 1, 1, tzinfo=UTC)

    def now(self):
        return self.at


def entry(n, status="Ready", address=None, since_ms=0):
    address = address or f"127.0.{n >> 8}.{n & 255}:7000"
    return ListedEndpoint(f"s-{n}", address, n, status, "one", since_ms=since_ms)


def hosts_steps(size):
    """Entries walked over by each step of the owner's table with so many hosts, one a destination."""
    clock, counts = Hand(), []
    hosts = Hosts(("one",), ("here",), clock, None)
    hosts.read(ListUpdate(1, True, [entry(n) for n in range(size)]))
    watch(hosts, counts)

    def read(*entries, after=1):
        clock.at += timedelta(seconds=after)
        return walked_by(counts, lambda: hosts.read(ListUpdate(2, False, list(entries))))

    return {
        "drained": read(entry(5, "Terminating")),
        "back": read(entry(5)),
        "gone": read(entry(5, "Gone")),
        "new": read(entry(size)),
        "at another's address": read(entry(size + 1, address=entry(6).address, since_ms=1)),
        "forgotten": read(entry(7), after=61),
        "listed": walked_by(counts, lambda: hosts.listed(size - 1)),
        "not listed": walked_by(counts, lambda: hosts.listed(5)),
        "found": walked_by(counts, lambda: hosts.number_listed(f"s-{size - 1}")),
    }


def test_a_change_costs_the_owner_nothing_for_the_hosts_that_it_does_not_name():
    """Each change went several times through all hosts, and each message twice: is its destination listed?"""
    few, many = (hosts_steps(size) for size in SIZES)
    assert few == many
    assert max(many.values()) < MOST


def test_hosts_are_counted_and_found_by_what_the_list_has_now():
    clock = Hand()
    hosts = Hosts(("one",), ("here",), clock, None)
    hosts.read(ListUpdate(1, True, [entry(1), entry(2)]))
    assert (hosts.listed(1), hosts.listed(3), hosts.number_listed("s-2")) == (True, False, 2)
    hosts.read(ListUpdate(2, False, [entry(3, address=entry(2).address, since_ms=1)]))  # takes its address
    assert (hosts.listed(2), hosts.listed(3), hosts.number_listed("s-2")) == (False, True, None)
    news, left = hosts.read(ListUpdate(3, False, [entry(2, since_ms=2)]))  # and has it again
    assert ([e.readiness for e in news.entries], left) == ([Readiness.SERVING, Readiness.GONE], [3])
    after = Hosts(("one",), ("here",), clock, None)
    after.adopt(hosts.state())
    hosts.read(ListUpdate(4, True, [entry(1)]))
    assert [hosts.listed(n) for n in (1, 2, 3)] == [True, False, False]
    news, left = after.read(ListUpdate(4, False, [entry(4, address=entry(2).address, since_ms=3)]))
    assert [after.listed(n) for n in (1, 2, 3, 4)] == [True, False, False, True]
    assert ([e.readiness for e in news.entries], left) == ([Readiness.SERVING, Readiness.GONE], [2])


def test_an_endpoint_that_is_another_destinations_now_is_another_route():
    """It stayed a route of its first destination under the second's number: once gone, it ended all."""
    sender = Sender([(1, 1, 0, 0), (2, 2, 0, 0)])
    out = sends(sender.step(sender.message(dest=1)))
    sender.step(sender.listed([(1, 2, 0, 0)], whole=False), after=0.1)
    book = sender.control.store
    assert {n: sorted(d.routes) for n, d in book.destinations.items()} == {1: [], 2: [1, 2]}
    sender.step(sender.ended(out[0], Outcome.DELIVERED), after=0.1)
    assert book.slots_used == 0
    for number in (1, 2):
        sender.step(EndpointList((Endpoint(number, 2, 0, 0, Readiness.GONE),), False), after=0.1)
    assert not book.routes
    assert not sends(sender.step(sender.message(dest=2), after=0.1))


def test_a_route_that_is_gone_is_forgotten_by_the_news_after_its_last_call():
    sender = Sender([(1, 1, 0, 0), (2, 2, 0, 0)])
    out = sends(sender.step(sender.message(dest=1)))
    sender.step(sender.listed([(2, 2, 0, 0)]), after=0.1)  # a whole list without it
    book = sender.control.store
    assert sorted(book.routes) == [1, 2]
    sender.step(sender.ended(out[0], Outcome.DELIVERED), after=0.1)
    sender.step(EndpointList((), False), after=0.1)
    assert (sorted(book.routes), book.leaving) == ([2], {})


def test_rates_of_the_list_count_once_the_settings_say_so():
    """Also those of entries that no news names again."""
    sender = Sender([(1, 1, 0, 0)])
    sender.step(EndpointList((Endpoint(1, 1, 0, 0, rate=30.0),), False))
    unit = sender.control.store.routes[1].unit
    assert unit.told_limit == 0.0
    sender.step(SettingsChanged(replace(sender.settings, listed_rates=True)))
    assert unit.told_limit == 30.0
