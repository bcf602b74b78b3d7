"""The list of known failures: what an entry looks like, and which test it means."""

import pytest
from conftest import known_red, names


def test_an_entry_is_what_to_run_what_was_seen_and_an_issue():
    assert known_red("a, seed 3 | fell | 7\n\nb | hung | 8\n") == [
        ["a, seed 3", "fell", "7"],
        ["b", "hung", "8"],
    ]
    for wrong in ("a | fell", "a | | 7", "a | fell | 7 | more"):
        with pytest.raises(pytest.UsageError):
            known_red(wrong)


def test_an_entry_means_the_test_it_names_and_no_longer_one():
    assert names("tests/x.py::t[a, b], seed 3", "tests/x.py::t[a, b]")
    assert names("tests/x.py::t", "tests/x.py::t")
    assert names("tests/x.py::t, seed 3", "tests/x.py::t[a]")
    assert not names("tests/x.py::t[b]", "tests/x.py::t[a]")
    assert not names("tests/x.py::test_longer", "tests/x.py::test")
