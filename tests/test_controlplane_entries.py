"""Entries of the control plane: their text form, their types, and the overlay over a configuration file."""

import json

import msgspec
import pytest
from harness import SETTINGS

from willownotch.controlplane import entries
from willownotch.controlplane.document import Change, Commit, Document, DocumentError
from willownotch.controlplane.entries import EntriesError, overlay, parse, unparse
from willownotch.net.config import ConfigError, read_config

FILE = {
    "settings": SETTINGS,
    "listen": "127.0.0.1:0",
    "state": "s",
    "discovery": "127.0.0.1:1",
    "limits": {"sockets": 512},
}
TEXT = json.dumps(FILE).encode()


def overlaid(text):
    return read_config(TEXT, {}, overlay=lambda file: overlay(file, parse(text)))


def test_entries_override_the_file_and_keep_the_rest_of_it():
    found = overlaid("""
# a comment
config/settings/policyLimits/maxAttempts 3
config/settings/services/fee/credit   7.5
config/settings/orgs/blue {"quotaPerS": 20}
config/discovery "127.0.0.1:9"
config/limits/sockets 256
data/anything {"a": [1, "#"]}
""")
    base = read_config(TEXT, {})
    assert found.settings.max_attempts == 3
    worth = [(c.name, c.worth) for c in found.settings.classes]
    assert worth == [("order", 1.0), ("status", 1.0), ("fee", 7.5)]
    assert [t.name for t in found.settings.tenants] == ["acme", "blue"]
    assert found.discovery == ("127.0.0.1", 9)
    assert found.limits.sockets == 256
    assert found.settings.slots == base.settings.slots
    assert found.keys == base.keys  # those of the file, so that removing an entry leaves no key missing


def test_a_named_object_replaces_the_old_one_and_null_removes_it():
    fee = {**SETTINGS["services"][2], "credit": 9.0}
    del fee["name"]
    found = overlaid(
        f"config/settings/services/fee {json.dumps(fee)}\nconfig/settings/services/status null\n"
        "config/settings/services/order/credit 2\n"
    )
    assert [(c.name, c.worth) for c in found.settings.classes] == [("order", 2.0), ("fee", 9.0)]


def test_a_part_of_an_object_that_the_file_lacks_is_invalid():
    with pytest.raises(ConfigError):
        overlaid("config/settings/services/new/credit 2\n")


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("config/settings/policyLimits/maxAttempts 2.5", "2:42: Expected `int`, got `float`"),
        ('config/settings/policyLimits/maxAttempts "3"', "2:42: Expected `int`, got `str`"),
        (
            "config/settings/policyLimits/maxAttemps 3",
            "2:1: unknown key 'maxAttemps' (did you mean 'maxAttempts'?)",
        ),
        ("config/settings/policyLimits 3", "2:1: a group of keys"),
        ("config/settings/services [1]", "2:1: a group of keys"),
        ("config/settings/slots/x 3", "2:1: unknown key 'slots'"),
        ("config/settings/periodS/x 3", "2:1: nothing lies below 'config/settings/periodS'"),
        ('config/listen "127.0.0.1:1"', "2:1: 'listen' is a setting of each machine"),
        ("config/limits/disk_mb 5", "2:1: 'limits/disk_mb' is a setting of each machine"),
        ("config/settings/models []", "2:1: 'settings/models' is a setting of each machine"),
        ('config/settings/services/fee {"credit": 1}', "2:30: Object missing required field"),
        ('config/settings/services/fee {"name": "fees"}', "2:30: the object is named 'fees', wanted: 'fee'"),
        ('config/settings/orgs/a {"quota": 1}', "2:24: unknown key 'quota', allowed: name, quotaPerS"),
        ("config/settings/policyLimits/maxAttempts null", "2:42: Expected `int`, got `null`"),
        ("config/discovery", "2:17: no value"),
        ("config", "2:7: no value"),
        ("config 3", "2:1: unknown key 'config'"),
        ("other/x 3", "2:1: unknown key 'other/x', allowed: config/... or data/..."),
        ("data//x 3", "2:1: invalid key"),
        (f"data/{'x' * 200} 3", "2:1: invalid key"),
        ('data/x {"a": }', "2:14: JSON is malformed"),
        ("data/x 3 4", "2:11: JSON is malformed"),
        ("  data/x", "2:9: no value"),
        ("data/first 2", "2:1: 'data/first' stands twice, allowed: once (line 1 has it)"),
    ],
)
def test_each_error_is_reported_with_its_line_and_column(line, message):
    with pytest.raises(EntriesError) as caught:
        parse(f"data/first 1\n{line}\n", "new.txt")
    assert len(caught.value.errors) == 1
    assert caught.value.errors[0].startswith("new.txt:" + message)


def test_all_errors_are_reported_at_once():
    with pytest.raises(EntriesError) as caught:
        parse('data/x\nother 1\ndata/y 1\nconfig/seed "5"\n', "f")
    assert [m.split(":")[1] for m in caught.value.errors] == ["1", "2", "4"]


def test_parsing_the_text_of_entries_gives_the_same_entries():
    found = parse('data/b {"z": 1, "a": "\\u00e9 # x"}\ndata/a\t2\nconfig/settings/orgs/acme null\n')
    assert parse(unparse(found.items())) == found
    assert found["data/b"] == '{"a":"é # x","z":1}'.encode()


def change(sets=None, removes=(), base=0):
    texts = {key: msgspec.json.encode(value) for key, value in (sets or {}).items()}
    return Change(b"i" * 16, "me", base, texts, removes)


@pytest.mark.parametrize(
    ("sets", "removes", "message"),
    [
        ({"config/settings/policyLimits/maxAttempts": "x"}, (), "maxAttempts: Expected `int`"),
        ({"config/settings/policyLimits/x": 1}, (), "unknown key 'x'"),
        ({}, ("data/none",), "no entry 'data/none' to remove"),
        ({}, (), "empty"),
        ({"data/x": 1}, ("data/x",), "both set and removed"),
        ({"config/settings/policyLimits/maxAttempts": 0}, (), "with the reference configuration"),
        ({"config/settings/services/new/credit": 1.0}, (), "with the reference configuration"),
    ],
)
def test_a_member_refuses_changes_that_a_sender_could_not_apply(sets, removes, message):
    with pytest.raises(DocumentError, match=message):
        entries.check(Document(), change(sets, removes), TEXT)


def test_a_change_is_checked_with_the_whole_document_over_the_reference():
    document = Document()
    whole = {**SETTINGS["services"][2], "name": "new"}
    first = change({"config/settings/services/new": whole})
    entries.check(document, first, TEXT)
    document.commit(Commit(1, 1, first, document.digest_after(first)))
    entries.check(document, change({"config/settings/services/new/credit": 2.0}, base=1), TEXT)
    # A part of an object is invalid without the object.
    document.commit(
        Commit(
            2,
            1,
            second := change({"config/settings/services/new/credit": 2.0}, base=1),
            document.digest_after(second),
        )
    )
    with pytest.raises(DocumentError, match="with the reference"):
        entries.check(document, change(removes=("config/settings/services/new",), base=2), TEXT)


def test_a_value_that_is_not_json_is_refused():
    with pytest.raises(DocumentError, match="no JSON text"):
        entries.check(Document(), Change(b"i" * 16, "me", 0, {"data/x": b"{"}))
