"""One accepted message on its way to its final outcome, and how messages compare."""

from __future__ import annotations

from dataclasses import dataclass, field

from willownotch.bodies.store import size_and_checksum
from willownotch.journal.records import AcceptedMessage, Entry
from willownotch.net.attempts import Relay
from willownotch.net.events import Answer, Verdict
from willownotch.net.pending import PendingReply


@dataclass(slots=True)
class Delivery:
    """The delivery of one accepted message, with its relays numbered as the decision module numbers them."""

    message: AcceptedMessage
    relay_count: int = 0  # started so far; the number of the next one
    active_relays: dict[int, Relay] = field(default_factory=dict)
    over: bool = False
    pending: PendingReply | None = None  # None once its client has been answered
    repeats: list[PendingReply] = field(default_factory=list)  # hand-ins of the same message meanwhile
    accepted_by: PendingReply | None = None  # the reply of the hand-in that started it
    confirmed: bool = False  # a repeated hand-in was answered 202: a failed first answer must not withdraw it
    unwritten: bool = False  # its record could not be written and its client was rejected
    replicating: bool = False  # its client is answered once other senders hold a copy
    held_relays: list[Relay] = field(default_factory=list)  # relays that wait for those copies

    def answer(self, answer: Answer) -> None:
        """Answer the client that waits, and all that handed the same message in meanwhile."""
        self.pending.settle(answer)
        for pending in self.repeats:
            pending.settle(answer)
            self.confirmed = self.confirmed or answer.verdict is Verdict.ACCEPTED
        self.repeats = []


def same_message(one: AcceptedMessage, other: AcceptedMessage) -> bool:
    """Whether two hand-ins under one id are the same message. The time left differs and is not compared."""
    fields = ("destination", "message_class", "tenant", "key", "idempotency_key")
    return all(getattr(one, name) == getattr(other, name) for name in fields) and (
        one.body == other.body
        if one.place is None is other.place
        else size_and_checksum(one) == size_and_checksum(other)
    )


def soonest_first(entries: list[Entry]) -> list[Entry]:
    """Recovered messages in the order in which the decision module receives them, earliest deadline first.

    All come in one round, and the module breaks ties by position. Messages with a key come first and keep the
    journal's order, which is the order of their key.
    """
    keyed = [entry for entry in entries if entry.message.key is not None]
    return keyed + sorted((e for e in entries if e.message.key is None), key=lambda e: e.message.ends_at)
