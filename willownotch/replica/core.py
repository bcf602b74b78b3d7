"""Custody as a state machine: frames, records, members and a time in; frames and decisions out.

No I/O, no clock. One core is all three parts that a sender plays: owner of books, replica of others' books,
witness of terms.
Times named `now` are seconds on a monotonic clock; those named `wall` are the sender's own time of day, which
need agree with nobody else's.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime
from random import Random

import msgspec

from willownotch.journal.records import Entry
from willownotch.replica import copies, wire
from willownotch.replica.books import RESEND, Answer, Follower, Owned, Stage, resend_after
from willownotch.replica.copies import Copy, Ordered
from willownotch.replica.ids import Ids, Index
from willownotch.replica.placement import ranked, witness_count, witnesses
from willownotch.replica.settings import ReplicaSettings
from willownotch.replica.terms import Register, Term
from willownotch.replica.wire import START, BookConfig

UNFIT_SPANS, UNFIT_MOST = 2, 30.0  # leases (s at the most) that who did not answer is not chosen for; doubles
FILL_AGAIN = 1.0  # s after the last part, before a fill that nobody acknowledged begins anew
KEEP_AFTER = 60.0  # s behind the last deadline in it that a copy nobody owns is kept
KEEPERS = 2  # members without a copy that know a book's ids
OVER_MOST = 256  # closed books that are remembered, for replicas that missed it
STEP = 0.05  # s between two looks at what has no time of its own


@dataclass(frozen=True, slots=True)
class Send:
    """A frame for a member."""

    to: str
    message: wire.Message


@dataclass(frozen=True, slots=True)
class StoreTerm:
    """To be in the folder before what follows."""

    term: Term


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The same, of a copy: these frames more, all of it (None), or that it is gone (`copy` None)."""

    book: str
    copy: Copy | None
    frames: tuple[bytes, ...] | None = None
    position: wire.Position = START  # that these frames brought it to


@dataclass(frozen=True, slots=True)
class StoreBook:
    """A book that this sender owns, or (None) no more."""

    book: str
    config: BookConfig | None
    term: int = 0


@dataclass(frozen=True, slots=True)
class Acquired:
    """A book is this sender's from now on; `adopted` follows once its entries are in the journal.

    `answers` of `of` replicas told what they hold; `refs` are ids that were owed by what witnesses know, with
    ms until their deadlines.
    """

    book: str
    term: int
    last: int  # the number of the last record
    entries: tuple[Ordered, ...]
    replicas_answered: int
    replicas_asked: int
    refs: dict[str, int]
    previous_owner: str  # who had it

    def is_complete(self, wanted: int) -> bool:
        """Whether all that has so many copies must be among what was told."""
        return self.replicas_answered >= self.replicas_asked - wanted + 1 and self.replicas_answered > 0


@dataclass(frozen=True, slots=True)
class Lost:
    """A book is another's: nothing in it may be sent or ended here."""

    book: str
    term: int
    owner: str


@dataclass(frozen=True, slots=True)
class Expired:
    """Nobody could be made owner in time: these are at their deadlines, and to be told as given up."""

    book: str
    entries: tuple[Entry, ...]
    refs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the operators."""

    text: str


Action = Send | StoreTerm | StoreCopy | StoreBook | Acquired | Lost | Expired | Say
Snapshot = Callable[[str], tuple[int, list[tuple[int, Entry]]]]  # of a book: its last record, its entries


class CustodyCore:
    """One sender's part. `snapshot` tells what a book holds as its journal has it, whenever it is asked."""

    def __init__(
        self,
        name: str,
        life: int,
        settings: ReplicaSettings,
        now: float,
        random: Random,
        snapshot: Snapshot,
        room: int = 10**9,
    ) -> None:
        self.name, self.life, self.settings, self.random = name, life, settings, random
        self.snapshot, self.room = snapshot, room
        self.register = Register(now, self._span())
        self.owned: dict[str, Owned] = {}
        self.copies: dict[str, Copy] = {}
        self.id_indexes: dict[str, Index] = {}
        self.there: dict[str, int] = {}  # the others, by name, and their processes
        self.current: str | None = None  # the book that new messages go into
        self.now = now
        self._actions: list[Action] = []
        self._count = 0  # of the books opened here
        self._unfit: dict[str, float] = {}  # members, until when they are not chosen
        self._silences: dict[str, int] = {}  # members, how often in a row that was so
        self._try_at: dict[str, float] = {}  # of a book without an owner: when to claim it
        self._terms: dict[str, int] = {}  # the highest term heard of, of books that are claimed
        self._former: dict[str, tuple[BookConfig, int]] = {}  # books of this sender's former processes
        self._told: dict[str, float] = {}  # of a copy, when its silent owner was last asked
        self._id_logs: dict[str, Ids] = {}  # of the books that are owned: what is told to their keepers
        self._full: dict[str, float] = {}  # books that there is no room for, until when
        self._over: dict[str, None] = {}  # books that were closed here, the last ones
        self._credit, self._credit_at = 0.0, now  # bytes of repair
        self._desired: dict[str, tuple[tuple[str, ...], float]] = {}
        self._stopping = False
        self._ticked = now

    def _span(self) -> float:
        return self.settings.lease.total_seconds()

    # What is asked of it

    def leased(self, book: str, now: float) -> bool:
        """Whether this sender may act on a book now."""
        owned = self.owned.get(book)
        return owned is not None and owned.leased(now)

    def reached(self, book: str, wanted: int) -> int:
        """Up to which record so many copies are held."""
        owned = self.owned.get(book)
        if owned is None:
            return -1
        reached, ids = owned.reached(wanted), self._id_logs.get(book)
        floor = ids.floor(self.now, self.settings.patience.total_seconds() / 2) if ids is not None else None
        return reached if floor is None else min(reached, floor)

    def usable(self, wanted: int, now: float) -> str | None:
        """The book that a new message may go into, if so many copies can be had."""
        owned = self.owned.get(self.current or "")
        return self.current if owned is not None and owned.able(now, wanted, self._span()) else None

    # What is fed to it

    def restore(
        self,
        terms: Iterable[Term],
        kept: Iterable[Copy],
        books: dict[str, tuple[BookConfig, int]],
        owed: dict[str, dict[str, float]],
    ) -> None:
        """What the folder has. Copies are no answers to a fetch until an owner has confirmed them.

        `books` are those of former processes with this folder, `owed` their open ids, with the s left.
        """
        for term in terms:
            self.register.restore(term)
        for copy in kept:
            copy.sure, copy.heard_at = False, self.now
            self.copies[copy.book] = copy
        self._former = dict(books)
        for book, (config, term) in books.items():
            refs = {ref: self.now + left for ref, left in owed.get(book, {}).items()}
            self.id_indexes[book] = Index(config, term, self.now, refs)

    def members(self, now: float, there: dict[str, int]) -> list[Action]:
        """Who is there by the membership, this sender left out."""
        self.now = max(self.now, now)
        if there != self.there:
            self.there = dict(there)
            self._place()
        return self._done()

    def wrote(
        self, now: float, book: str, frames: tuple[bytes, ...], opened: dict[str, datetime], over: list[str]
    ) -> list[Action]:
        """Records of a book that the journal has taken: ids with their deadlines that are owed by them, and
        ids that are over."""
        self.now = max(self.now, now)
        owned = self.owned.get(book)
        if owned is None:
            return self._done()
        before = owned.last
        owned.add(frames)
        owned.open.update(opened)
        for ref in over:
            owned.open.pop(ref, None)
        for name in owned.names():
            self._push(owned, name)
        ids = self._id_logs.setdefault(book, Ids())
        ids.note(opened, over)
        if opened and owned.stage is Stage.OWNED:
            ids.flush(before)
            self._tell(owned, ids)
        return self._done()

    def adopted(self, now: float, book: str, refs: dict[str, datetime]) -> list[Action]:
        """The entries of a book that was won are in the journal, and go on from here."""
        self.now = max(self.now, now)
        owned = self.owned.get(book)
        if owned is not None and owned.stage is Stage.ADOPTING:
            owned.stage = Stage.OWNED
            owned.open = dict(refs)
            self._id_logs[book] = Ids(1)  # from here on; what was won is told as a whole
            if book in self.copies:
                self._drop_copy(book)
            self._former.pop(book, None)
            self._act(StoreBook(book, owned.config, owned.term))
            self._place()
        return self._done()

    def declined(self, now: float, book: str) -> list[Action]:
        """There is no room for a book that was won: somebody else is to have it."""
        self.now = max(self.now, now)
        owned = self.owned.get(book)
        if owned is not None:
            self._disown(book)
            self._claim(owned, release=True)
            self._try_at[book] = self.now + 4 * self._span()
        return self._done()

    def unkept(self, now: float, book: str) -> list[Action]:
        """A copy found no room in the folder: it is none, and not asked for again for a moment."""
        self.now = max(self.now, now)
        if self.copies.pop(book, None) is not None:
            self._full[book] = self.now + 1.0
            self._act(StoreCopy(book, None))
        return self._done()

    def release(self, now: float) -> list[Action]:
        """This sender ends, and acts no more: others need not wait for its leases."""
        self.now, self._stopping = max(self.now, now), True
        for owned in self.owned.values():
            self._claim(owned, release=True)
            owned.lease_until = 0.0
        return self._done()

    def tick(self, now: float, wall: datetime) -> list[Action]:
        """Let time pass."""
        self.now, self._wall = max(self.now, now), wall
        if not self._stopping:
            if self.now - self._ticked > self._span() / 2:
                self._woke()
            if any(until <= self.now for until in self._unfit.values()):
                self._unfit = {name: until for name, until in self._unfit.items() if until > self.now}
                self._place()
            for owned in list(self.owned.values()):
                self._keep_up(owned)
            self._roll()
            self._orphans()
            for owned in self.owned.values():
                self._keep_ids(owned)
        self._ticked = self.now
        return self._done()

    def _woke(self) -> None:
        """This process stood still: that it heard nobody shows nothing of the others."""
        for thing in (*self.copies.values(), *self.id_indexes.values()):
            thing.heard_at = self.now
        for owned in self.owned.values():
            for follower in owned.followers.values():
                follower.heard_at = self.now

    def due(self) -> float:
        """When the next tick is wanted."""
        return self.now + STEP

    def receive(self, now: float, wall: datetime, message: wire.Message) -> list[Action]:
        """A frame of another member, found authentic by the transport."""
        self.now, self._wall = max(self.now, now), wall
        if not self._stopping:
            getattr(self, f"_on_{type(message).__name__.lower()}")(message)
        return self._done()

    # As a witness

    def _on_claim(self, claim: wire.Claim) -> None:
        answer, keep = self.register.claim(self.now, claim)
        if keep is not None:
            self._act(StoreTerm(keep))
        answer = msgspec.structs.replace(answer, source=self.name)
        if isinstance(answer, wire.Granted) and claim.source != self.name and claim.book in self.id_indexes:
            if claim.closed:
                del self.id_indexes[claim.book]
            else:
                self.id_indexes[claim.book].heard_at = self.now
        self._send(claim.source, answer)

    # As a keeper of ids

    def _on_refs(self, refs: wire.Refs) -> None:
        index = self.id_indexes.get(refs.book)
        if index is not None and refs.term < index.term or refs.book in self.owned:
            return
        if refs.after < 0 and refs.config is None:
            self.id_indexes.pop(refs.book, None)
            return
        if index is None or index.term < refs.term:
            if refs.config is None:
                return self._send(refs.source, wire.Told(self.name, refs.book, refs.term, -1, True))
            index = self.id_indexes[refs.book] = Index(refs.config, refs.term, self.now, {})
        missed = index.take(self.now, refs.after, refs.step, refs.owed, refs.over)
        self._send(refs.source, wire.Told(self.name, refs.book, refs.term, index.at, missed))

    # As a replica

    def _owner_speaks(self, book: str, term: int, source: str) -> Copy | None:
        """The copy that an owner's frame is for; None if its term is over, and it is told so."""
        copy = self.copies.get(book)
        known, owned = copy.term if copy else 0, self.owned.get(book)
        if owned is not None and owned.stage is not Stage.CLAIMING:
            known = max(known, owned.term)
        if term < known:
            self._send(source, wire.Higher(self.name, book, known))
            return None
        if owned is not None:  # who speaks as an owner was granted the term by a majority
            if term >= owned.term:
                self._lose(owned, term, source)
            elif owned.stage is not Stage.CLAIMING:
                return None
        return copy

    def _on_append(self, append: wire.Append) -> None:
        known = self.copies.get(append.book)
        copy = self._owner_speaks(append.book, append.term, append.source)
        if copy is None:
            if known is not None or append.book in self.owned or self._full.get(append.book, 0.0) > self.now:
                return
            if append.previous != START or append.config is None:
                self._send(append.source, wire.Behind(self.name, append.book, append.term, START, ()))
                return
            copy = self.copies[append.book] = Copy(append.book, append.config, append.term)
            self._act(StoreCopy(append.book, copy))
        self._follow(copy, append.term, append.config, append.now)
        held = copy.matches(append)
        if held is None:
            if copy.position[0] != append.term or copy.position[1] < append.previous[1]:
                self._behind(copy, append.source)
            else:  # an old one, overtaken
                self._send(append.source, wire.Acked(self.name, append.book, append.term, copy.position))
            return
        if sum(c.size for c in self.copies.values()) + sum(map(len, append.frames)) > self.room:
            self._say_full(append.book)
            return
        fresh = append.frames[held:]
        copy.take(append, held)
        if fresh:
            self._act(StoreCopy(append.book, copy, fresh, copy.position))
        self._send(append.source, wire.Acked(self.name, append.book, append.term, copy.position))

    def _follow(self, copy: Copy, term: int, config: BookConfig | None, owners: datetime) -> None:
        """An owner has spoken at a term that holds."""
        changed = term > copy.term or (config is not None and config != copy.config)
        if term > copy.term:
            copy.filling, copy.ahead = None, None
        copy.term, copy.config = term, config or copy.config
        copy.met(self._wall, owners)
        copy.heard_at = self.now
        self._try_at.pop(copy.book, None)
        if changed:
            self._act(StoreCopy(copy.book, copy))

    def _say_full(self, book: str) -> None:
        if self._full.get(book, 0.0) <= self.now:
            self._act(Say(f"copies use up their room of {self.room} bytes: {book} is not copied here"))
        self._full[book] = self.now + 1.0

    def _behind(self, copy: Copy, source: str) -> None:
        self._send(
            source,
            wire.Behind(self.name, copy.book, copy.term, copy.position, copies.digests(copy.entries())),
        )

    def _on_fill(self, fill: wire.Fill) -> None:
        known = self.copies.get(fill.book)
        copy = self._owner_speaks(fill.book, fill.term, fill.source)
        if copy is None:
            if known is not None or fill.book in self.owned:
                return
            if self._full.get(fill.book, 0.0) > self.now:
                return
            copy = self.copies[fill.book] = Copy(fill.book, fill.config, fill.term, sure=False)
        size = sum(len(data) for _, data in fill.entries)
        if sum(c.size for c in self.copies.values()) + size > self.room:
            self._say_full(fill.book)
            return
        self._follow(copy, fill.term, fill.config, fill.now)
        if copy.fill(fill):
            self._act(StoreCopy(fill.book, copy))
            self._send(fill.source, wire.Acked(self.name, fill.book, fill.term, copy.position))
        elif fill.told != copy.position and fill.part + 1 == fill.parts:
            self._behind(copy, fill.source)

    def _on_fetch(self, fetch: wire.Fetch) -> None:
        known = self.copies.get(fetch.book)
        copy = self._owner_speaks(fetch.book, fetch.term, fetch.source)
        if (copy is None and known is not None) or fetch.book in self.owned:
            return
        index = self.id_indexes.get(fetch.book)
        refs = tuple((ref, round((at - self.now) * 1000)) for ref, at in index.refs.items()) if index else ()
        if copy is None:
            self._send(
                fetch.source,
                wire.Held(self.name, fetch.book, fetch.term, START, False, False, 0, 1, (), self._wall, refs),
            )
            return
        if fetch.term > copy.term:  # from here on nothing of a lower term is taken
            copy.term, copy.filling = fetch.term, None
            self._act(StoreCopy(copy.book, copy))
        copy.heard_at = self.now
        pieces = list(copies.parts(self._packed(copy)))
        for n, piece in enumerate(pieces):
            self._send(
                fetch.source,
                wire.Held(
                    self.name,
                    copy.book,
                    fetch.term,
                    copy.position,
                    copy.sure,
                    True,
                    n,
                    len(pieces),
                    piece,
                    self._wall,
                    refs if n == 0 else (),
                ),
            )

    @staticmethod
    def _packed(copy: Copy) -> list[tuple[int, bytes]]:
        """Entries with their times by this sender's clock, told as the time that is left would be."""
        by = copy.ahead or copies.NO_TIME
        return [(order, copies.pack(copies.shifted(entry, by))) for order, entry in copy.entries()]

    def _on_close(self, close: wire.Close) -> None:
        copy = self.copies.get(close.book)
        if copy is not None and close.term >= copy.term:
            self._drop_copy(close.book)

    def _drop_copy(self, book: str) -> None:
        del self.copies[book]
        self._act(StoreCopy(book, None))

    # As an owner

    def _on_granted(self, granted: wire.Granted) -> None:
        owned = self.owned.get(granted.book)
        if owned is None or granted.term != owned.term:
            return
        found = owned.rounds.get(granted.number)
        if granted.version > owned.config.version and owned.stage is Stage.CLAIMING:
            owned.config = msgspec.structs.replace(
                owned.config, version=granted.version, replicas=granted.replicas
            )
        if not owned.granted(self.now, granted, self._span()):
            return
        if owned.stage is Stage.CLAIMING:
            self._try_at.pop(owned.book, None)
            if owned.book in self.copies or owned.base != START or owned.term > 1 or not owned.fresh:
                self._begin_fetch(owned)
            else:
                owned.stage = Stage.OWNED
                self._act(StoreBook(owned.book, owned.config, owned.term))
                for name in owned.names():
                    self._follower(owned, name)
                    self._probe(owned, name)
        elif owned.proposed is not None and found is not None and found.version > owned.config.version:
            self._commit_set(owned, found.version)

    def _on_refused(self, refused: wire.Refused) -> None:
        book, owned = refused.book, self.owned.get(refused.book)
        self._terms[book] = max(self._terms.get(book, 0), refused.term)
        if owned is None:
            return
        named = owned.refused(refused)
        # A refusal may come late: who has the term by now is not lost to who had a lower one before.
        late = owned.stage is not Stage.CLAIMING and refused.term <= owned.term
        other = named is not None and named not in (owned.before, (self.name, self.life)) and not late
        if other and owned.stage is Stage.OWNED and not refused.closed:
            return self._claim_anew(owned)  # unless that one holds on to it
        if refused.closed or other:
            self._lose(owned, refused.term, refused.owner)
            return self._believe(book, refused)
        if refused.term >= owned.term and (refused.owner, refused.life) != (self.name, self.life):
            owned.contested = True
            if refused.number in owned.rounds:
                owned.rounds[refused.number].taken.add(refused.source)
            if owned.stage is Stage.CLAIMING and owned.hopeless(refused.number):
                self._stand_back(owned, refused.left_ms / 1000)
            elif (
                owned.stage is Stage.OWNED
                and owned.hopeless(refused.number)
                and (self.now > owned.lease_until + self._span())
            ):
                self._claim_anew(owned)
        elif owned.stage is Stage.CLAIMING and refused.left_ms:
            wait = min(refused.left_ms / 1000, self._span())
            owned.claim_at = max(owned.claim_at, self.now + wait)

    def _claim_anew(self, owned: Owned) -> None:
        """While this owner was not heard others asked for its book, so it has its witnesses no more.

        It is claimed like anybody's: somebody may own it, or have owned it, so the copies tell how it stands.
        """
        self._lose(owned, owned.term, self.name)
        refs = {ref: self.now + (at - self._wall).total_seconds() for ref, at in owned.open.items()}
        self._former[owned.book] = owned.config, owned.term
        self.id_indexes[owned.book] = Index(owned.config, owned.term, self.now, refs)
        self._act(StoreBook(owned.book, owned.config, owned.term))

    def _stand_back(self, owned: Owned, wait: float) -> None:
        """Claims came to nothing: let others have what was granted, and try again later."""
        self._claim(owned, release=True)
        self._disown(owned.book)
        self._try_at[owned.book] = self.now + wait + self._pause()

    def _believe(self, book: str, refused: wire.Refused) -> None:
        """A book's owner is another by now."""
        for table in (self.copies, self.id_indexes):
            if book in table:
                table[book].config = msgspec.structs.replace(
                    table[book].config, owner=refused.owner, life=refused.life
                )
        if refused.closed and book in self.copies:
            self._drop_copy(book)

    def _on_higher(self, higher: wire.Higher) -> None:
        owned = self.owned.get(higher.book)
        if owned is not None and higher.term > owned.term:
            self._lose(owned, higher.term, higher.source)
        copy = self.copies.get(higher.book)
        if copy is not None and copy.config.owner == higher.source:  # it is no owner any more
            copy.config = msgspec.structs.replace(copy.config, owner="", life=0)

    def _lose(self, owned: Owned, term: int, owner: str) -> None:
        self._disown(owned.book)
        self._terms[owned.book] = max(self._terms.get(owned.book, 0), term)
        if self.current == owned.book:
            self.current = None
        if self._former.pop(owned.book, None) is not None:
            self.id_indexes.pop(owned.book, None)
        self._act(StoreBook(owned.book, None))
        self._act(Lost(owned.book, term, owner))

    def _on_acked(self, acked: wire.Acked) -> None:
        owned = self.owned.get(acked.book)
        follower = owned.followers.get(acked.source) if owned is not None else None
        if follower is None or acked.term != owned.term:
            return
        if acked.position != owned.position(acked.position[1]) or (
            acked.position[1] > max(owned.last, follower.fill_at)
        ):
            return  # elsewhere: it will say that it is behind
        follower.heard_at, follower.tries = self.now, 0
        self._silences.pop(follower.name, None)
        if self._unfit.pop(follower.name, None) is not None:
            self._place()
        follower.acked = max(follower.acked or 0, acked.position[1])
        if follower.fill and follower.acked >= follower.fill_at:
            follower.fill.clear()
        follower.sent = max(follower.sent, follower.acked)
        owned.trim()
        self._push(owned, acked.source)

    def _on_behind(self, behind: wire.Behind) -> None:
        owned = self.owned.get(behind.book)
        if owned is None or owned.stage is not Stage.OWNED or behind.source not in owned.names():
            if behind.book in self._over or (owned is not None and owned.stage is Stage.OWNED):
                term = owned.term if owned is not None else behind.term
                self._send(behind.source, wire.Close(self.name, behind.book, term))
            elif owned is None and behind.book not in self._former:
                term = max(behind.term, self._terms.get(behind.book, 0))
                self._send(behind.source, wire.Higher(self.name, behind.book, term))
            return
        follower = self._follower(owned, behind.source)
        follower.heard_at = self.now
        position = behind.position
        ours = position == owned.position(position[1]) and owned.base[1] <= position[1] <= owned.last
        if ours and owned.covers(position[1]):
            follower.acked = follower.sent = position[1]
            follower.fill.clear()
            self._push(owned, behind.source)
        elif not follower.fill or follower.told != position:
            if follower.told == position and self.now - follower.filled_at < FILL_AGAIN:
                return
            self._begin_fill(owned, follower, behind)

    def _begin_fill(self, owned: Owned, follower: Follower, behind: wire.Behind) -> None:
        """Bring a replica to where the book is now, by the ranges that differ."""
        last, entries = self.snapshot(owned.book)  # the journal may be ahead of what was told here
        mine = copies.digests(entries)
        theirs = behind.digests or (0,) * copies.RANGES
        ranges = sum(1 << n for n in range(copies.RANGES) if mine[n] != theirs[n])
        wanted = [
            (order, copies.pack(entry))
            for order, entry in entries
            if ranges >> copies.range_of(entry.message.ref) & 1
        ]
        pieces = list(copies.parts(wanted))
        follower.acked, follower.told, follower.fill_at = None, behind.position, last
        follower.fill.clear()
        for n, piece in enumerate(pieces):
            follower.fill.append(
                wire.Fill(
                    self.name,
                    owned.book,
                    owned.term,
                    owned.position(last),
                    behind.position,
                    ranges,
                    n,
                    len(pieces),
                    piece,
                    self._wall,
                    owned.config,
                )
            )
        self._pour(owned, follower)

    def _pour(self, owned: Owned, follower: Follower) -> None:
        """Send parts of a fill, as the rate allows."""
        rate = self.settings.rate
        self._credit = min(float(rate), self._credit + (self.now - self._credit_at) * rate)
        self._credit_at = self.now
        while follower.fill and self._credit > 0:
            part = follower.fill.popleft()
            self._credit -= sum(len(data) + 16 for _, data in part.entries) + 200
            self._send(follower.name, msgspec.structs.replace(part, now=self._wall))
            follower.filled_at = follower.sent_at = self.now
            follower.sent = follower.fill_at

    def _follower(self, owned: Owned, name: str) -> Follower:
        follower = owned.followers.get(name)
        if follower is None:
            follower = owned.followers[name] = Follower(name, heard_at=self.now)
        return follower

    def _push(self, owned: Owned, name: str) -> None:
        """Send a replica what it has not been sent yet."""
        follower = owned.followers.get(name)
        if follower is None or owned.stage is not Stage.OWNED:
            return
        while True:
            before = follower.sent
            frames = owned.next_frames(follower)
            if not frames:
                return
            self._append(owned, follower, before, frames)

    def _append(self, owned: Owned, follower: Follower, before: int, frames: tuple[bytes, ...]) -> None:
        follower.sent_at = self.now
        config = owned.config if not before or not frames else None
        self._send(
            follower.name,
            wire.Append(
                self.name, owned.book, owned.term, owned.position(before), frames, self._wall, config
            ),
        )

    def _probe(self, owned: Owned, name: str) -> None:
        """Ask a replica where it is; it is told that the owner lives by the same."""
        follower = self._follower(owned, name)
        self._append(owned, follower, follower.sent if follower.acked is not None else owned.last, ())

    def _keep_up(self, owned: Owned) -> None:
        """Renew the lease, and see to replicas that lag or are silent."""
        if owned.claim_at <= self.now:
            self._claim(owned)
        if owned.stage is Stage.FETCHING:
            self._fetch_on(owned)
        if owned.stage is not Stage.OWNED:
            return
        for name in owned.names():
            follower = self._follower(owned, name)
            if follower.fill:
                self._pour(owned, follower)
                continue
            lags = follower.acked is None or follower.acked < owned.last
            wait = resend_after(follower.tries) if lags else self._span() / 3
            if self.now - max(follower.sent_at, follower.heard_at if lags else 0.0) >= wait:
                follower.tries = min(follower.tries + 1, 8) if lags else 0
                if follower.acked is not None:
                    follower.sent = follower.acked
                    self._push(owned, name)
                if follower.acked is None or not lags or follower.sent == follower.acked:
                    self._probe(owned, name)
            silent = self.now - follower.heard_at > max(1.0, self._span())
            if silent and name in self.there and name not in self._unfit:
                times = self._silences[name] = min(self._silences.get(name, 0) + 1, 8)
                self._unfit[name] = self.now + min(UNFIT_MOST, UNFIT_SPANS * self._span() * 2 ** (times - 1))
                self._place()
        self._change_set(owned)
        if not owned.open and not owned.fresh and owned.proposed is None:
            self._close(owned)

    def _close(self, owned: Owned) -> None:
        """A book that is empty and no longer written to."""
        self._claim(owned, release=True, closed=True)
        for name in owned.names():
            self._send(name, wire.Close(self.name, owned.book, owned.term))
        self._let_keepers_go(owned, self._id_logs.get(owned.book, Ids()).keepers)
        self._disown(owned.book)
        self._over[owned.book] = None
        while len(self._over) > OVER_MOST:
            del self._over[next(iter(self._over))]
        self._act(StoreBook(owned.book, None))

    # Sets of replicas

    def _fit(self) -> list[str]:
        return [name for name in self.there if name not in self._unfit]

    def _place(self) -> None:
        """Who is to hold each book, now that members came or went."""
        names = self._fit()
        for owned in self.owned.values():
            wanted = tuple(ranked(owned.book, names)[: self.settings.copies])
            known = self._desired.get(owned.book)
            if wanted and (known is None or known[0] != wanted):
                gone = any(name not in names for name in owned.config.replicas)
                self._desired[owned.book] = wanted, self.now + (0.0 if gone else self._span() / 2)

    def _change_set(self, owned: Owned) -> None:
        wanted, at = self._desired.get(owned.book, (owned.config.replicas, 0.0))
        if (
            wanted
            and at <= self.now
            and not owned.offered
            and set(wanted) != set(owned.proposed or owned.config.replicas)
        ):
            owned.propose(wanted if set(wanted) != set(owned.config.replicas) else None)
            for name in owned.proposed or ():
                self._probe(owned, name)
        if (owned.offered or owned.ripe()) and self.now - owned.set_at >= RESEND:
            owned.set_at, owned.offered = self.now, True
            self._claim(owned)

    def _commit_set(self, owned: Owned, version: int) -> None:
        """The witnesses have the new set on record."""
        old = owned.config.replicas
        owned.config = msgspec.structs.replace(owned.config, version=version, replicas=owned.proposed)
        owned.propose(None)
        for name in old:
            if name not in owned.config.replicas and name != self.name:
                owned.followers.pop(name, None)
                self._send(name, wire.Close(self.name, owned.book, owned.term))
        self._act(StoreBook(owned.book, owned.config, owned.term))
        for name in owned.config.replicas:
            self._probe(owned, name)

    def _roll(self) -> None:
        """See that there is a book for new messages whose witnesses are there, as many as there can be."""
        names = self._fit()
        if not names:
            return
        current = self.owned.get(self.current or "")
        pending = next((o for o in self.owned.values() if o.fresh and o is not current), None)
        if pending is not None and pending.stage is Stage.OWNED and not self._worse(pending, current):
            if current is not None:
                current.fresh = False
            self.current, current, pending = pending.book, pending, None
        if pending is not None:
            if self.now - pending.born < 2 * self._span():
                return
            if pending.stage is Stage.OWNED:
                pending.fresh = False  # its replicas do not answer; it is empty, and will be closed
            else:
                self._disown(pending.book)  # its claims came to nothing
        if current is not None:
            here = sum(name in names or name == self.name for name in current.config.witnesses)
            could = witness_count(len(names) + 1, self.settings.witnesses)
            sound = here == len(current.config.witnesses) >= could and not current.contested
            if sound or self.now - current.born < self._span():
                return
        self._open(names)

    def _worse(self, pending: Owned, current: Owned | None) -> bool:
        """Whether a new book cannot yet have the copies that the current one can."""
        return current is not None and any(
            current.able(self.now, wanted, self._span()) and not pending.able(self.now, wanted, self._span())
            for wanted in self.settings.asked()
        )

    def _open(self, names: list[str]) -> None:
        self._count += 1
        book = f"{self.name}/{self.life:012x}.{self._count}"
        config = BookConfig(
            self.name,
            self.life,
            1,
            tuple(ranked(book, names)[: self.settings.copies]),
            witnesses(book, self.name, names, self.settings.witnesses),
        )
        owned = self.owned[book] = Owned(book, 1, config, born=self.now)
        self._claim(owned)

    # Claims

    def _pause(self) -> float:
        return self.random.uniform(0.1, 0.5) * self._span()

    def _claim(self, owned: Owned, release: bool = False, closed: bool = False) -> None:
        """Ask all witnesses for the term, again and again for as long as the book is owned."""
        held = self.now < owned.lease_until
        owned.claim_at = self.now + (self._span() / 3 if held else min(0.2, self._span() / 3))
        config = owned.config
        if owned.stage is Stage.OWNED and owned.offered:
            config = msgspec.structs.replace(config, version=owned.next_version(), replicas=owned.proposed)
        elif owned.stage is not Stage.OWNED and not owned.fresh:
            config = msgspec.structs.replace(config, version=0, replicas=())
        number = owned.begin_round(self.now, config.version)
        claim = wire.Claim(
            self.name, owned.book, owned.term, config, round(self._span() * 1000), number, release, closed
        )
        for name in owned.config.witnesses:
            if name == self.name:
                self._on_claim(claim)
            else:
                self._send(name, claim)

    def _orphans(self) -> None:
        """Claim books whose owner is gone, and tell the ends that nobody will."""
        for owned in list(self.owned.values()):
            known = self.copies.get(owned.book) or self.id_indexes.get(owned.book)
            back = known is None or self.there.get(known.config.owner) == known.config.life
            if owned.stage is Stage.CLAIMING and not owned.fresh and back and owned.book not in self._former:
                self._stand_back(owned, 0.0)  # its owner is there after all
        for book, (config, term) in list(self._former.items()):
            self._stand(book, config, term, 0)
        for book, copy in list(self.copies.items()):
            config, silent = copy.config, self.now - copy.heard_at
            if silent > KEEP_AFTER and self._left(copy) < -KEEP_AFTER:
                self._drop_copy(book)
            elif self.there.get(config.owner) == config.life:
                self._ask_silent(copy)
            elif copy.live and silent > self._span() / 2:
                line = [name for name in config.replicas if name in self.there or name == self.name]
                self._stand(
                    book, config, copy.term, line.index(self.name) if self.name in line else len(line)
                )
                if silent > self._span():
                    self._expire_copy(copy)
        for book, index in list(self.id_indexes.items()):
            config, silent = index.config, self.now - index.heard_at
            if self.there.get(config.owner) == config.life or book in self.copies:
                continue
            if not index.refs and book not in self._former:
                del self.id_indexes[book]
                continue
            if silent > self._span() and not any(name in self.there for name in config.replicas):
                line = sorted(config.witnesses)
                self._stand(
                    book, config, index.term, 1 + (line.index(self.name) if self.name in line else len(line))
                )
            if silent > self._span() or book in self._former:
                self._expire_refs(book, index)

    def _stand(self, book: str, config: BookConfig, term: int, place: int) -> None:
        """Claim a book when it is this member's turn; the best placed goes first."""
        owned = self.owned.get(book)
        if owned is None and self._try_at.setdefault(book, self.now + place * self._span() / 4) <= self.now:
            self._take(book, config, term)
        elif owned is not None and owned.stage is Stage.CLAIMING and self.now - owned.born > 2 * self._span():
            self._stand_back(owned, 0.0)  # no majority is to be had

    def _nobody(self, book: str) -> bool:
        """Whether a book is not this member's either, at a moment when it should be somebody's."""
        owned = self.owned.get(book)
        return owned is None or owned.stage is Stage.CLAIMING

    def _expire_copy(self, copy: Copy) -> None:
        """At a deadline nobody can deliver any more; the end is owed all the same."""
        by = copy.ahead or copies.NO_TIME
        if not self._nobody(copy.book):
            return
        over = [
            entry
            for ref, entry in copy.live.items()
            if ref not in copy.told and entry.message.ends_at + by <= self._wall
        ]
        if over:
            copy.told.update(entry.message.ref for entry in over)
            self._act(Expired(copy.book, tuple(copies.shifted(entry, by) for entry in over), ()))

    def _expire_refs(self, book: str, index: Index) -> None:
        over = tuple(ref for ref, at in index.refs.items() if at <= self.now)
        if over and self._nobody(book):
            for ref in over:
                del index.refs[ref]
            self._act(Expired(book, (), over))

    def _left(self, copy: Copy) -> float:
        """Seconds until the last deadline in a copy, by this clock."""
        by = copy.ahead or copies.NO_TIME
        ends = max((entry.message.ends_at for entry in copy.live.values()), default=None)
        return (ends + by - self._wall).total_seconds() if ends is not None else -KEEP_AFTER - 1.0

    def _ask_silent(self, copy: Copy) -> None:
        """An owner that is there and says nothing: perhaps this is no replica of its any more."""
        every = max(3 * self._span(), 3.0)
        if self.now - copy.heard_at > every and self.now - self._told.get(copy.book, -1e9) > every:
            self._told[copy.book] = self.now
            self._behind(copy, copy.config.owner)

    def _take(self, book: str, config: BookConfig, term: int) -> None:
        """Claim the next term of a book."""
        term = max(term, self._terms.get(book, 0), self.register.term(book)) + 1
        self._terms[book] = term
        self._try_at[book] = self.now + self._span() + self._pause()
        mine = msgspec.structs.replace(config, owner=self.name, life=self.life)
        owned = self.owned[book] = Owned(
            book, term, mine, born=self.now, fresh=False, before=(config.owner, config.life)
        )
        self._claim(owned)

    # Taking over

    def _begin_fetch(self, owned: Owned) -> None:
        owned.stage = Stage.FETCHING
        owned.fetch_ends = self.now + self._span()
        copy = self.copies.get(owned.book)
        if copy is not None:
            copy.term = max(copy.term, owned.term)
            self._act(StoreCopy(owned.book, copy))
            pieces = list(copies.parts(self._packed(copy)))
            owned.answers[self.name] = Answer(
                copy.position, copy.sure, True, len(pieces), got=dict(enumerate(pieces))
            )
        if (index := self.id_indexes.get(owned.book)) is not None:
            answer = owned.answers.setdefault(self.name, Answer(START, False, False, 1, got={0: ()}))
            answer.refs = {ref: round((at - self.now) * 1000) for ref, at in index.refs.items()}
        self._fetch_on(owned)

    def _fetch_on(self, owned: Owned) -> None:
        """Ask those who have not answered; enough, or too late: go on with what there is."""
        asked = sorted({*owned.config.replicas, *owned.config.witnesses} - {self.name})
        missing = [name for name in asked if name not in owned.answers or not owned.answers[name].whole()]
        hoped = [name for name in missing if name in self.there and name in owned.config.replicas]
        if not hoped or self.now >= owned.fetch_ends:
            self._win(owned)
        elif self.now >= owned.fetch_at:
            owned.fetch_at = self.now + max(RESEND, self._span() / 8)
            for name in missing:
                self._send(name, wire.Fetch(self.name, owned.book, owned.term))

    def _on_held(self, held: wire.Held) -> None:
        owned = self.owned.get(held.book)
        if owned is None or owned.term != held.term or owned.stage is not Stage.FETCHING:
            return
        answer, ahead = owned.answers.get(held.source), self._wall - held.now
        if answer is None or (answer.position, answer.parts) != (held.position, held.parts):
            answer = Answer(held.position, held.sure, held.known, held.parts, ahead)
            owned.answers[held.source] = answer
        answer.ahead = min(answer.ahead, ahead)
        answer.got[held.part] = held.entries
        answer.refs.update(held.refs)
        if answer.whole():
            self._fetch_on(owned)

    def _win(self, owned: Owned) -> None:
        """The copy that is furthest has all that was promised, if enough have answered."""
        whole = {name: a for name, a in owned.answers.items() if a.whole()}
        told = [a for name, a in whole.items() if a.known and a.sure and name in owned.config.replicas]
        best = max((a for a in whole.values() if a.known), key=lambda a: a.position, default=None)
        refs: dict[str, int] = {}
        for answer in whole.values():
            refs.update(answer.refs)
        entries: list[Ordered] = []
        if best is not None:
            owned.base, owned.last = best.position, best.position[1]
            for part in sorted(best.got):
                entries += [
                    (order, copies.shifted(entry, best.ahead))
                    for order, data in best.got[part]
                    if (entry := copies.unpack(data)) is not None
                ]
        known = {entry.message.ref for _, entry in entries}
        owned.stage, owned.answers = Stage.ADOPTING, {}
        before = (
            self.copies[owned.book].config.owner
            if owned.book in self.copies
            else (self.id_indexes[owned.book].config.owner if owned.book in self.id_indexes else self.name)
        )
        self.id_indexes.pop(owned.book, None)
        refs = {ref: left for ref, left in refs.items() if ref not in known}
        self._act(
            Acquired(
                owned.book,
                owned.term,
                owned.last,
                tuple(entries),
                len(told),
                len(owned.config.replicas),
                refs,
                before,
            )
        )

    # What is told to keepers of ids

    def _keepers(self, owned: Owned) -> list[str]:
        """Members without a copy, witnesses if there are any, who tell the ends should all copies be lost."""
        names = owned.names()
        fit = [
            n for n in owned.config.witnesses if n in self.there and n not in self._unfit and n not in names
        ]
        return ranked(owned.book, fit or [n for n in self._fit() if n not in names], "ids")[:KEEPERS]

    def _keep_ids(self, owned: Owned) -> None:
        """See to the keepers of a book's ids."""
        if owned.stage is Stage.OWNED:
            ids = self._id_logs.setdefault(owned.book, Ids())
            self._let_keepers_go(owned, ids.keep(self._keepers(owned)))
            ids.flush()
            self._tell(owned, ids)

    def _let_keepers_go(self, owned: Owned, names: Iterable[str]) -> None:
        for name in names:
            self._send(name, wire.Refs(self.name, owned.book, owned.term, -1, 0, (), ()))

    def _tell(self, owned: Owned, ids: Ids) -> None:
        for name in ids.keepers:
            if not ids.wants(self.now, name):
                continue
            found, config = ids.next(self.now, name), None
            if found is None:
                after, owed, over, config = -1, owned.open, (), owned.config
            else:
                after, (owed, over) = found
            left = tuple(
                (ref, max(0, round((at - self._wall).total_seconds() * 1000))) for ref, at in owed.items()
            )
            self._send(
                name, wire.Refs(self.name, owned.book, owned.term, after, ids.step, left, over, config)
            )

    def _on_told(self, told: wire.Told) -> None:
        owned, ids = self.owned.get(told.book), self._id_logs.get(told.book)
        if owned is None or ids is None or told.term != owned.term or owned.stage is not Stage.OWNED:
            return
        ids.told(self.now, told.source, told.step, told.missed)
        self._tell(owned, ids)

    # Small things

    def _disown(self, book: str) -> None:
        """Forget a book as one that is owned or claimed, and what is known of it only for as long."""
        for table in (self.owned, self._id_logs, self._desired):
            table.pop(book, None)

    def _act(self, action: Action) -> None:
        self._actions.append(action)

    def _send(self, to: str, message: wire.Message) -> None:
        if to == self.name:  # a witness of its own books
            getattr(self, f"_on_{type(message).__name__.lower()}")(message)
        else:
            self._act(Send(to, message))

    def _done(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
