"""Counts replicated over all instances: a state-based counter whose changes travel as deltas. No I/O, no
clock.

Each process has a *life*, a random number, and writes only that life's rows; a row's counts only grow, and
each change has the life's next version. Who holds a life up to version f holds exactly its rows as of some
moment. A *part* brings a life from one version to a later one, whoever hands it on, and is merged if it
joins what is held: again, late or twice it changes nothing (delta-interval-based anti-entropy after Almeida,
Shoker, Baquero, 2018; counters by grow-only sums, Shapiro and others, 2011).

Each instance asks a few others now and then what is newer than it holds, so what was lost is asked for
again. An answer says of each life how long ago it stood like this; a time spent on the way is bounded by the
asker's own clock, whose stamp comes back. So ages are upper bounds and no two clocks need agree, only their
speed.

Lives that are over are folded (see `settled`). That this is safe rests on a rule of time: who has heard no
answer for half of `gone` takes a new life, and hands on nothing it held before; the others fold a life that
they have not heard of for all of `gone`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import ceil, inf
from random import Random

from willownotch.peers.core import Send
from willownotch.peers.wire import Address
from willownotch.usage.estimate import Interval, interval
from willownotch.usage.settings import UsageSettings
from willownotch.usage.settled import Candidate, Settled, add
from willownotch.usage.windows import Series
from willownotch.usage.wire import (
    LIFE_BITS,
    NOTHING,
    Ask,
    Chunk,
    CountKind,
    Key,
    Message,
    Part,
    Row,
    Tell,
    encode,
)

DATAGRAM = 1250  # bytes of a message at the most, what the transport adds not counted
LIVES = 60  # named in one ask
PART_SIZE = 40  # bytes of a part without rows, at the most, its name not counted
EARLY = 32  # pieces of one life that came before those they join
TOP = 2**LIFE_BITS - 1
CANDIDATE_S = 5.0  # without progress, after which another settled part is looked at


@dataclass(slots=True)
class Session:
    """What is held of one process's counts. Rows stand in the order of their versions."""

    id: int
    name: str
    closed: bool = False
    upto: int = 0
    rows: dict[Key, Row] = field(default_factory=dict)
    as_of: float | None = None  # all that it had counted at this time, on the own clock, is held
    over_since: float | None = None  # when its end was heard of
    stale: bool = False  # held through a long absence: for answers only, never handed on
    early: dict[int, tuple[Part, float]] = field(default_factory=dict)

    def after(self, version: int) -> list[Row]:
        """Rows that changed later, the earliest change first."""
        found = []
        for row in reversed(self.rows.values()):
            if row.version <= version:
                break
            found.append(row)
        found.reverse()
        return found

    def put(self, row: Row) -> None:
        """The newest row; it stands last."""
        self.rows.pop(row.key, None)
        self.rows[row.key] = row
        self.upto = row.version

    def age(self, now: float) -> float:
        """Seconds since all that it had counted is known; 0 if it counts nothing more."""
        return 0.0 if self.closed else inf if self.as_of is None else max(0.0, now - self.as_of)


@dataclass(frozen=True, slots=True)
class Line:
    """What is known of one tenant and class: an interval for each sort, and rates of what was taken on."""

    tenant: bytes
    cls: str
    counts: tuple[Interval, ...]
    short_rate: float  # messages a second
    long_rate: float


@dataclass(frozen=True, slots=True)
class Answer:
    """What an instance knows of the fleet's usage."""

    lines: tuple[Line, ...]
    sessions: int
    left_out: int  # lines that were not asked for: those with the lowest counts
    settled: int  # lives in the settled part
    oldest_s: float  # age of the oldest part
    oldest: str  # whose it is
    unheard: tuple[str, ...]  # members that have told nothing yet: until they do, nothing is bounded above


class Usage:
    """One instance's view of all counts. Feed it by `count`, `exchange` and `receive`.

    Times are seconds on the caller's clock, which must not step back. `life` differs for each process.
    """

    def __init__(self, name: str, life: int, settings: UsageSettings, random: Random, now: float) -> None:
        self.name, self.settings, self.random = name, settings, random
        self.own = Session(life, name, as_of=now)
        self.sessions: dict[int, Session] = {life: self.own}
        self.settled = Settled()
        self.log: list[str] = []  # what an operator should hear; the caller empties it
        self.counters = {"merged": 0, "early": 0, "strange": 0, "renewed": 0, "folded": 0}
        self.lone = False  # no others are to be expected
        self.overdue = ""  # why `renew` has to be called before anything else
        self.unsaved = False  # the folder does not have the settled part, or own former lives, as they are
        self._totals: dict[Key, list[int]] = {}
        self._series: dict[Key, tuple[Series, Series]] = {}
        self._before: dict[Key, Row | None] = {}  # own rows as they were when they were last told to anybody
        self._mark = 0  # the own version then
        self._answered_at: float | None = None
        self._back_at: float | None = None  # somebody answered after a long absence
        self._claims: dict[int, dict[int, int]] = {}  # life: asker's life: version that it holds
        self._current: dict[str, int] = {}  # the life that each name asked with last
        self._members: set[str] = set()  # who must hold a life before it is folded
        self._candidate: Candidate | None = None
        self._turn = 0

    # What is counted here

    def count(self, now: float, row: Row) -> None:
        """A row of the own life as the tally has made it. Every one has to come, in the order of versions."""
        old = self.own.rows.get(row.key)
        self._before.setdefault(row.key, old)
        self._note(now, row, old)
        self.own.put(row)

    def close(self) -> None:
        """This process ends: it counts nothing more."""
        self.own.closed = True

    def load(self, sessions: Iterable[Session], settled: Settled) -> None:
        """What the folder kept of former processes: their lives are over, whoever else holds more of them."""
        self.settled = settled
        for life in sessions:
            if life.id in settled.sessions or life.id in self.sessions:
                continue
            life.closed, life.over_since = True, self.own.as_of
            self.sessions[life.id] = life
        self._recount()

    # Exchange

    def exchange(
        self, now: float, peers: Sequence[tuple[str, Address]], known: Iterable[str] = ()
    ) -> list[Send]:
        """Ask a few of those that are there; `known` are all that may still hold counts, also the silent
        ones."""
        self._members = {name for name, _ in peers} | set(known)
        self._members.discard(self.name)
        self._absence(now)
        if self.overdue:
            return []
        self._fold_all(now)
        if not peers or self.own.closed:  # an ask would show that this life goes on
            return []
        held = sorted((life.id, life.upto) for life in self.sessions.values() if not life.stale)
        parts = [held[at : at + LIVES] for at in range(0, len(held), LIVES)]
        candidate = (self._candidate.digest, self._candidate.have) if self._candidate else (0, 0)
        sends = []
        for _, address in self.random.sample(list(peers), min(self.settings.fanout, len(peers))):
            self._turn = (self._turn + 1) % len(parts)
            low = parts[self._turn][0][0] if self._turn else 0
            high = parts[self._turn + 1][0][0] - 1 if self._turn + 1 < len(parts) else TOP
            sends.append(
                Send(
                    address,
                    Ask(
                        self.name,
                        self.own.id,
                        round(now * 1e6),
                        low,
                        high,
                        tuple(parts[self._turn]),
                        self.settled.digest,
                        candidate,
                    ),
                )
            )
        return sends

    def receive(self, now: float, address: Address, message: Message) -> list[Send]:
        """A message of another instance, found authentic by the transport."""
        self._absence(now)
        if self.overdue:
            return []
        if isinstance(message, Ask):
            return [Send(address, tell) for tell in self._asked(now, message)]
        if message.life != self.own.id or message.stamp > now * 1e6 + 1:
            self.counters["strange"] += 1  # an answer to a former process or life
            return []
        self._answered(now)
        for part in message.parts:
            self._merge(now, part, message.stamp / 1e6)
        if message.chunk is not None:
            self._take_chunk(now, message.chunk)
        return []

    def _asked(self, now: float, ask: Ask) -> list[Tell]:
        """Answer with what is newer here, own counts first, in a few datagrams at the most."""
        self._current[ask.source] = ask.life
        asker = self.sessions.get(ask.life)
        if asker is not None and asker.closed:
            # Who says that it is over has an old copy of its folder.
            asker.closed, asker.over_since = False, None
        for life, version in ask.held:
            known = self.sessions.get(life)
            if known is not None and self._over(now, known):
                self._claims.setdefault(life, {})[ask.life] = version
        tells = self._settled_for(ask)
        packer = Packer(self.name, ask, tells, self.settings.pieces)
        held = dict(ask.held)
        wanted = [
            life
            for life in self.sessions.values()
            if ask.low <= life.id <= ask.high and not life.stale and life.id != ask.life
        ]
        self.random.shuffle(wanted)
        # The end of a life comes after the counts of the one that followed it.
        wanted.sort(key=lambda life: (life is not self.own, life.closed))
        for life in wanted:
            after = held.get(life.id, -1)
            age = 0.0 if life is self.own else life.age(now)
            if after <= life.upto and not packer.add(life, after, None if age == inf else ceil(age * 1000)):
                break
        packer.flush()
        if ask.low <= self.own.id <= ask.high:
            self._before, self._mark = {}, self.own.upto
        return tells

    def _settled_for(self, ask: Ask) -> list[Tell]:
        """The next pieces of the settled part, for who has another one."""
        mine = self.settled
        if not mine.sessions or ask.settled == mine.digest or ask.candidate == (mine.digest, mine.items()):
            return []
        tells, at = [], ask.candidate[1] if ask.candidate[0] == mine.digest else 0
        for _ in range(max(1, self.settings.pieces // 2)):
            chunk = mine.chunk(at, DATAGRAM - 100)
            tells.append(Tell(self.name, ask.life, ask.stamp, (), chunk))
            at += len(chunk.sessions) + len(chunk.rows)
            if at >= chunk.total:
                break
        return tells

    # Merging

    def _merge(self, now: float, part: Part, asked_at: float) -> None:
        """Take a part that joins what is held. `asked_at` is when its ask went out."""
        if part.life in self.settled.sessions or part.life == self.own.id:
            return
        life = self.sessions.get(part.life)
        if life is None:
            if not part.name:
                return  # an answer to an ask from before it was folded or dropped
            life = self.sessions[part.life] = Session(part.life, part.name)
        if life.stale:  # others have it still: what they hold counts
            life = self.sessions[part.life] = Session(part.life, life.name)
            self._recount()
            self.unsaved = True
        if part.after > life.upto:
            self.counters["early"] += 1
            if len(life.early) < EARLY:
                life.early[part.after] = part, asked_at
            return
        if not _plausible(part, life):
            self.counters["strange"] += 1
            return
        if part.upto > life.upto and life.closed and not part.closed:
            life.closed, life.over_since = False, None  # it had gone on
        for row in part.rows:
            if row.version > life.upto:
                self._note(now, row, life.rows.get(row.key))
                life.put(row)
        life.upto = max(life.upto, part.upto)
        self.counters["merged"] += 1
        if part.age_ms is not None and life.upto >= part.upto:
            as_of = asked_at - part.age_ms / 1000
            life.as_of = as_of if life.as_of is None else max(life.as_of, as_of)
            if part.closed and not life.closed:
                life.closed, life.over_since = True, now
        joined = next((after for after in life.early if after <= life.upto), None)
        if joined is not None:
            self._merge(now, *life.early.pop(joined))

    def _note(self, now: float, row: Row, old: Row | None) -> None:
        """Bring the totals along with a row's change."""
        totals = self._totals.get(row.key)
        if totals is None:
            totals = self._totals[row.key] = list(NOTHING)
        series = self._series.get(row.key)
        if series is None:
            series = self._series[row.key] = (
                Series(self.settings.short_window.total_seconds()),
                Series(self.settings.long_window.total_seconds()),
            )
        for each in series:
            each.note(now, totals[CountKind.TAKEN])
        before = old.counts if old else NOTHING
        for place, (new, was) in enumerate(zip(row.counts, before, strict=True)):
            totals[place] += new - was

    def _recount(self) -> None:
        """The totals anew, after lives came, went or were folded by another."""
        self._totals = {key: list(counts) for key, counts in self.settled.rows.items()}
        for life in self.sessions.values():
            for key, row in life.rows.items():
                self._totals[key] = list(add(tuple(self._totals.get(key, NOTHING)), row.counts))

    # Absence

    def _answered(self, now: float) -> None:
        self._answered_at = now
        if self._back_at is None and any(life.stale for life in self.sessions.values()):
            self._back_at = now
            for life in [life for life in self.sessions.values() if life.stale and life.name != self.name]:
                del self.sessions[life.id]
            self._claims.clear()
            self._recount()

    def _absence(self, now: float) -> None:
        """Who had others and hears no answer for half of `gone` may have been given up by them."""
        half = self.settings.gone.total_seconds() / 2
        if self._answered_at is not None and now - self._answered_at > half:
            self.overdue = self.overdue or f"no answer for {now - self._answered_at:.0f} s"
        if self._back_at is not None and now - self._back_at > self.settings.settle.total_seconds():
            # Nobody else holds these any more.
            for life in self.sessions.values():
                life.stale = False
            self._back_at = None

    def renew(self, now: float) -> None:
        """Take a new life, with what was counted since the own counts were last told; the rest stays with the
        old one, which is not handed on: what others hold of it counts."""
        old, why = self.own, self.overdue
        new = Session(self.random.getrandbits(LIFE_BITS) or 1, self.name, as_of=now)
        for key, before in self._before.items():
            row, was = old.rows[key], before.counts if before else NOTHING
            counts = tuple(n - b for n, b in zip(row.counts, was, strict=True))
            new.put(Row(*key, new.upto + 1, counts, row.peak))
            if before is None:
                del old.rows[key]
            else:
                old.rows[key] = before
        old.rows = dict(sorted(old.rows.items(), key=lambda item: item[1].version))
        old.upto, old.closed, old.over_since = self._mark, True, now
        for life in self.sessions.values():
            life.stale = True
        self.own = self.sessions[new.id] = new
        self._before, self._mark = dict.fromkeys(new.rows), 0
        self._answered_at = self._back_at = self._candidate = None
        self.overdue, self.unsaved = "", True
        self.counters["renewed"] += 1
        self.log.append(f"takes a new life: {why}; {len(new.rows)} rows changed since they were last told")

    # Folding

    def _over(self, now: float, life: Session) -> bool:
        if life.closed:
            since = life.over_since if life.over_since is not None else now
            return now - since >= self.settings.settle.total_seconds()
        return life.as_of is not None and life.age(now) > self.settings.gone.total_seconds()

    def _fold_all(self, now: float) -> None:
        """Fold the lives that are over and that every instance holds as it is held here."""
        if not (self.lone or self._answered_at is not None):
            return  # others may hold more
        over = [
            life
            for life in self.sessions.values()
            if life is not self.own and not life.stale and self._over(now, life)
        ]
        if not over:
            return
        askers = {name: self._current.get(name) for name in self._members}
        folded = False
        for life in over:
            claims = self._claims.get(life.id, {})
            if all(asker is not None and claims.get(asker) == life.upto for asker in askers.values()):
                self._fold(life)
                folded = True
        if folded:
            self._recount()

    def _fold(self, life: Session) -> None:
        self.settled.fold(life.id, life.upto, life.rows.values())
        del self.sessions[life.id]
        self._claims.pop(life.id, None)
        self.unsaved = True
        self.counters["folded"] += 1

    def _take_chunk(self, now: float, chunk: Chunk) -> None:
        """A piece of another's settled part. What it has folded can be folded here, too, at the same
        version."""
        if chunk.digest == self.settled.digest:
            return
        known = self._candidate
        if (
            known is None
            or known.digest != chunk.digest
            and (known.complete() or now - known.touched > CANDIDATE_S)
        ):
            self._candidate = known = Candidate(chunk.digest, chunk.total, now)
        done = known.take(now, chunk)
        if any(number == self.own.id for number, _ in chunk.sessions):
            self.overdue = "the others have folded the present one"
            return
        before = self.settled.digest
        for number, version in chunk.sessions:
            life = self.sessions.get(number)
            if life is not None and not life.stale and life.upto == version:
                self._fold(life)
        if done and self.settled.digest != known.digest and known.part.covers(self.settled.sessions):
            for number in known.part.sessions:
                self.sessions.pop(number, None)
                self._claims.pop(number, None)
            self.settled, self._candidate, self.unsaved = known.part, None, True
        if self.settled.digest != before:
            self._recount()

    # Answers

    def fleet_count(self, now: float, tenant: bytes, cls: str, sort: CountKind = CountKind.TAKEN) -> Interval:
        """One count of the whole fleet."""
        return self._interval(now, (tenant, cls), sort, self.complete())

    def complete(self) -> bool:
        """Whether all that may count have told something: else there is no upper bound to be had."""
        return (self.lone or self._answered_at is not None) and not self.unheard()

    def _interval(self, now: float, key: Key, sort: CountKind, complete: bool) -> Interval:
        settled = self.settled.rows.get(key, NOTHING)[sort]
        found = Interval(settled, settled, settled if complete else inf)
        for life in self.sessions.values():
            row = life.rows.get(key)
            held = row.counts[sort] if row else 0
            if life is self.own:
                found += Interval(held, held, held)
            else:
                found += interval(held, row.peak / 1000 if row else 0.0, life.age(now), self.settings.growth)
        return found

    def totals(self, sort: CountKind = CountKind.TAKEN) -> dict[Key, int]:
        """What is held of all counts, by tenant and class."""
        return {key: counts[sort] for key, counts in self._totals.items()}

    def unheard(self) -> tuple[str, ...]:
        """Members that may count, and of which nothing has been told yet."""
        told = {life.name for life in self.sessions.values() if not life.stale and life.as_of is not None}
        return tuple(sorted(self._members - told))

    def answer(self, now: float, tenant: bytes | None = None, most: int = 10**9) -> Answer:
        """All that is known, or what is known of one tenant, so many lines at the most, the highest counts
        first."""
        keys = [k for k in self._totals if tenant is None or k[0] == tenant]
        keys.sort(key=lambda k: (-self._totals[k][CountKind.TAKEN], k))
        left_out, keys = max(0, len(keys) - most), keys[:most]
        lines, complete = [], self.complete()
        for key in keys:
            taken = self._totals[key][CountKind.TAKEN]
            rates = [s.rate(now, taken) for s in self._series[key]] if key in self._series else [0.0, 0.0]
            lines.append(
                Line(*key, tuple(self._interval(now, key, sort, complete) for sort in CountKind), *rates)
            )
        ages = [(life.age(now), life.name) for life in self.sessions.values() if life is not self.own]
        oldest = max(ages, default=(0.0, self.name))
        return Answer(
            tuple(lines), len(self.sessions), left_out, len(self.settled.sessions), *oldest, self.unheard()
        )

    def rates(self, keys: Iterable[Key]) -> tuple[float, list[float]]:
        """Peak rates over some tenants and classes, messages a second: the own one, and one for each other
        instance that may still count. Of one that is there and has told nothing it is 0."""
        keys, own, others = list(keys), 0.0, [0.0] * len(self.unheard())
        for life in self.sessions.values():
            rate = sum(row.peak for key in keys if (row := life.rows.get(key))) / 1000
            if life is self.own:
                own = rate
            elif not life.closed:
                others.append(rate)
        return own, others


def _plausible(part: Part, life: Session) -> bool:
    """Whether a part could have come of counting: versions in order, and no count below the one that is
    held."""
    version = part.after
    for row in part.rows:
        if not version < row.version <= part.upto:
            return False
        version = row.version
        held = life.rows.get(row.key)
        if (
            held is not None
            and row.version > held.version
            and any(new < old for new, old in zip(row.counts, held.counts, strict=True))
        ):
            return False
    return True


class Packer:
    """Packs parts into the datagrams of one answer."""

    def __init__(self, name: str, ask: Ask, tells: list[Tell], most: int) -> None:
        self.name, self.ask, self.tells, self.most = name, ask, tells, most
        self._parts: list[Part] = []
        self._room = DATAGRAM

    def add(self, life: Session, held: int, age_ms: int | None) -> bool:
        """All of a life after version `held`, -1 if nothing is held, in several parts if need be; False if
        the answer is full."""
        rows, after, name = life.after(held), max(0, held), "" if held >= 0 else life.name
        at = 0
        while True:
            taken, size = [], PART_SIZE + len(name.encode())
            while at < len(rows) and size + (cost := len(encode(rows[at]))) <= self._room:
                taken.append(rows[at])
                size += cost
                at += 1
            whole = at == len(rows)
            if size <= self._room and (taken or whole):
                upto = life.upto if whole else taken[-1].version
                self._parts.append(
                    Part(
                        life.id,
                        name,
                        life.closed and whole,
                        after,
                        upto,
                        age_ms if whole else None,
                        tuple(taken),
                    )
                )
                self._room -= size
                after = upto
                if whole:
                    return True
            if not self.flush():
                return False

    def flush(self) -> bool:
        """Begin the next datagram; False if there are enough of them."""
        if self._parts or not self.tells:
            self.tells.append(Tell(self.name, self.ask.life, self.ask.stamp, tuple(self._parts)))
        self._parts, self._room = [], DATAGRAM
        return len(self.tells) < self.most
