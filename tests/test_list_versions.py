"""Older versions of the endpoint list: second copies of earlier lines, and a platform that counts anew."""

import json

import pytest
from harness import Discovery, Host, Sender, until

from willownotch.net.config import ListUpdate
from willownotch.net.list_versions import ListVersions, StaleListError

WHOLE, CHANGE = True, False


def taken(versions, *updates):
    """What becomes of the updates of one watch: True, or False for the one that ends it."""
    versions.begin_watch()
    found = []
    for index, whole in updates:
        try:
            versions.take(ListUpdate(index, whole, []))
        except StaleListError:
            return [*found, False]
        found.append(True)
    return found


def test_a_lower_version_behind_a_higher_one_ends_the_watch():
    versions = ListVersions(1)
    assert taken(versions, (1, WHOLE), (2, CHANGE), (2, CHANGE), (5, CHANGE)) == [True] * 4
    assert taken(versions, (5, CHANGE), (7, CHANGE), (6, CHANGE)) == [True, True, False]
    assert taken(versions, (7, WHOLE), (1, WHOLE)) == [True, False]
    assert versions.index == 7


def test_a_lower_whole_list_is_taken_if_two_watches_in_a_row_begin_with_one():
    versions = ListVersions(9)
    assert taken(versions, (2, WHOLE)) == [False]
    assert taken(versions, (2, WHOLE), (3, CHANGE)) == [True, True] and versions.index == 3
    versions = ListVersions(9)
    assert taken(versions, (2, WHOLE)) == [False]
    assert taken(versions, (9, WHOLE)) == [True]  # the one before was a copy
    assert taken(versions, (2, WHOLE)) == [False] and versions.index == 9


def test_changes_up_to_a_lower_version_are_never_taken():
    versions = ListVersions(9)
    assert [taken(versions, (2, CHANGE)) for _ in range(3)] == [[False]] * 3 and versions.index == 9


def test_another_platform_counts_its_own_versions():
    versions = ListVersions(9)
    versions.forget()
    assert taken(versions, (2, WHOLE)) == [True]


@pytest.fixture
def parts():
    hosts = [Host(), Host()]
    discovery = Discovery(hosts)
    sender = Sender(discovery).ready()
    yield hosts, discovery, sender
    sender.close()
    for server in (*hosts, discovery):
        server.close()


def test_an_older_line_of_a_watch_brings_no_terminating_endpoint_back(parts):
    """A second copy of the first line was taken for news: calls went to an endpoint that was Terminating."""
    (drained, other), discovery, sender = parts
    older = json.dumps(discovery.known())
    discovery.change(0, drained, "Terminating")
    discovery.entries = [discovery.entry(0, drained, "Terminating"), discovery.entry(1, other)]
    discovery.tell(older)
    until(lambda: any("version 1 came behind version 2" in line for line in sender.lines))
    until(lambda: len(discovery.watched) > 1)
    assert discovery.watched[1].endswith("from=2")
    for _ in range(6):
        assert sender.hand_in()[1].status == 202
    until(lambda: len(other.calls) == 6)
    assert not drained.calls


def test_a_platform_that_counts_anew_is_believed_when_it_says_so_twice(parts):
    """Its list would otherwise be kept out for as long as its versions are lower."""
    (gone, other), discovery, sender = parts
    discovery.index = 9
    discovery.tell(json.dumps(discovery.known()))
    until(lambda: sender.hand_in()[1].status == 202)
    discovery.index, discovery.entries = 3, [discovery.entry(1, other)]
    before = len(discovery.watched)
    discovery.tell("}")  # breaks the watch
    until(lambda: len(discovery.watched) >= before + 2)
    until(lambda: sum("a list of version 3 in place of 9" in line for line in sender.lines) == 1)
    sender.settled()
    calls = len(gone.calls)
    for _ in range(4):
        assert sender.hand_in()[1].status == 202
    sender.settled()
    assert len(gone.calls) == calls
