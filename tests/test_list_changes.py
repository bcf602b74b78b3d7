"""The cost of a list change depends on the entries that it names, not on the size of the list.

The tests count visited entries and measure no times.
"""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from helpers import Sender, sends

from willownotch.interface import Endpoint, EndpointList, Outcome, Readiness, SettingsChanged, Timer
from willownotch.net.config import ListedEndpoint, ListUpdate
from willownotch.net.registry import Hosts

SIZES = (100, 2000)
MAX_VISITED = 50  # entries of small tables that a step on one endpoint may visit, for any size of the list


class CountingDict(dict):
    """A dict that counts the entries visited by iteration."""

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
    """Replace all dicts of an object by counting ones."""
    for name, table in vars(owner).items():
        if type(table) is dict:
            setattr(owner, name, CountingDict(table, counts))


def visited_by(counts, step):
    """The number of entries that a step visits."""
    counts.clear()
    step()
    return len(counts)


def module_steps(size, **changes):
    """Entries visited by each step of a decision module with `size` endpoints, one per destination."""
    sender, counts = Sender([(n, n, 0, 0) for n in range(size)], **changes), []
    watch(sender.control.store, counts)

    def news(readiness):
        return EndpointList((Endpoint(5, 5, 0, 0, readiness, rate=3.0),), False)

    def play(outcome, **report):
        out = sends(sender.step(sender.message(dest=5), after=0.5))
        sent = out or sends(sender.step(Timer(1), after=5.0))
        more = sends(sender.step(sender.ended(sent[0], outcome, **report), after=0.1))
        while outcome is Outcome.DELIVERED and more:  # held messages too: a call in flight keeps its route
            more = sends(sender.step(*[sender.ended(call, outcome) for call in more], after=0.1))

    found, route = {}, sender.control.store.routes[5]
    found["drained"] = visited_by(counts, lambda: sender.step(news(Readiness.DRAINING), after=1.0))
    found["back"] = visited_by(counts, lambda: sender.step(news(Readiness.SERVING), after=1.0))
    found["a requested wait"] = visited_by(counts, lambda: play(Outcome.REJECTED, wait=4.0))
    assert route.returned_at is not None
    found["failures"] = visited_by(counts, lambda: [play(Outcome.UNREACHABLE) for _ in range(2)])
    assert route.failing
    found["a return"] = visited_by(counts, lambda: play(Outcome.DELIVERED))
    assert not route.failing
    found["gone"] = visited_by(counts, lambda: sender.step(news(Readiness.GONE), after=1.0))
    assert len(sender.control.store.routes) == size - 1
    found["new"] = visited_by(counts, lambda: sender.step(news(Readiness.SERVING), after=1.0))
    return found


@pytest.mark.parametrize("listed_rates", [False, True])
def test_a_change_costs_the_decision_module_nothing_for_endpoints_that_it_does_not_name(listed_rates):
    """A change of one endpoint took 0.3 ms with 1,000 listed and 100 ms with 60,000: all routes were visited
    to find those to forget, their rates, and those in the pool of a failing one."""
    few, many = (module_steps(size, listed_rates=listed_rates) for size in SIZES)
    assert few == many
    assert max(many.values()) < MAX_VISITED


class ManualClock:
    """A clock that the test sets."""

    at = datetime(2026, 1, 1, tzinfo=UTC)

    def now(self):
        return self.at


def entry(n, status="Ready", address=None, since_ms=0):
    address = address or f"127.0.{n >> 8}.{n & 255}:7000"
    return ListedEndpoint(f"s-{n}", address, n, status, "one", since_ms=since_ms)


def hosts_steps(size):
    """Entries visited by each step of the host table with `size` hosts, one per destination."""
    clock, counts = ManualClock(), []
    hosts = Hosts(("one",), ("here",), clock, None)
    hosts.read(ListUpdate(1, True, [entry(n) for n in range(size)]))
    watch(hosts, counts)

    def read(*entries, after=1):
        clock.at += timedelta(seconds=after)
        return visited_by(counts, lambda: hosts.read(ListUpdate(2, False, list(entries))))

    return {
        "drained": read(entry(5, "Terminating")),
        "back": read(entry(5)),
        "gone": read(entry(5, "Gone")),
        "new": read(entry(size)),
        "at another's address": read(entry(size + 1, address=entry(6).address, since_ms=1)),
        "forgotten": read(entry(7), after=61),
        "listed": visited_by(counts, lambda: hosts.listed(size - 1)),
        "not listed": visited_by(counts, lambda: hosts.listed(5)),
        "found": visited_by(counts, lambda: hosts.number_listed(f"s-{size - 1}")),
    }


def test_a_change_costs_the_host_table_nothing_for_hosts_that_it_does_not_name():
    """Each change visited all hosts several times, and each message twice to check its destination."""
    few, many = (hosts_steps(size) for size in SIZES)
    assert few == many
    assert max(many.values()) < MAX_VISITED


def test_hosts_are_found_as_the_list_has_them_now():
    clock = ManualClock()
    hosts = Hosts(("one",), ("here",), clock, None)
    hosts.read(ListUpdate(1, True, [entry(1), entry(2)]))
    assert (hosts.listed(1), hosts.listed(3), hosts.number_listed("s-2")) == (True, False, 2)
    hosts.read(ListUpdate(2, False, [entry(3, address=entry(2).address, since_ms=1)]))  # 3 takes 2's address
    assert (hosts.listed(2), hosts.listed(3), hosts.number_listed("s-2")) == (False, True, None)
    news, left = hosts.read(ListUpdate(3, False, [entry(2, since_ms=2)]))  # and 2 has it again
    assert ([e.readiness for e in news.entries], left) == ([Readiness.SERVING, Readiness.GONE], [3])
    after = Hosts(("one",), ("here",), clock, None)
    after.adopt(hosts.state())
    hosts.read(ListUpdate(4, True, [entry(1)]))
    assert [hosts.listed(n) for n in (1, 2, 3)] == [True, False, False]
    news, left = after.read(ListUpdate(4, False, [entry(4, address=entry(2).address, since_ms=3)]))
    assert [after.listed(n) for n in (1, 2, 3, 4)] == [True, False, False, True]
    assert ([e.readiness for e in news.entries], left) == ([Readiness.SERVING, Readiness.GONE], [2])


def test_an_endpoint_that_changes_destination_gets_a_new_route():
    """It stayed a route of its first destination, and its removal raised an exception in the module."""
    sender = Sender([(1, 1, 0, 0), (2, 2, 0, 0)])
    out = sends(sender.step(sender.message(dest=1)))
    sender.step(sender.listed([(1, 2, 0, 0)], whole=False), after=0.1)
    store = sender.control.store
    assert {n: sorted(d.routes) for n, d in store.destinations.items()} == {1: [], 2: [1, 2]}
    sender.step(sender.ended(out[0], Outcome.DELIVERED), after=0.1)
    assert store.slots_used == 0
    for number in (1, 2):
        sender.step(EndpointList((Endpoint(number, 2, 0, 0, Readiness.GONE),), False), after=0.1)
    assert not store.routes
    assert not sends(sender.step(sender.message(dest=2), after=0.1))


def test_a_gone_route_is_forgotten_at_the_first_list_update_after_its_last_call():
    sender = Sender([(1, 1, 0, 0), (2, 2, 0, 0)])
    out = sends(sender.step(sender.message(dest=1)))
    sender.step(sender.listed([(2, 2, 0, 0)]), after=0.1)  # a whole list without it
    store = sender.control.store
    assert sorted(store.routes) == [1, 2]
    sender.step(sender.ended(out[0], Outcome.DELIVERED), after=0.1)
    sender.step(EndpointList((), False), after=0.1)
    assert (sorted(store.routes), store.gone) == ([2], {})


def test_listed_rates_apply_once_the_settings_enable_them():
    """Also those of entries that no later update names."""
    sender = Sender([(1, 1, 0, 0)])
    sender.step(EndpointList((Endpoint(1, 1, 0, 0, rate=30.0),), False))
    pool = sender.control.store.routes[1].pool
    assert pool.limit == 0.0
    sender.step(SettingsChanged(replace(sender.settings, listed_rates=True)))
    assert pool.limit == 30.0
