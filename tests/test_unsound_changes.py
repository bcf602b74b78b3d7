"""A change of the control plane that nobody can use ends no member and no sender, and none at its restart."""

import json
import signal

import pytest
from following import Fleet
from harness import until
from member_processes import MemberFleet
from test_links import Note, ends  # noqa: F401, a fixture

from willownotch.channel.client import AskError
from willownotch.channel.server import BadRequestError
from willownotch.controlplane import entries
from willownotch.controlplane.operators import read_change
from willownotch.links import transport as links
from willownotch.net.config import ConfigError

KEEPALIVE = "config/settings/policyLimits/keepaliveS"
ID = "ab" * 16
LARGE = {f"data/{n}": "x" * 60_000 for n in range(25)}
UNSOUND = {
    "of many levels": {"sets": {"data/x": json.loads("[" * 200 + "]" * 200)}},
    "a base out of range": {"base": 2**70, "sets": {"data/x": 1}},
    "a base below all": {"base": -1, "sets": {"data/x": 1}},
    "an author of many characters": {"author": "a" * 100_000, "sets": {"data/x": 1}},
}


@pytest.mark.parametrize("name", UNSOUND)
def test_an_unsound_change_is_refused_by_the_member_that_is_asked(name):
    change = {"id": ID, "author": "test", "base": 0, **UNSOUND[name]}
    with pytest.raises(BadRequestError):
        read_change({"change": json.dumps(change)})


def refused(member, sets):
    """Whether a member refuses a change, in its answer or as a request that it cannot read."""
    try:
        return member.change(0, sets)["outcome"] == "refused"
    except AskError as fault:
        return "no change" in str(fault) or "levels" in str(fault)


def test_members_outlive_changes_too_large_or_of_too_many_levels(tmp_path):
    fleet = MemberFleet(tmp_path).start()
    try:
        writer = fleet.wait_writer()
        for member in fleet.members:
            for sets in (
                LARGE,
                {"data/" + "x" * 5000: 1},
                {},
                {"data/x": json.loads("[" * 900 + "]" * 900)},
                {KEEPALIVE: 2**63 - 1},
            ):
                assert refused(member, sets)
            assert member.process.poll() is None, member.lines[-3:]
        assert until(lambda: writer.change(0, {"data/x": 1}))["outcome"] == "committed"
        fleet.wait_revision(1)
    finally:
        fleet.close()


def test_a_message_too_large_for_a_frame_does_not_end_its_link(ends):  # noqa: F811
    one, other = ends
    one.transport.send("other", Note(b"x" * (links.MAX_FRAME_BYTES + 1)))
    one.transport.send("other", Note(b"small"))
    until(lambda: other.texts() == [b"small"])
    assert one.transport.traffic["not sent: too large"] == 1


def test_a_kept_revision_that_no_longer_fits_the_file_keeps_no_sender_from_starting(tmp_path):
    """It ended with 2 at each start, until an operator had put the file or the folder right."""
    fleet = Fleet(tmp_path)
    try:
        sender = fleet.start()
        fleet.member.commit_entries("config/settings/services/order/credit 2\n")
        fleet.wait_logged("revision 1 is in force")
        fleet.member.unreachable = True
        services = [c for c in sender.text["settings"]["services"] if c["name"] != "order"]
        text = {**sender.text, "settings": {**sender.text["settings"], "services": services}}
        sender.config.write_text(json.dumps(text), encoding="utf-8")
        sender.restart(signal.SIGKILL)
        assert sender.hand_in("status")[1].status == 202
        fleet.wait_logged("no longer fits the configuration file")
        assert any("is not applied" in line for line in sender.lines)
    finally:
        fleet.close()


@pytest.mark.parametrize(
    "key", ["config/settings/services/order/credit/x", "config/settings/policyLimits/maxOpen/x/y"]
)
def test_an_entry_below_a_plain_value_is_told_as_one_error(key):
    """A member of an older version may have committed it."""
    file = {"settings": {"services": [{"name": "order", "credit": 1.0}], "policyLimits": {"maxOpen": 1}}}
    with pytest.raises(ConfigError):
        entries.overlay(file, {key: b"1"})
