"""The list of known failures: the format of an entry, and which test it names."""

import pytest
from conftest import known_red, matches


def test_an_entry_has_a_test_what_was_seen_and_an_issue():
    assert known_red("a, seed 3 | fell | 7\n\nb | hung | 8\n") == [
        ["a, seed 3", "fell", "7"],
        ["b", "hung", "8"],
    ]
    for wrong in ("a | fell", "a | | 7", "a | fell | 7 | more"):
        with pytest.raises(pytest.UsageError):
            known_red(wrong)


def test_an_entry_does_not_match_a_longer_test_name():
    assert matches("tests/x.py::t[a, b], seed 3", "tests/x.py::t[a, b]")
    assert matches("tests/x.py::t", "tests/x.py::t")
    assert matches("tests/x.py::t, seed 3", "tests/x.py::t[a]")
    assert not matches("tests/x.py::t[b]", "tests/x.py::t[a]")
    assert not matches("tests/x.py::test_longer", "tests/x.py::test")
