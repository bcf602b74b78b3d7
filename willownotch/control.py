"""All decisions of willownotch. Types, events and actions stand in `willownotch/interface.py`.

The ordinary path is the high-percentile concurrency limit (docs/design.md): calls in flight stay under F x
min cost x max rate (`concurrency_limit.py`). Exceptions: pace (`pacing.py`), slow start and trials
(`slow_start.py`), health (`_evidence`), silence (`_overdue`), distrusted connections (`_reused`).
`willownotch/state.py` has what is remembered.
"""

from __future__ import annotations

import random
from math import inf, log

from willownotch import interface as api
from willownotch.concurrency_limit import (
    EXPECTED_FACTOR,
    FAST_STEP,
    M_EVERY,
    PERIOD_S,
    RECENT_S,
    ROOM_LEFT,
    TICK_S,
    TOP,
    admits,
    slow,
    success,
    window,
)
from willownotch.interface import Idempotency, Outcome
from willownotch.pacing import PACE_GAP_S, even_part, refused, told
from willownotch.repeats import RAN_BY_OUTCOME, may_refuse, may_send
from willownotch.slow_start import FEW_SENDERS, LATE_S, TOGETHER_LEAST, Calls, SlowStart, State, Traffic
from willownotch.state import Bucket, Call, Destination, Fading, Job, Ran, Route, Store, Unit, follow, job_of

DEST_SHARE, SICK_SHARE = 0.75, 0.5  # share of slots: one destination; a slow or failing one, or all of these
FAIL_STEP, FULL_STEP, SICK = 0.4, 0.1, 0.6  # two failures in a row pass SICK, or nine refusals
OVERDUE = 1.5  # x expected: so old an unanswered call has failed
JITTER = (0.5, 1.5)  # x a gap between calls, so that senders refused together do not come back together
ROUGH = 2 / 3  # x a listed rate, which may be half too high, until an answer tells the limit
SHUT_REFUSALS = 3  # with no call taken between them, and over RECENT_S, they are no limit's
CERTAIN = 2.0  # x the patience with an endpoint that is not known: failing for longer than that, it is out
ROOM_FULL, DEST_ROOM = 0.9, 0.5  # share of the holding room: all held work; what waits for one destination
TIGHT_CALLS, SPARSE = 100, 1.0  # calls closing theirs after a refused connection, at units under so many a s
TENANT_BURST_S, ARRIVALS_S = 2.0, 10.0  # s of a quota that may come at once; s that traffic is averaged over
STUCK = 2.0  # x the longest of the last calls: so old a call, overtaken by others, is answered no more
LONG_S, NEW_COSTS = 1.0, 0.02  # s without connection: no full table; least cost of a new one, x a message
LIST_AGAIN_S, TICK_LABEL, LIST_LABEL = 1.0, 1, 2  # s until a failed list call is tried again; timers


def sick(dest: Destination) -> bool:
    """Slow, failing or silent anywhere; M itself never rises while nothing is answered."""
    silent = any(call.judged and not call.heard for r in dest.routes.values() for call in r.calls)
    return silent or any(r.failing or slow(r.unit) for r in dest.routes.values())


def usual(dest: Destination) -> float:
    """Usual latency."""
    return min((r.unit.min_cost or TICK_S for r in dest.routes.values()), default=TICK_S)


class Controller:
    """One sender's decisions. `handle` takes a whole round of events, then dispatches once."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random, self.store, self.shares = random.Random(seed), Store(settings), {}
        self._tune(settings)
        self.at: dict[int, float] = {}  # of a route, its `_ready_at` until something is sent
        self.windows: dict[Unit, float] = {}  # as of this dispatch
        self.quiet: dict[str, float] = {}  # when a key may be used again
        self.turned: dict[int, float] = {}  # of a kind, the share of calls turned away lately
        self.tight: dict[int, int] = {}  # of a kind, calls after which idle connections are still closed
        self.now, self.out, self.sick_calls, self.free_at, self.stops_at = 0.0, [], 0, -inf, inf
        self.due, self.wake_at = inf, -inf  # when there is something to look at; the timer that is set
        self.arrivals, self.reuses, self.drops = Fading(ARRIVALS_S), Fading(ARRIVALS_S), Fading(ARRIVALS_S)
        self.remembered: dict[int, api.SlowStartRecord] | None = None  # of endpoints not listed yet
        self.saved_at = -inf  # when the process before this one was last known to watch
        self.unrecorded_since = -inf  # begin of this process, where none before it has left a record
        self.list_at, self.list_fails = -inf, 0  # when to ask for the list again; failures in a row

    def _tune(self, settings: api.Settings) -> None:
        """Go by these settings from now on; what is in hand keeps its class, a tenant what is left to it."""
        self.settings = self.store.settings = settings
        self.strange, self.parts = min(c.wanted_s for c in settings.classes), {}  # patience; counted parts
        fresh = {t.name: Bucket(t.quota_per_s * TENANT_BURST_S, 0.0) for t in settings.tenants}
        self.shares = {name: self.shares.get(name, bucket) for name, bucket in fresh.items()}
        for route in self.store.routes.values() if settings.listed_rates else ():
            route.unit.told_limit = route.unit.told_limit or route.entry.rate

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take one round and answer with the actions, in order."""
        self.now, self.out, self.due = now, [], now + PERIOD_S
        for event in events:
            self._take(event)
        if self.settings.must_subscribe and now >= self.list_at - TICK_S / 4:
            self.list_at = inf
            self.out.append(api.Subscribe())
        self._overdue()
        self._free_slot()
        self._give_up()
        self._dispatch()
        # A timer may ring a hair before its time by the caller's clock: one that near counts as rung.
        due = max(self.due, now + TICK_S)
        if self.store.jobs and not now + TICK_S / 4 < self.wake_at <= due:
            self.wake_at = due
            self.out.append(api.SetTimer(self.wake_at - now, TICK_LABEL))
        return self.out

    def _take(self, event: api.Event) -> None:
        if isinstance(event, api.AttemptEnded):
            self._ended(event)
        elif isinstance(event, api.Message):
            self._message(event)
        elif isinstance(event, api.EndpointList):
            self.list_fails = 0
            known = {entry.number for entry in event.entries if entry.number in self.store.routes}
            for route in self.store.update(event, self.now):
                route.unit.told_limit = route.unit.told_limit or route.entry.rate * self.settings.listed_rates
                if route.entry.number not in known:
                    self._listed(route)
        elif isinstance(event, api.SlowStartRecords):
            self.remembered = {record.endpoint: record for record in event.records}
            self.saved_at = -inf if event.saved_at is None else event.saved_at
            self.unrecorded_since = self.now if event.saved_at is None else -inf
        elif isinstance(event, api.ListFailed) and self.list_at == inf:
            # All senders fail together: they ask again apart, one call each, before they are deemed told.
            wait = min(LIST_AGAIN_S * 2**self.list_fails, self.settings.rules.ask_within_s / 2)
            wait, self.list_fails = wait * self.random.uniform(*JITTER), self.list_fails + 1
            self.list_at = self.now + wait
            self.out.append(api.SetTimer(wait, LIST_LABEL))
        elif isinstance(event, api.ProbeEnded) and event.endpoint in self.store.routes:
            self._evidence(self.store.routes[event.endpoint], event)
        elif isinstance(event, api.PeerJudgement):
            self._heard(event)
        elif isinstance(event, api.Withdrawn) and event.ref in self.store.jobs:
            self.store.finish(self.store.jobs[event.ref])
        elif isinstance(event, api.TenantPart):
            self.parts[event.tenant] = event
        elif isinstance(event, api.SettingsChanged):
            self._tune(event.settings)
        elif isinstance(event, api.Stopping):
            self.stops_at = self.now + event.after_s

    def _listed(self, route: Route) -> None:
        """An endpoint is new here: what the process before knew of it goes on, else it may be cold."""
        if self.remembered is None:
            return
        record = self.remembered.pop(route.entry.number, None)
        if record is not None:
            route.slow_start = SlowStart.restore(record)
            route.last_ok = record.last_answer
            self.store.destinations[route.entry.destination].restore_demand(record.usual, self.now)
            if record.limit and not route.unit.mean_limit:
                route.unit.told_limit = route.unit.mean_limit = record.limit
            route.unit.pace = min(route.unit.pace, record.pace)
            self._space(route)  # how long was waited is lost: all that were restarted wait anew
        elif self.now - self.saved_at > RECENT_S:
            fair = self._traffic(route, self._peers(route)).fair
            route.slow_start.assume(self.now, self.settings.rules, fair)

    def _doubt_unrecorded(self, route: Route) -> None:
        """A process without a record may have lost it in an outage, with many others: it keeps to its part
        of a known limit. One of a few senders, or one that knows of no limit, has no such part."""
        part_known = self.settings.senders >= FEW_SENDERS and route.unit.told_limit > 0
        if part_known and self.now - self.unrecorded_since < self.settings.rules.cold_s:
            route.slow_start.doubt(len(route.unit.cold_calls))

    def slow_starts(self) -> api.SlowStartRecords:
        """What a process after this one has to know of endpoints that are not healthy, or are paced."""
        records, known = [], True
        for route in self.store.routes.values():
            slow_start, unit = route.slow_start, route.unit
            if slow_start.state is State.HEALTHY and unit.pace == inf:
                continue
            if slow_start.assumed:  # nothing to hand on, but that nothing is known
                known = known and slow_start.warm_at <= self.now
                continue
            usual = self.store.destinations[route.entry.destination].wanted(self.now)
            usual = min(usual, slow_start.delivered_before or inf)
            limit = unit.mean_limit or 0.0
            records.append(slow_start.record(route.entry.number, route.last_ok, usual, limit, unit.pace))
        return api.SlowStartRecords(tuple(records), self.now if known else None)

    def _message(self, message: api.Message) -> None:
        # Short patience at a first hand-in is no lost time: only what comes again has been on its way.
        back = message.is_retry or not self.settings.clients_mark_retries
        job = job_of(message, message.rules or self.settings.classes[message.message_class], self.now, back)
        self.arrivals.add(1.0, self.now)
        if message.is_retry and message.destination in self.store.destinations:
            for route in self.store.destinations[message.destination].routes.values():
                route.slow_start.doubt(len(route.unit.cold_calls))
        if not message.is_retry and not message.past:
            self.store.destinations.setdefault(message.destination, Destination()).add_demand(self.now)
        quotas = ARRIVALS_S * sum(t.quota_per_s for t in self.settings.tenants) or inf
        part = max(1 / self.settings.senders, min(1.0, self.arrivals.at(self.now) / quotas))
        for tenant in self.settings.tenants[message.tenant : message.tenant + 1]:
            own = self.parts.get(message.tenant) or api.TenantPart(message.tenant, part)
            share, fresh = self.shares[tenant.name], own.part * tenant.quota_per_s
            # One message at the least, or a sender with hardly any traffic would find all of it over.
            within = share.fill(fresh, self.now, max(1.0, fresh * TENANT_BURST_S))
            share.left -= within
            if own.hard and not within:  # one more fits its budget then
                back = min(self.settings.max_retry_after_s, 1 / max(fresh, 0.1))
                return self.out.append(api.Refuse(message.ref, back))
            job.worth *= 1.0 if within else self.settings.over_share_worth
        most = max(cls.worth for cls in self.settings.classes) or 1.0
        job.priority = (TOP - 1) * job.worth / most + self.random.random()
        self.store.add(job)
        self.store.recall(job, message.past, self.now)
        if job.key is not None and job.tainted():  # what was out at a restart may still run for a while
            self.quiet[job.key] = self.now + self.settings.rules.key_quiet_s

    def _ended(self, event: api.AttemptEnded) -> None:
        job = self.store.jobs.get(event.ref)
        known = job is not None and 0 <= event.attempt < len(job.attempts)
        if not known or job.attempts[event.attempt][1] is not Ran.OUTSTANDING:
            return
        call = job.attempts[event.attempt][0]
        job.attempts[event.attempt][1] = RAN_BY_OUTCOME[event.outcome]
        # Messages of one call can be told different waits, and a call judged silent may still be told one.
        call.route.unit.wait_until = max(call.route.unit.wait_until, self.now + event.wait_s)
        # A long wait is an outage, no limit's span: it ends for all at once, where all is cold then.
        for route in self.store.alike(call.route) if event.wait_s > RECENT_S else ():
            route.slow_start.recover(self.now, self.settings.rules, route.unit.wait_until)
            route.slow_start.unreachable_at = inf
            self._space(route, self.random.random())
        if not call.heard and (not call.judged or event.outcome is Outcome.DELIVERED):
            if call.judged and call.idle_s is not None:
                self.drops.add(-min(1.0, call.route.lost), self.now)  # slow, not lost
                call.route.lost = max(0.0, call.route.lost - 1.0)
            self._reused(call, event.outcome)
            if event.outcome is not Outcome.BROKEN or call.idle_s is None:
                self._evidence(call.route, event, call.idle_s is not None)
        call.heard = call.judged = True
        if event.outcome in (Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED):
            call.route.idle_at = self.now
        self.store.release(call)
        self._close(call.route, event)
        unsure = event.outcome in (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED) or event.unreadable
        if job.key is not None and unsure:
            self.quiet[job.key] = self.now + self.settings.rules.key_quiet_s
            self.quiet = {key: until for key, until in self.quiet.items() if until > self.now}
        if event.final or job.over:
            self.store.finish(job)
        elif not job.outstanding():
            self.store.hold(job)

    def _close(self, route: Route, event: api.AttemptEnded) -> None:
        """Idle connections of many senders fill an endpoint: who was refused one closes its own there."""
        kind = route.entry.kind
        if event.outcome is Outcome.UNREACHABLE and event.took_s < LONG_S:  # else nothing answers there
            self.tight[kind] = TIGHT_CALLS
        elif self.tight.get(kind, 0) and (route.unit.mean_rate or 0.0) < SPARSE and not route.calls:
            self.tight[kind] -= 1
            self.out.append(api.CloseIdle(route.entry.number))

    def _turn(self, route: Route, failing: bool, phase: float | None = None, cold: bool = True) -> None:
        """A verdict, or a return; it is told to the others unless it came from one of them."""
        slow_start, now = route.slow_start, self.now
        route.sick = SICK if failing else FAIL_STEP / 2
        unheard = slow_start.unheard
        if failing:
            slow_start.fail(now, route.unit.mean_rate or 0.0)
        elif cold:
            slow_start.recover(
                now, self.settings.rules, slow_start.date_return(now) if phase is None else now
            )
            if phase is None:
                route.unit.pace = inf  # it was cut as the outage began: now its slow start says how fast
        else:
            slow_start.resume()
        self._space(route, phase)
        if failing and unheard:  # its first call failed: mostly that one alone, and the next one tells
            slow_start.next_at = now
        # With a call in many seconds each sender would else find an outage and its end out for itself.
        if self.settings.may_tell and phase is None:
            self.out.append(api.PublishJudgement(route.entry.number, not failing))

    def _heard(self, note: api.PeerJudgement) -> None:
        """What another saw counts as a verdict or a return, unless this sender has had an answer lately."""
        route, fails = self.store.routes.get(note.endpoint), not note.works
        if route and fails != route.failing and not (fails and self.now - route.last_ok < RECENT_S):
            self._turn(route, fails, self.random.random())

    def _reused(self, call: Call, outcome: Outcome) -> None:
        """Connections may be dropped unseen while idle: how often calls on idle ones broke or fell silent."""
        lost = outcome in (Outcome.BROKEN, Outcome.TIMED_OUT)
        if call.idle_s is not None:
            self.reuses.add(1.0, self.now)
            self.drops.add(float(lost), self.now)
            call.route.lost += lost
        elif lost or outcome is Outcome.UNREACHABLE:
            # A new connection fares no better: it is the endpoint that is out, and nothing was dropped.
            self.drops.add(-call.route.lost, self.now)
            call.route.lost = 0.0

    def _evidence(self, route: Route, event: api.AttemptEnded | api.ProbeEnded, reused: bool = False) -> None:
        """What one call or probe tells of its route and unit; `reused`: its connection had been idle."""
        unit, now, outcome, step = route.unit, self.now, event.outcome, FAIL_STEP
        if event.limit_per_s:
            told(unit, event.limit_per_s, event.room_left, self.settings)
        kind, away = route.entry.kind, float(outcome is Outcome.REJECTED)
        self.turned[kind] = follow(self.turned.get(kind, 0.0), away, FAST_STEP, FAST_STEP)
        if outcome is Outcome.DELIVERED:
            route.sick *= 1 - FAIL_STEP
            if route.failing:
                unit.period_at, unit.costs = now, []  # an outage says nothing of what is usual
                # What answered this lately was no outage (slow calls, a full table of connections): no ramp.
                # Nor was the one that a late answer comes from, of a call that had been given up as silent.
                took, since = event.took_s, now - route.slow_start.failing_since
                late = since < took < CERTAIN * self.strange
                cold = now - route.last_ok >= RECENT_S and not late
                out_s = now - route.slow_start.failing_since
                self._turn(route, failing=False, cold=cold)
                said = f"answers again after {out_s:.1f} s, slow start: {cold}"
                if cold:
                    said += f", counted from {now - route.back_at:.1f} s ago"
                self._say(route, said)
            route.slow_start.answer(now, self.settings.rules)
            route.last_ok = now
            success(unit, event.took_s, now, event.room_left, even_part(unit, self.settings))
        if outcome in (Outcome.DELIVERED, Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        if outcome is Outcome.REJECTED:
            # At a limit some calls get through; where none of many does, or of a sparse one's few, it's shut.
            bare = route.last_ok < unit.refused_at and (unit.mean_rate or 0.0) < SPARSE
            bound = bool(event.limit_per_s) and event.room_left is not None and event.room_left < ROOM_LEFT
            step = 0.0 if bound else FAIL_STEP if bare else FULL_STEP  # a limit told as used up is no outage
            route.refusals = 1 if route.refused_since < route.last_ok else route.refusals + 1
            route.refused_since = now if route.refusals == 1 else route.refused_since
            # A pace that refusals cut makes them rare: it is shut all the same if none of some gets through.
            if not bound and route.refusals >= SHUT_REFUSALS and now - route.refused_since >= RECENT_S:
                step = SICK
            refused(unit, now, self.settings, bound, out=route.failing)
            self._space(route)
        else:
            unit.failed_at = now
            # With hardly a call no second one tells in time. A call without answer may be a slow one.
            long = outcome is Outcome.UNREACHABLE and event.took_s >= LONG_S
            # Nor where nothing was answered lately: many senders with a call each would go on at full pace.
            # What resets a connection is there, or crashed: the next call, on a new one, tells.
            lately = now - route.last_ok < RECENT_S or outcome is Outcome.BROKEN
            # In a slow start one is enough, it is out again; but what is cold may be silent for long.
            known = route.slow_start.binds or route.slow_start.unheard
            again = known and outcome is not Outcome.TIMED_OUT
            alone = not reused and (not lately or again)
            step = SICK if alone or (long and (unit.mean_rate or 0.0) < SPARSE) else step
        route.sick += step * (1 - route.sick)
        # Only a connection that fails dates an outage: what is slow or turns away never was out for certain.
        route.slow_start.unreachable_at = now if outcome is Outcome.UNREACHABLE else inf
        if route.sick >= SICK and not route.failing:
            self._turn(route, failing=True)
            self._say(route, f"judged failing ({outcome.value}), last answer {now - route.last_ok:.1f} s ago")

    def _say(self, route: Route, text: str) -> None:
        """A line on an endpoint."""
        number = route.entry.number
        self.out.append(api.Log(f"endpoint {number} {text}", number))

    def _overdue(self) -> None:
        """Silence: hanging calls bring no outcome, so the age of an unanswered one counts as evidence."""
        for route in [r for d in self.store.active.values() if d.calls for r in d.routes.values()]:
            for call in list(route.calls):
                due = max(call.sent_at, route.last_ok) + self._patience(route.unit)
                if self.now < due:
                    self.due = min(self.due, due)
                    break
                if not call.judged:
                    call.judged = True
                    self._reused(call, Outcome.TIMED_OUT)
                    route.trial = None if route.trial is call else route.trial
                    silent = api.ProbeEnded(route.entry.number, Outcome.TIMED_OUT, 0.0)
                    self._evidence(route, silent, call.idle_s is not None)

    def _free_slot(self) -> None:
        """No slot free, work held: call off silent calls; unsafe ones, lost by it, once past their time."""
        waiting = any(d.held for d in self.store.active.values()) and self.settings.may_cancel
        if self.store.slots_used < self.settings.slots or not waiting or self.now < self.free_at:
            return
        self.free_at = self.due = self.now + PACE_GAP_S  # the outcome of a call-off takes its way back
        for job in self.store.jobs.values():
            least = job.cls.wanted_s if job.cls.idempotency is Idempotency.UNSAFE else 0.0
            for number, (call, ran) in enumerate(job.attempts):
                out = ran is Ran.OUTSTANDING and not call.heard
                # A slow route still answers others; one that hangs has answered nothing since.
                hangs = out and call.judged and call.route.failing and call.route.last_ok < call.sent_at
                # The partner answers others: the call's own connection is dead, and would hold its slot.
                usual = max(STUCK * max(call.route.unit.last, default=inf), self._patience(call.route.unit))
                answered = max(r.last_ok for r in self.store.destinations[job.dest].routes.values())
                stuck = out and call.sent_at < min(answered, self.now - usual)
                if (hangs or stuck) and self.now > call.sent_at + least:
                    self.out.append(api.CancelAttempt(job.ref, number))

    def _patience(self, unit: Unit) -> float:
        """How long an unanswered call is nothing strange."""
        if unit.expected == inf and len(unit.last) >= M_EVERY:
            return min(self.strange, OVERDUE * EXPECTED_FACTOR * max(unit.last))
        return OVERDUE * unit.expected if unit.expected < inf else self.strange

    def _space(self, route: Route, phase: float | None = None) -> None:
        """When the next call may go: under a pace, as a trial while failing, or in slow start."""
        unit, now, gap = route.unit, self.now, self.random.uniform(*JITTER)
        unit.next_at = now + gap / unit.pace if unit.pace < inf else unit.next_at
        if route.slow_start.state is not State.HEALTHY:
            self._doubt_unrecorded(route)
            route.slow_start.charge(now, gap if phase is None else phase)
            route.slow_start.plan(now, self._calls(route))

    @staticmethod
    def _sound(route: Route) -> bool:
        """Whether a call may be filled up with messages: where it is cold they weigh much more."""
        return route.slow_start.assumed or route.slow_start.state in (State.HEALTHY, State.SETTLING)

    def _count_cold(self, route: Route) -> None:
        """What goes to an endpoint that may be cold counts in every window that it falls into."""
        if route.slow_start.state is State.HEALTHY:
            return
        unit = route.unit
        oldest = self.now - self.settings.rules.fall_s - LATE_S
        unit.cold_calls.append(self.now)
        while unit.cold_calls[0] < oldest:
            unit.cold_calls.popleft()

    def _calls(self, route: Route) -> Calls:
        """What bounds the calls of all senders to one endpoint."""
        settings, peers = self.settings, self._peers(route)
        cold = sum(r.slow_start.state is not State.HEALTHY for r in self.store.alike(route))
        cold = min(max(1, cold), peers)
        return Calls(
            self._traffic(route, peers), settings.rules, settings.senders, peers, settings.may_tell, cold
        )

    def _peers(self, route: Route) -> int:
        """Endpoints that share a limit with this one, itself among them."""
        return max(1, sum(r.serving() for r in self.store.alike(route)))

    def _traffic(self, route: Route, peers: int) -> Traffic:
        """What is known of the calls to one endpoint: what is wanted, but no more than was delivered before
        the outage, and the even part of a limit. What is delivered in a slow start only follows that."""
        unit, dest, slow_start = (
            route.unit,
            self.store.destinations[route.entry.destination],
            route.slow_start,
        )
        usual = min(dest.wanted(self.now), slow_start.delivered_before or inf) / peers
        fair, told = even_part(unit, self.settings) / peers, unit.mean_limit is not None
        fleet = max(unit.told_limit / peers, self.settings.senders * usual)
        # What is slow answers within that time, if late; what is full answers some.
        out_s = (self.now if route.failing else slow_start.answered_at) - slow_start.failing_since
        certain = slow_start.unreachable_at < inf or out_s >= CERTAIN * self.strange
        # A listed rate may be half too high.
        return Traffic(usual, fair if told else ROUGH * fair, fleet, told, certain)

    def _ranked(self, dests: list[Destination]) -> list[Job]:
        """Held jobs, most worth still to be won first, oldest first among equals."""
        ranked = []
        for dest in dests:
            at, decay = self.now + usual(dest), self.settings.decay
            ranked += [(-job.worth_at(at, decay), job.came_at, job) for job in dest.held.values()]
        return [row[2] for row in sorted(ranked, key=lambda row: row[:2])]

    def _end(self, job: Job) -> None:
        """Final answer, at once: refused where that is harmless, with the time room may be expected."""
        dest = self.store.destinations[job.dest]
        waits = [r.unit.wait_until - self.now for r in dest.routes.values()]
        back = min(self.settings.max_retry_after_s, max(len(dest.held) / TOGETHER_LEAST, *waits, 0.0))
        self.out.append(api.Refuse(job.ref, back) if may_refuse(job) else api.Fail(job.ref))
        self.store.finish(job)

    def _give_up(self) -> None:
        """End held jobs out of time or of allowed attempts, then the least worthy beyond the holding room."""
        dests = [d for d in self.store.active.values() if d.held]
        for dest in dests:
            least = usual(dest) + 2 * TICK_S
            self.due = min(self.due, min(job.ends_at for job in dest.held.values()) - least)
            for job in [j for j in dest.held.values() if j.attempts or j.ends_at - self.now < least]:
                if job.ends_at - self.now < least or not may_send(job, None, self.now, self.settings):
                    self._end(job)
            self._shed([dest], len(dest.held) - DEST_ROOM * self.settings.holding_room)
        self._shed(dests, len(self.store.jobs) - ROOM_FULL * self.settings.holding_room)

    def _shed(self, dests: list[Destination], beyond: float) -> None:
        """Give the least worthy up; the newest first among equals, since the older have waited."""
        if beyond > 0:
            for job in self._ranked(dests)[-int(beyond + 1) :]:
                self._end(job)

    def _dispatch(self) -> None:
        """Send what may go, the most worthy first over all destinations."""
        opened: dict[int, Call] = {}
        self.at, self.windows = {}, {}
        busy = list(self.store.active.values())
        for dest in busy:
            dest.sick = sick(dest)
        self.sick_calls = sum(d.calls for d in busy if d.sick)
        ready = [d for d in busy if d.held and any(self._ready_at(r) <= self.now for r in d.routes.values())]
        shut: set[int] = set()  # destinations that take no more in this round: most held work waits for these
        single = all(kind.batch == 1 for kind in self.settings.kinds)  # nothing joins a call that is open
        for job in self._ranked(ready):
            if single and job.dest in shut:
                continue
            first = job.key is None or self.store.lines[job.key][0] is job
            # Order by key: only the first of a line, and not before the key is quiet.
            if first and (job.attempts or self.now >= self.quiet.get(job.key, -inf)):
                self._place(job, opened, shut)
            elif job.key is not None:
                self.due = self.now + TICK_S
        ahead = [self._ready_at(r) for d in busy if d.held for r in d.routes.values()]
        self.due = min([self.due, *[at for at in ahead if at > self.now]])

    def _place(self, job: Job, opened: dict[int, Call], shut: set[int]) -> None:
        """Pick the route: one with an open call, else sound before failing, cheap before dear, idle first."""
        dest, fees, best, best_rank = self.store.destinations[job.dest], self.settings.zone_fees, None, None
        for number, route in dest.routes.items():
            kind, zone = self.settings.kinds[route.entry.kind], route.entry.zone
            if not route.serving() or not may_send(job, route, self.now, self.settings):
                continue
            # Cut off by the sender's own end it could never go again: better after the restart.
            if (
                job.cls.idempotency is Idempotency.UNSAFE
                and self.now + self._patience(route.unit) > self.stops_at
            ):
                continue
            if number in opened and opened[number].left < kind.batch and self._sound(route):
                best = route
                break
            drawn, even = self.random.random(), self.random.random()
            if job.dest in shut or self._ready_at(route) > self.now:
                continue
            # The cheap zone first, but not where all senders' doing so has more turned away than it saves.
            spared = kind.separate_routes and self.turned.get(route.entry.kind, 0.0) <= max(fees, default=0.0)
            fee = fees[zone] if spared and zone < len(fees) else 0.0
            # Idle ones first, then one with a connection still open, as far as is known here.
            bad = (route.sick >= FAIL_STEP) + (self.now - route.last_sent > self.settings.keepalive_s)
            turn = route.last_sent
            if kind.separate_routes:  # by the rates told of them
                turn = -log(1.0 - drawn) / (route.unit.told_limit or 1.0)
            rank = (route.failing, fee, len(route.calls), bad, turn, even)
            limit = self._window(route.unit)
            if (best is None or rank < best_rank) and admits(route.unit, job, self.now, limit):
                best, best_rank = route, rank
        if best is not None:
            self._send(job, best, dest, opened)
        if job.dest not in shut and all(self._ready_at(r) > self.now for r in dest.routes.values()):
            shut.add(job.dest)

    def _ready_at(self, route: Route) -> float:
        """When slots, waits, pace and ramp let one more call go; never, where only an event can tell."""
        number = route.entry.number
        if number not in self.at:  # hundreds that are held may ask in one round
            self.at[number] = self._work_ready_at(route)
        return self.at[number]

    def _window(self, unit: Unit) -> float:
        """The design's window as of this dispatch: it changes only with outcomes."""
        if unit not in self.windows:
            self.windows[unit] = window(unit, self.now)
        return self.windows[unit]

    def _work_ready_at(self, route: Route) -> float:
        slots, unit, dest = self.settings.slots, route.unit, self.store.destinations[route.entry.destination]
        most = max(1, int((SICK_SHARE if dest.sick else DEST_SHARE) * slots))
        if not route.serving() or self.store.slots_used >= slots or dest.calls >= most:
            return inf
        # Several sick ones must not crowd out the rest. Trials may go past that, to see when all is well.
        together = max(1, int((DEST_SHARE if route.failing else SICK_SHARE) * slots))
        if (dest.sick and self.sick_calls >= together) or (route.failing and route.trial is not None):
            return inf
        if route.slow_start.stale(self.now):
            route.slow_start.plan(self.now, self._calls(route))
        if route.slow_start.advance(self.now, len(dest.held), unit.cold_calls):
            self._say(route, f"is taken for warm, {len(dest.held)} messages are held for its destination")
        paced = unit.next_at if unit.pace < inf else -inf
        ready = max(unit.wait_until, paced, route.slow_start.ready_at(unit.cold_calls))
        if route.failing:  # a trial is a call of the destination that its other endpoints share
            ready = max(
                [ready, *(r.slow_start.window_ready_at(unit.cold_calls) for r in self.store.alike(route))]
            )
        return ready

    def _send(self, job: Job, route: Route, dest: Destination, opened: dict[int, Call]) -> None:
        """Start an attempt, in the open call of this round if it has room, else in a new one."""
        self.at.clear()  # slots, caps and gaps are others from here on
        call = opened.get(route.entry.number)
        if call is None or call.left >= self.settings.kinds[route.entry.kind].batch:
            call = opened[route.entry.number] = self.store.start(route, self.now)
            idle = self.now - route.idle_at
            call.idle_s = idle if idle < self.settings.keepalive_s else None
            # Idle ones are closed while what may be lost on them passes what a new one costs.
            risk = self.drops.at(self.now) / (1 + self.reuses.at(self.now))
            if call.idle_s is not None and risk > max(NEW_COSTS, self.settings.handshake_price):
                self.out.append(api.CloseIdle(route.entry.number))
                call.idle_s = None
            self.sick_calls += dest.sick
            route.trial = call if route.failing else None
            self._space(route)
        if not call.left or not self._sound(route):
            self._count_cold(route)
        self.store.join(job, call)
        # Cutting an unsafe call short loses it for good; the others get longer with each try.
        patience = max(2 * self._patience(route.unit), job.cls.wanted_s) * 2 ** (len(job.tainted()) - 1)
        patience = inf if job.cls.idempotency is Idempotency.UNSAFE else patience
        phase = api.CallPhase.TRIAL if route.failing else api.CallPhase.ORDINARY
        phase = api.CallPhase.SLOW_START if route.back_at is not None else phase
        time_out_s = min(job.ends_at - self.now, patience)
        self.out.append(api.Send(job.ref, route.entry.number, time_out_s, phase))
