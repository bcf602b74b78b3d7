"""Counts replicated over all instances, as a state-based counter (a CRDT) whose changes travel as deltas.
Free of I/O, and reads no clock.

Each process counts in a *session* with a random id, and writes the rows of that session only. The counts of
a row only grow, and each change takes the session's next version. An instance that holds a session up to
version v holds exactly the session's rows as of some moment. A *delta* brings a session from one version to
a later one, whichever instance sends it, and is merged if it joins what is held already. Repeated, late or
duplicate deltas change nothing (delta-interval-based anti-entropy after Almeida, Shoker and Baquero, 2018;
grow-only counters after Shapiro and others, 2011).

Each instance periodically asks a few others for whatever is newer than what it holds, so a lost message is
made up for by a later request. A reply states for each session how long ago it was at the version sent. The
time in transit is bounded by the requester's own clock, whose time stamp the reply returns. So ages are
upper bounds, and clocks need not agree, only run at the same speed.

Sessions that are over are folded into one sum (see `settled`). That is safe because of a timing rule: an
instance that has had no reply for half of `gone` starts a new session, and sends nothing on that it held
before; the others fold a session only after hearing nothing of it for all of `gone`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import ceil, inf
from random import Random

from willownotch.peers.core import Send
from willownotch.peers.wire import Address
from willownotch.usage.estimate import Interval, count_interval
from willownotch.usage.settings import UsageSettings
from willownotch.usage.settled import SettledCounts, SettledDownload, add_counts
from willownotch.usage.windows import RateWindow
from willownotch.usage.wire import (
    SESSION_ID_BITS,
    ZERO_COUNTS,
    CountKind,
    Delta,
    DeltaReply,
    DeltaRequest,
    Key,
    Message,
    Row,
    SettledChunk,
    encode,
)

MAX_MESSAGE_BYTES = 1250  # without what the transport adds
MAX_SESSIONS_PER_REQUEST = 60
DELTA_OVERHEAD_BYTES = 40  # upper bound for a delta without its rows and name
MAX_PENDING_DELTAS = 32  # of one session, received before the deltas that they join
MAX_SESSION_ID = 2**SESSION_ID_BITS - 1
DOWNLOAD_TIMEOUT_S = 5.0  # without progress, after which other settled counts may be downloaded instead


@dataclass(slots=True)
class Session:
    """What is held of one process's counts. `rows` is ordered by version."""

    id: int
    name: str
    closed: bool = False
    version: int = 0
    rows: dict[Key, Row] = field(default_factory=dict)
    as_of: float | None = None  # all that it had counted by this time, on the own clock, is held
    closed_since: float | None = None  # when this instance heard that it had ended
    stale: bool = False  # held through a long absence: counted here, but not sent to others
    pending: dict[int, tuple[Delta, float]] = field(default_factory=dict)

    def rows_after(self, version: int) -> list[Row]:
        """Returns the rows that changed after a version, in the order of their versions."""
        found = []
        for row in reversed(self.rows.values()):
            if row.version <= version:
                break
            found.append(row)
        found.reverse()
        return found

    def put(self, row: Row) -> None:
        """Stores the row with the highest version so far, and moves it to the end."""
        self.rows.pop(row.key, None)
        self.rows[row.key] = row
        self.version = row.version

    def age(self, now: float) -> float:
        """Returns the seconds since the moment up to which all its counts are held: 0 for a closed session,
        infinite if no such moment is known."""
        return 0.0 if self.closed else inf if self.as_of is None else max(0.0, now - self.as_of)


@dataclass(frozen=True, slots=True)
class Line:
    """Usage of one tenant and class: an interval for each `CountKind`, and the rates of accepted messages
    over both windows, in messages a second."""

    tenant: bytes
    cls: str
    counts: tuple[Interval, ...]
    short_rate: float
    long_rate: float


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What an instance knows of the fleet's usage."""

    lines: tuple[Line, ...]
    sessions: int
    left_out: int  # lines beyond the requested number: those with the lowest counts
    settled: int  # sessions folded into the settled counts
    oldest_s: float  # age of the session that was heard of longest ago
    oldest: str  # its instance's name
    unheard: tuple[str, ...]  # members of which no counts came yet: until they do, there is no upper bound


class Usage:
    """One instance's view of all counts, fed by `add_own_row`, `start_exchange` and `receive`.

    Times are in seconds on the caller's clock, which must not step back. `session` is the random id of this
    process's session.
    """

    def __init__(self, name: str, session: int, settings: UsageSettings, random: Random, now: float) -> None:
        self.name, self.settings, self.random = name, settings, random
        self.own = Session(session, name, as_of=now)
        self.sessions: dict[int, Session] = {session: self.own}
        self.settled = SettledCounts()
        self.log: list[str] = []  # messages for the log; the caller writes and removes them
        self.counters = {"merged": 0, "early": 0, "strange": 0, "renewed": 0, "folded": 0}
        self.is_alone = False  # no other instances are expected
        self.renewal_reason = ""  # if set, `renew` has to be called before anything else
        self.unsaved = False  # the settled counts or own former sessions have changed since they were saved
        self._totals: dict[Key, list[int]] = {}
        self._windows: dict[Key, tuple[RateWindow, RateWindow]] = {}
        self._rows_last_sent: dict[Key, Row | None] = {}  # changed own rows as they were when last sent
        self._version_last_sent = 0  # the own version then
        self._last_reply_at: float | None = None
        self._reconnected_at: float | None = None  # when the first reply after a long absence came
        self._versions_held: dict[int, dict[int, int]] = {}  # by session, then by the requester's session
        self._session_by_name: dict[str, int] = {}  # the session of each name's last request
        self._members: set[str] = set()  # who must hold a session before it is folded
        self._download: SettledDownload | None = None
        self._range_index = 0

    # Own counts

    def add_own_row(self, now: float, row: Row) -> None:
        """Stores a row of the own session as the tally made it. Needs every row, in the order of versions."""
        old = self.own.rows.get(row.key)
        self._rows_last_sent.setdefault(row.key, old)
        self._update_totals(now, row, old)
        self.own.put(row)

    def close(self) -> None:
        """Marks the own session as ended: this process counts nothing more."""
        self.own.closed = True

    def load(self, sessions: Iterable[Session], settled: SettledCounts) -> None:
        """Takes over what the folder kept of former processes. Their sessions are over, even if other
        instances hold more of them."""
        self.settled = settled
        for session in sessions:
            if session.id in settled.sessions or session.id in self.sessions:
                continue
            session.closed, session.closed_since = True, self.own.as_of
            self.sessions[session.id] = session
        self._rebuild_totals()

    # Exchange

    def start_exchange(
        self, now: float, peers: Sequence[tuple[str, Address]], known: Iterable[str] = ()
    ) -> list[Send]:
        """Returns requests to a few of the `peers`. `known` names all that may still hold counts, including
        members that no longer answer."""
        self._members = {name for name, _ in peers} | set(known)
        self._members.discard(self.name)
        self._check_absence(now)
        if self.renewal_reason:
            return []
        self._fold_finished(now)
        if not peers or self.own.closed:  # a request would show that this session goes on
            return []
        held = sorted(
            (session.id, session.version) for session in self.sessions.values() if not session.stale
        )
        ranges = [
            held[at : at + MAX_SESSIONS_PER_REQUEST] for at in range(0, len(held), MAX_SESSIONS_PER_REQUEST)
        ]
        incoming = (self._download.digest, self._download.received_items) if self._download else (0, 0)
        sends = []
        for _, address in self.random.sample(list(peers), min(self.settings.fanout, len(peers))):
            self._range_index = (self._range_index + 1) % len(ranges)
            first_id = ranges[self._range_index][0][0] if self._range_index else 0
            last_id = (
                ranges[self._range_index + 1][0][0] - 1
                if self._range_index + 1 < len(ranges)
                else MAX_SESSION_ID
            )
            sends.append(
                Send(
                    address,
                    DeltaRequest(
                        self.name,
                        self.own.id,
                        round(now * 1e6),
                        first_id,
                        last_id,
                        tuple(ranges[self._range_index]),
                        self.settled.digest,
                        incoming,
                    ),
                )
            )
        return sends

    def receive(self, now: float, address: Address, message: Message) -> list[Send]:
        """Handles a message of another instance, authenticated by the transport; returns the replies."""
        self._check_absence(now)
        if self.renewal_reason:
            return []
        if isinstance(message, DeltaRequest):
            return [Send(address, reply) for reply in self._handle_request(now, message)]
        if message.session != self.own.id or message.sent_at_us > now * 1e6 + 1:
            self.counters["strange"] += 1  # a reply to a former process or session
            return []
        self._on_reply(now)
        for delta in message.deltas:
            self._merge(now, delta, message.sent_at_us / 1e6)
        if message.chunk is not None:
            self._receive_chunk(now, message.chunk)
        return []

    def _handle_request(self, now: float, request: DeltaRequest) -> list[DeltaReply]:
        """Returns what is newer here than the requester holds, own counts first, in at most
        `settings.pieces` datagrams."""
        self._session_by_name[request.source] = request.session
        requester = self.sessions.get(request.session)
        if requester is not None and requester.closed:
            # It still sends requests, so whoever reported it as ended had read an old copy of its folder.
            requester.closed, requester.closed_since = False, None
        for session_id, version in request.versions:
            known = self.sessions.get(session_id)
            if known is not None and self._is_over(now, known):
                self._versions_held.setdefault(session_id, {})[request.session] = version
        replies = self._settled_chunks_for(request)
        packer = ReplyPacker(self.name, request, replies, self.settings.pieces)
        held = dict(request.versions)
        to_send = [
            session
            for session in self.sessions.values()
            if request.first_id <= session.id <= request.last_id
            and not session.stale
            and session.id != request.session
        ]
        self.random.shuffle(to_send)
        # Closed sessions go last: the requester has to learn a successor's counts before the end of the
        # session that it follows.
        to_send.sort(key=lambda session: (session is not self.own, session.closed))
        for session in to_send:
            from_version = held.get(session.id, -1)
            age = 0.0 if session is self.own else session.age(now)
            if from_version <= session.version and not packer.add(
                session, from_version, None if age == inf else ceil(age * 1000)
            ):
                break
        packer.flush()
        if request.first_id <= self.own.id <= request.last_id:
            self._rows_last_sent, self._version_last_sent = {}, self.own.version
        return replies

    def _settled_chunks_for(self, request: DeltaRequest) -> list[DeltaReply]:
        """Returns the next chunks of the settled counts, if the requester has others."""
        settled = self.settled
        if (
            not settled.sessions
            or request.settled_digest == settled.digest
            or request.incoming == (settled.digest, settled.item_count())
        ):
            return []
        replies, at = [], request.incoming[1] if request.incoming[0] == settled.digest else 0
        for _ in range(max(1, self.settings.pieces // 2)):
            chunk = settled.chunk(at, MAX_MESSAGE_BYTES - 100)
            replies.append(DeltaReply(self.name, request.session, request.sent_at_us, (), chunk))
            at += len(chunk.sessions) + len(chunk.rows)
            if at >= chunk.total_items:
                break
        return replies

    # Merging

    def _merge(self, now: float, delta: Delta, requested_at: float) -> None:
        """Merges a delta if it joins what is held. `requested_at` is when its request was sent."""
        if delta.session in self.settled.sessions or delta.session == self.own.id:
            return
        session = self.sessions.get(delta.session)
        if session is None:
            if not delta.name:
                return  # a reply to a request sent before the session was folded or dropped
            session = self.sessions[delta.session] = Session(delta.session, delta.name)
        if session.stale:  # others still hold it, and their copy counts
            session = self.sessions[delta.session] = Session(delta.session, session.name)
            self._rebuild_totals()
            self.unsaved = True
        if delta.from_version > session.version:
            self.counters["early"] += 1
            if len(session.pending) < MAX_PENDING_DELTAS:
                session.pending[delta.from_version] = delta, requested_at
            return
        if not _is_plausible(delta, session):
            self.counters["strange"] += 1
            return
        if delta.to_version > session.version and session.closed and not delta.closed:
            session.closed, session.closed_since = False, None  # it had gone on counting
        for row in delta.rows:
            if row.version > session.version:
                self._update_totals(now, row, session.rows.get(row.key))
                session.put(row)
        session.version = max(session.version, delta.to_version)
        self.counters["merged"] += 1
        if delta.age_ms is not None and session.version >= delta.to_version:
            as_of = requested_at - delta.age_ms / 1000
            session.as_of = as_of if session.as_of is None else max(session.as_of, as_of)
            if delta.closed and not session.closed:
                session.closed, session.closed_since = True, now
        joined = next((version for version in session.pending if version <= session.version), None)
        if joined is not None:
            self._merge(now, *session.pending.pop(joined))

    def _update_totals(self, now: float, row: Row, old: Row | None) -> None:
        """Adds the difference between a row and the one it replaces to the totals."""
        totals = self._totals.get(row.key)
        if totals is None:
            totals = self._totals[row.key] = list(ZERO_COUNTS)
        windows = self._windows.get(row.key)
        if windows is None:
            windows = self._windows[row.key] = (
                RateWindow(self.settings.short_window.total_seconds()),
                RateWindow(self.settings.long_window.total_seconds()),
            )
        for window in windows:
            window.add_sample(now, totals[CountKind.TAKEN])
        before = old.counts if old else ZERO_COUNTS
        for kind, (new, previous) in enumerate(zip(row.counts, before, strict=True)):
            totals[kind] += new - previous

    def _rebuild_totals(self) -> None:
        """Recomputes the totals after sessions were added, dropped, or folded by another instance."""
        self._totals = {key: list(counts) for key, counts in self.settled.rows.items()}
        for session in self.sessions.values():
            for key, row in session.rows.items():
                self._totals[key] = list(add_counts(tuple(self._totals.get(key, ZERO_COUNTS)), row.counts))

    # Absence

    def _on_reply(self, now: float) -> None:
        self._last_reply_at = now
        if self._reconnected_at is None and any(session.stale for session in self.sessions.values()):
            self._reconnected_at = now
            for session in [
                session for session in self.sessions.values() if session.stale and session.name != self.name
            ]:
                del self.sessions[session.id]
            self._versions_held.clear()
            self._rebuild_totals()

    def _check_absence(self, now: float) -> None:
        """Requires a new session after half of `gone` without a reply: the others may soon fold the present
        one."""
        half = self.settings.gone.total_seconds() / 2
        if self._last_reply_at is not None and now - self._last_reply_at > half:
            self.renewal_reason = self.renewal_reason or f"no reply for {now - self._last_reply_at:.0f} s"
        if (
            self._reconnected_at is not None
            and now - self._reconnected_at > self.settings.settle.total_seconds()
        ):
            # No other instance holds these sessions any more.
            for session in self.sessions.values():
                session.stale = False
            self._reconnected_at = None

    def renew(self, now: float) -> None:
        """Starts a new session with what was counted since the own counts were last sent.

        The rest stays with the old session, which this instance does not send on: what the others hold of it
        counts.
        """
        old, reason = self.own, self.renewal_reason
        new = Session(self.random.getrandbits(SESSION_ID_BITS) or 1, self.name, as_of=now)
        for key, before in self._rows_last_sent.items():
            row, previous = old.rows[key], before.counts if before else ZERO_COUNTS
            counts = tuple(n - p for n, p in zip(row.counts, previous, strict=True))
            new.put(Row(*key, new.version + 1, counts, row.peak_milli_per_s))
            if before is None:
                del old.rows[key]
            else:
                old.rows[key] = before
        old.rows = dict(sorted(old.rows.items(), key=lambda item: item[1].version))
        old.version, old.closed, old.closed_since = self._version_last_sent, True, now
        for session in self.sessions.values():
            session.stale = True
        self.own = self.sessions[new.id] = new
        self._rows_last_sent, self._version_last_sent = dict.fromkeys(new.rows), 0
        self._last_reply_at = self._reconnected_at = self._download = None
        self.renewal_reason, self.unsaved = "", True
        self.counters["renewed"] += 1
        self.log.append(f"starts a new session: {reason}; {len(new.rows)} rows changed since the last send")

    # Folding

    def _is_over(self, now: float, session: Session) -> bool:
        if session.closed:
            since = session.closed_since if session.closed_since is not None else now
            return now - since >= self.settings.settle.total_seconds()
        return session.as_of is not None and session.age(now) > self.settings.gone.total_seconds()

    def _fold_finished(self, now: float) -> None:
        """Folds the sessions that are over and that every instance holds at the same version as this one."""
        if not (self.is_alone or self._last_reply_at is not None):
            return  # others may hold more
        over = [
            session
            for session in self.sessions.values()
            if session is not self.own and not session.stale and self._is_over(now, session)
        ]
        if not over:
            return
        member_sessions = {name: self._session_by_name.get(name) for name in self._members}
        folded = False
        for session in over:
            versions = self._versions_held.get(session.id, {})
            if all(
                member is not None and versions.get(member) == session.version
                for member in member_sessions.values()
            ):
                self._fold(session)
                folded = True
        if folded:
            self._rebuild_totals()

    def _fold(self, session: Session) -> None:
        self.settled.fold(session.id, session.version, session.rows.values())
        del self.sessions[session.id]
        self._versions_held.pop(session.id, None)
        self.unsaved = True
        self.counters["folded"] += 1

    def _receive_chunk(self, now: float, chunk: SettledChunk) -> None:
        """Adds a chunk of another instance's settled counts.

        A session that the other has folded can be folded here too, if it is held at the same version.
        """
        if chunk.digest == self.settled.digest:
            return
        download = self._download
        if (
            download is None
            or download.digest != chunk.digest
            and (download.is_complete() or now - download.last_chunk_at > DOWNLOAD_TIMEOUT_S)
        ):
            self._download = download = SettledDownload(chunk.digest, chunk.total_items, now)
        done = download.add_chunk(now, chunk)
        if any(session_id == self.own.id for session_id, _ in chunk.sessions):
            self.renewal_reason = "other instances have folded the present session"
            return
        before = self.settled.digest
        for session_id, version in chunk.sessions:
            session = self.sessions.get(session_id)
            if session is not None and not session.stale and session.version == version:
                self._fold(session)
        if done and self.settled.digest != download.digest and download.counts.covers(self.settled.sessions):
            for session_id in download.counts.sessions:
                self.sessions.pop(session_id, None)
                self._versions_held.pop(session_id, None)
            self.settled, self._download, self.unsaved = download.counts, None, True
        if self.settled.digest != before:
            self._rebuild_totals()

    # Reports

    def fleet_count(self, now: float, tenant: bytes, cls: str, kind: CountKind = CountKind.TAKEN) -> Interval:
        """Returns the interval of one count over all instances."""
        return self._interval(now, (tenant, cls), kind, self.is_complete())

    def is_complete(self) -> bool:
        """Whether counts of all members were received; without them no upper bound holds."""
        return (self.is_alone or self._last_reply_at is not None) and not self.unheard()

    def _interval(self, now: float, key: Key, kind: CountKind, complete: bool) -> Interval:
        settled = self.settled.rows.get(key, ZERO_COUNTS)[kind]
        total = Interval(settled, settled, settled if complete else inf)
        for session in self.sessions.values():
            row = session.rows.get(key)
            held = row.counts[kind] if row else 0
            if session is self.own:
                total += Interval(held, held, held)
            else:
                total += count_interval(
                    held,
                    row.peak_milli_per_s / 1000 if row else 0.0,
                    session.age(now),
                    self.settings.growth,
                )
        return total

    def totals(self, kind: CountKind = CountKind.TAKEN) -> dict[Key, int]:
        """Returns the sum of all counts held, by tenant and class."""
        return {key: counts[kind] for key, counts in self._totals.items()}

    def unheard(self) -> tuple[str, ...]:
        """Returns the names of members that may count, and of which no counts were received yet."""
        heard = {
            session.name
            for session in self.sessions.values()
            if not session.stale and session.as_of is not None
        }
        return tuple(sorted(self._members - heard))

    def report(self, now: float, tenant: bytes | None = None, max_lines: int = 10**9) -> UsageReport:
        """Returns the usage of one tenant, or of all, in at most `max_lines` lines, highest counts first."""
        keys = [k for k in self._totals if tenant is None or k[0] == tenant]
        keys.sort(key=lambda k: (-self._totals[k][CountKind.TAKEN], k))
        left_out, keys = max(0, len(keys) - max_lines), keys[:max_lines]
        lines, complete = [], self.is_complete()
        for key in keys:
            taken = self._totals[key][CountKind.TAKEN]
            rates = [w.rate(now, taken) for w in self._windows[key]] if key in self._windows else [0.0, 0.0]
            lines.append(
                Line(*key, tuple(self._interval(now, key, kind, complete) for kind in CountKind), *rates)
            )
        ages = [
            (session.age(now), session.name) for session in self.sessions.values() if session is not self.own
        ]
        oldest = max(ages, default=(0.0, self.name))
        return UsageReport(
            tuple(lines), len(self.sessions), left_out, len(self.settled.sessions), *oldest, self.unheard()
        )

    def peak_rates(self, keys: Iterable[Key]) -> tuple[float, list[float]]:
        """Returns peak rates summed over some tenants and classes, in messages a second: the own one, and
        one for each other instance that may still count (0 for members of which no counts were received)."""
        keys, own, others = list(keys), 0.0, [0.0] * len(self.unheard())
        for session in self.sessions.values():
            rate = sum(row.peak_milli_per_s for key in keys if (row := session.rows.get(key))) / 1000
            if session is self.own:
                own = rate
            elif not session.closed:
                others.append(rate)
        return own, others


def _is_plausible(delta: Delta, session: Session) -> bool:
    """Whether counting can have produced a delta: versions in order, and no count below the one held."""
    version = delta.from_version
    for row in delta.rows:
        if not version < row.version <= delta.to_version:
            return False
        version = row.version
        held = session.rows.get(row.key)
        if (
            held is not None
            and row.version > held.version
            and any(new < old for new, old in zip(row.counts, held.counts, strict=True))
        ):
            return False
    return True


class ReplyPacker:
    """Packs deltas into the datagrams of one reply."""

    def __init__(self, name: str, request: DeltaRequest, replies: list[DeltaReply], max_replies: int) -> None:
        self.name, self.request, self.replies, self.max_replies = name, request, replies, max_replies
        self._deltas: list[Delta] = []
        self._bytes_left = MAX_MESSAGE_BYTES

    def add(self, session: Session, held_version: int, age_ms: int | None) -> bool:
        """Adds all of a session after `held_version` (-1 if the requester holds nothing of it), in several
        deltas if needed. Returns False if the reply is full."""
        rows, from_version, name = (
            session.rows_after(held_version),
            max(0, held_version),
            "" if held_version >= 0 else session.name,
        )
        at = 0
        while True:
            packed, size = [], DELTA_OVERHEAD_BYTES + len(name.encode())
            while at < len(rows) and size + (cost := len(encode(rows[at]))) <= self._bytes_left:
                packed.append(rows[at])
                size += cost
                at += 1
            is_last = at == len(rows)
            if size <= self._bytes_left and (packed or is_last):
                to_version = session.version if is_last else packed[-1].version
                self._deltas.append(
                    Delta(
                        session.id,
                        name,
                        session.closed and is_last,
                        from_version,
                        to_version,
                        age_ms if is_last else None,
                        tuple(packed),
                    )
                )
                self._bytes_left -= size
                from_version = to_version
                if is_last:
                    return True
            if not self.flush():
                return False

    def flush(self) -> bool:
        """Ends the present datagram; returns False if the reply may not have another one."""
        if self._deltas or not self.replies:
            self.replies.append(
                DeltaReply(self.name, self.request.session, self.request.sent_at_us, tuple(self._deltas))
            )
        self._deltas, self._bytes_left = [], MAX_MESSAGE_BYTES
        return len(self.replies) < self.max_replies
