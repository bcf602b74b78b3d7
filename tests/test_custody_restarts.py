"""A sender that comes back is not taken for the one that had gone: nothing that others own runs twice."""

from types import SimpleNamespace

from willownotch.journal.records import Custody
from willownotch.replica.service import CustodyService


def test_a_book_that_was_lost_right_behind_a_start_is_still_of_the_former_process():
    """Its messages were taken for the process's own, and sent, since the book had left the store by then."""
    service = object.__new__(CustodyService)
    service.store = SimpleNamespace(
        books={"b": (SimpleNamespace(unheard=False), 1)}, disowned_books=set(), terms={}, copies={}, ended={}
    )
    service.store.open = lambda: None
    service.core = SimpleNamespace(restore=lambda *state: None)
    service._order = {}
    service.open({}, ())
    service.store.books.clear()  # another owner's frame came before the journal was recovered
    assert service.is_of_former_process(Custody("b", 1))
    assert not service.is_of_former_process(Custody("other", 1))
