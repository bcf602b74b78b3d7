"""Each way by which an accepted message reaches the module again, with a hard part that has no room."""

import time
from datetime import timedelta

import msgspec
import pytest
from round_stories import RoundStory
from test_adoption_faults import BOOK, RecordingCustody
from test_crossings import config

from willownotch.interface import Outcome
from willownotch.journal.records import AcceptedMessage, Custody, Entry
from willownotch.net.attempts import RelayEnded
from willownotch.net.decision_loop import FIRST_LIST_TIMEOUT
from willownotch.net.events import (
    BookAcquired,
    HandIn,
    LateEntriesFound,
    SettingsUpdate,
    SharedStateUpdate,
    TenantParts,
)
from willownotch.net.pending import PendingReply
from willownotch.net.watch_decoder import WatchDecoder
from willownotch.replica.actions import Acquired, LateEntries
from willownotch.shared.service import BudgetParts

FEES = 10
TENANT = "acme"


class Rounds(RoundStory):
    """Rounds of a decision loop with a real journal, one at a time."""

    def __init__(self, folder):
        super().__init__(0, folder)
        self.loop._round([self.listed()])

    def listed(self):
        entry = (
            '{"name":"s-0","address":"127.0.0.1:1","zone":"here","type":"haulier","group":7,'
            '"status":"Ready","weight":20.0,"since_ms":0}'
        )
        text = '{"index":1,"snapshot":true,"endpoints":[' + entry + "]}\n"
        return WatchDecoder().feed(text.encode())[0][0]

    def message(self, ref, tenant=TENANT, custody=None, message_class="fee"):
        now, rules = self.clock.now(), self.config.rules[message_class]
        ends_at = now + timedelta(seconds=20)
        return AcceptedMessage(
            ref, 7, message_class, tenant, ends_at, body=b"x", at=now, rules=rules, custody=custody
        )

    def hand_in(self, *refs, **more):
        """Hand messages in, all in one round."""
        self.loop._round([HandIn(self.message(ref, **more), PendingReply()) for ref in refs])

    def entries(self, refs):
        """Messages of another sender's book, as its copies have them."""
        return tuple(Entry(self.message(ref, custody=Custody(BOOK, 1)), 100) for ref in refs)

    def restart(self, found):
        """A new process, without a list, that hears of its parts before it restores what is owed."""
        self.journal.close()
        self.start()
        self.clock.at += FIRST_LIST_TIMEOUT
        self.loop._round([found])

    def ended(self):
        return [(notice.message, notice.outcome) for notice in self.notices]

    def owed(self):
        return {ref for ref, delivery in self.loop._outstanding.items() if not delivery.over}


def no_room():
    """Hard parts of which nothing may be spent, but for the one message that always may."""
    return SharedStateUpdate(BudgetParts({TENANT: 0.0}, 0.0, frozenset({TENANT}), time.monotonic() + 1e6))


@pytest.fixture
def rounds(tmp_path):
    rounds = Rounds(tmp_path)
    yield rounds
    rounds.journal.close()


FEE_REFS = [f"fee{n}" for n in range(FEES)]


def test_what_a_restart_finds_in_the_journal_is_not_judged_by_a_part_again(rounds):
    """A start without a list hears of its parts first, and handed back what it then restored."""
    rounds.hand_in(*FEE_REFS)
    rounds.restart(no_room())
    assert rounds.ended() == []
    assert len(rounds.owed()) == FEES


def test_messages_of_a_book_that_is_taken_over_are_not_judged_by_a_part(rounds):
    """Another sender's accepted messages were handed back by the one that took its book over."""
    rounds.loop.custody = RecordingCustody()
    rounds.loop._round([no_room()])
    entries = tuple(enumerate(rounds.entries(FEE_REFS), 1))
    rounds.loop._round([BookAcquired(Acquired(BOOK, 2, FEES, entries, 3, 3, "lost", whole=True))])
    assert rounds.owed() == set(FEE_REFS)
    assert rounds.loop._unanswered_notices == {}


def test_late_messages_of_a_book_that_was_taken_over_are_not_judged_by_a_part(rounds):
    """Each may have run: above a part it was handed back, and its client could run it again."""
    rounds.loop.custody = RecordingCustody()
    rounds.loop._round([no_room()])
    rounds.loop._round([LateEntriesFound(LateEntries(BOOK, "n2", rounds.entries(FEE_REFS)))])
    outcomes = {ref: ended.outcome for ref, (_, ended) in rounds.loop._unanswered_notices.items()}
    assert outcomes == dict.fromkeys(FEE_REFS, "given_up")


def test_messages_that_are_put_back_after_a_disk_that_refused_are_not_judged_by_a_part(rounds):
    """Their attempts were never begun, as no record of them could be written."""
    rounds.hand_in(*FEE_REFS)
    rounds.loop._round([no_room()])
    assert rounds.relays
    rounds.loop._round([RelayEnded(relay, Outcome.NOT_SENT) for relay in rounds.relays])
    assert rounds.ended() == []
    assert rounds.owed() == set(FEE_REFS)


def test_a_part_that_becomes_hard_while_messages_wait_ends_none_of_them(rounds):
    """`hard` may be set by a reload; it is for hand-ins from then on."""
    rounds.hand_in(*FEE_REFS)
    rounds.loop._round([SettingsUpdate(config()), no_room()])
    rounds.clock.at += timedelta(seconds=1)
    rounds.loop._round([no_room()])
    assert rounds.ended() == []
    assert rounds.owed() == set(FEE_REFS)


def test_what_was_above_its_tenants_quota_is_so_after_a_restart(rounds):
    """Its record did not say so, and it came back with its full worth."""
    rounds.loop._round([TenantParts({TENANT: 0.02})])  # one message a second, and two at once
    rounds.hand_in(*FEE_REFS)
    rounds.restart(TenantParts({TENANT: 1.0}))
    over = [ref for ref in FEE_REFS if rounds.loop.controller.is_over_share(ref)]
    assert over == FEE_REFS[2:]


def test_records_of_accepted_messages_are_read_by_and_from_earlier_versions(rounds):
    """An upgrade, a way back, and senders of both versions share journals and copies."""
    message = msgspec.structs.replace(rounds.message("m"), over_share=True)
    fields = msgspec.json.decode(msgspec.json.encode(message))
    names = [name for name in message.__struct_fields__ if name != "over_share"]
    assert fields[-1] is True and len(fields) == 1 + len(names) + 1  # the tag comes first
    older = msgspec.defstruct(
        "OlderMessage", [(name, object) for name in names], tag="taken", array_like=True, frozen=True
    )
    encoded = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(encoded, type=older).ref == "m"
    shorter = msgspec.msgpack.encode(older(*(getattr(message, name) for name in names)))
    assert msgspec.msgpack.decode(shorter, type=AcceptedMessage) == rounds.message("m")


def test_messages_of_a_tenant_that_a_reload_removed_spend_no_other_tenants_quota(rounds):
    """They were taken for messages of the first tenant in the settings, and refused what was its own."""
    rounds.loop._round([no_room()])
    rounds.hand_in(*FEE_REFS, tenant="removed")
    assert rounds.owed() == set(FEE_REFS)
    rounds.hand_in("own")
    assert "own" in rounds.owed()
