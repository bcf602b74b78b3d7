"""All decisions of a sender. Types, events and actions are in `willownotch/interface.py`.

Calls in flight usually stay under the high-percentile concurrency limit (docs/design.md): F x min cost x max
rate (`concurrency_limit.py`). Exceptions: pace (`pacing.py`), slow start and trials (`slow_start.py`), health
(`_record_evidence`), silence (`_check_silence`), lost idle connections (`_count_reuse`). Tenants' quotas are
in `quotas.py`, what is remembered in `willownotch/state.py`.
"""

from __future__ import annotations

import random
from math import inf, log

from willownotch import interface as api
from willownotch.concurrency_limit import (
    FAST_STEP,
    MAX_PRIORITY,
    PERIOD_S,
    RECENT_S,
    ROOM_LEFT,
    TICK_S,
    admits,
    is_slow,
    record_success,
    window,
)
from willownotch.interface import Idempotency, Outcome
from willownotch.pacing import PACE_GAP_S, even_share, record_limit, record_refusal
from willownotch.quotas import TenantQuotas
from willownotch.repeats import RAN_BY_OUTCOME, may_refuse, may_send
from willownotch.silence import gets_no_answer, silence_s
from willownotch.slow_start import FEW_SENDERS, MIN_FLEET_PER_S, SEND_LAG_S, Bounds, SlowStart, State, Traffic
from willownotch.state import Call, Destination, FadingSum, Job, Pool, Ran, Route, Store, ewma, job_of

DEST_SHARE, DEGRADED_SHARE = 0.75, 0.5  # of the slots: one destination; a degraded one, or all of these
FAILURE_STEP, REFUSAL_STEP, FAILING_SCORE = 0.4, 0.1, 0.6  # reached by two failures or nine refusals
JITTER = (0.5, 1.5)  # x a gap between calls, so that senders refused together do not return together
LISTED_RATE_SHARE = 2 / 3  # x a listed rate, which may be half too high, until an answer reports the limit
OUTAGE_REFUSALS = 3  # so many with no success between, over at least RECENT_S, are an outage and not a limit
CERTAIN_FACTOR = 2.0  # x the silence allowed at an unknown endpoint: failing for longer, it is certainly out
HELD_SHARE, DEST_HELD_SHARE = 0.9, 0.5  # of the holding room: all held messages; those for one destination
CLOSE_CALLS, SPARSE_PER_S = 100, 1.0  # calls that close idle connections after a refused one, if so sparse
MEAN_S = 10.0  # time that calls on idle connections are averaged over
REFUSE_S, MIN_HANDSHAKE_COST = 1.0, 0.02  # a full connection table refuses sooner; x a message's worth
LIST_RETRY_S, TICK_TIMER, LIST_TIMER = 1.0, 1, 2  # first delay before a failed list call is retried; timers


def is_degraded(dest: Destination) -> bool:
    """Whether any of its endpoints is slow, failing or silent; M alone never rises while nothing answers."""
    silent = any(call.counted and not call.has_outcome for r in dest.routes.values() for call in r.calls)
    return silent or any(r.failing or is_slow(r.pool) for r in dest.routes.values())


def usual_latency(dest: Destination) -> float:
    """The lowest average latency of its endpoints, in seconds."""
    return min((r.pool.min_cost or TICK_S for r in dest.routes.values()), default=TICK_S)


class Controller:
    """The decisions of one sender. `handle` processes a round of events, then dispatches once."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random, self.store, self.quotas = random.Random(seed), Store(settings), TenantQuotas()
        self._apply_settings(settings)
        self.ready_times: dict[int, float] = {}  # by route, its `_ready_at` until something is sent
        self.windows: dict[Pool, float] = {}  # as of this dispatch
        self.key_quiet_until: dict[str, float] = {}
        self.refused: dict[int, float] = {}  # by kind, the share of its recent calls that were rejected
        self.closing: dict[int, int] = {}  # by kind, calls after which idle connections are still closed
        self.now, self.out, self.degraded_calls, self.cancel_at, self.kill_at = 0.0, [], 0, -inf, inf
        self.due, self.timer_at = inf, -inf  # when there is something to do next; the timer that is set
        self.reuses, self.lost = FadingSum(MEAN_S), FadingSum(MEAN_S)  # calls on idle connections
        self.restored: dict[int, api.SlowStartRecord] | None = None  # of endpoints not listed yet
        self.saved_at = -inf  # when the previous process last stored what it knew
        self.unrecorded_since = -inf  # start of this process, if the previous one left no record
        self.list_at, self.list_failures = -inf, 0  # when to ask for the list again; failures in a row

    def _apply_settings(self, settings: api.Settings) -> None:
        """Use these settings from now on; messages keep their class, tenants what is left of their quota."""
        self.settings = self.store.settings = settings
        self.default_silence_s = min(c.wanted_s for c in settings.classes)
        self.quotas.configure(settings)
        for route in self.store.routes.values() if settings.listed_rates else ():
            route.pool.limit = route.pool.limit or route.entry.rate

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Process one round of events and return the actions, in order."""
        self.now, self.out, self.due = now, [], now + PERIOD_S
        for event in events:
            self._process(event)
        if self.settings.must_subscribe and now >= self.list_at - TICK_S / 4:
            self.list_at = inf
            self.out.append(api.Subscribe())
        self._check_silence()
        self._cancel_stuck()
        self._give_up()
        self._dispatch()
        # A timer may fire slightly early by the caller's clock: one that is so close counts as fired.
        due = max(self.due, now + TICK_S)
        if self.store.jobs and not now + TICK_S / 4 < self.timer_at <= due:
            self.timer_at = due
            self.out.append(api.SetTimer(self.timer_at - now, TICK_TIMER))
        return self.out

    def _process(self, event: api.Event) -> None:
        if isinstance(event, api.AttemptEnded):
            self._attempt_ended(event)
        elif isinstance(event, api.Message):
            self._accept(event)
        elif isinstance(event, api.EndpointList):
            self.list_failures = 0
            known = {entry.number for entry in event.entries if entry.number in self.store.routes}
            for route in self.store.update(event, self.now):
                route.pool.limit = route.pool.limit or route.entry.rate * self.settings.listed_rates
                if route.entry.number not in known:
                    self._restore_route(route)
        elif isinstance(event, api.SlowStartRecords):
            self.restored = {record.endpoint: record for record in event.records}
            self.saved_at = -inf if event.saved_at is None else event.saved_at
            self.unrecorded_since = self.now if event.saved_at is None else -inf
        elif isinstance(event, api.ListFailed) and self.list_at == inf:
            # All senders fail at the same time, so each waits a random time, and makes one call at a time.
            wait = min(LIST_RETRY_S * 2**self.list_failures, self.settings.rules.ask_within_s / 2)
            wait, self.list_failures = wait * self.random.uniform(*JITTER), self.list_failures + 1
            self.list_at = self.now + wait
            self.out.append(api.SetTimer(wait, LIST_TIMER))
        elif isinstance(event, api.ProbeEnded) and event.endpoint in self.store.routes:
            self._record_evidence(self.store.routes[event.endpoint], event)
        elif isinstance(event, api.PeerJudgement):
            self._apply_judgement(event)
        elif isinstance(event, api.Withdrawn) and event.ref in self.store.jobs:
            self.store.finish(self.store.jobs[event.ref])
        elif isinstance(event, api.QuotaSpent):
            self.quotas.charge_spent(event, self.now)
        elif isinstance(event, api.TenantPart):
            self.quotas.set_part(event)
        elif isinstance(event, api.SettingsChanged):
            self._apply_settings(event.settings)
        elif isinstance(event, api.Stopping):
            self.kill_at = self.now + event.after_s

    def _restore_route(self, route: Route) -> None:
        """Set up a newly listed endpoint from the previous process's record, or assume that it is cold."""
        if self.restored is None:
            return
        record = self.restored.pop(route.entry.number, None)
        if record is not None:
            route.slow_start = SlowStart.restore(record)
            route.last_ok = record.last_answer
            self.store.destinations[route.entry.destination].restore_demand(record.usual, self.now)
            if record.limit and not route.pool.mean_limit:
                route.pool.limit = route.pool.mean_limit = record.limit
            route.pool.pace = min(route.pool.pace, record.pace)
            self._schedule_next(route)  # the wait so far is not recorded: restarted senders start it anew
        elif self.now - self.saved_at > RECENT_S:
            fair = self._traffic(route, self._peers(route)).fair
            route.slow_start.assume(self.now, self.settings.rules, fair)

    def _suspect_unrecorded(self, route: Route) -> None:
        """Without a record, keep to this sender's part of a known limit: an outage may have cost many senders
        their records. With few senders, or no known limit, there is no such part."""
        part_known = self.settings.senders >= FEW_SENDERS and route.pool.limit > 0
        if part_known and self.now - self.unrecorded_since < self.settings.rules.cold_s:
            route.slow_start.suspect(len(route.pool.cold_calls))

    def slow_starts(self) -> api.SlowStartRecords:
        """What the next process needs to know of endpoints that are not healthy or are paced."""
        records, known = [], True
        for route in self.store.routes.values():
            slow_start, pool = route.slow_start, route.pool
            if slow_start.state is State.HEALTHY and pool.pace == inf:
                continue
            if slow_start.assumed:  # nothing to record except that nothing is known
                known = known and slow_start.warm_at <= self.now
                continue
            usual = self.store.destinations[route.entry.destination].demand_rate(self.now)
            usual = min(usual, slow_start.delivered_before or inf)
            limit = pool.mean_limit or 0.0
            records.append(slow_start.record(route.entry.number, route.last_ok, usual, limit, pool.pace))
        return api.SlowStartRecords(tuple(records), self.now if known else None)

    def _accept(self, message: api.Message) -> None:
        """Hold a message; what its hand-in is decided by is left out for one that was accepted before."""
        # Little time left at a first hand-in does not mean lost time: only a retry has been on its way.
        back = message.is_retry or not self.settings.clients_mark_retries
        job = job_of(message, message.rules or self.settings.classes[message.message_class], self.now, back)
        self.store.restore_attempts(job, message.past, self.now)
        accepted_before = message.accepted or bool(message.past)
        if message.is_retry and message.destination in self.store.destinations:
            for route in self.store.destinations[message.destination].routes.values():
                route.slow_start.suspect(len(route.pool.cold_calls))
        if not accepted_before and not self._admit(message, job):
            return
        job.worth *= self.settings.over_share_worth if job.over_share else 1.0
        most = max(cls.worth for cls in self.settings.classes) or 1.0
        job.priority = (MAX_PRIORITY - 1) * job.worth / most + self.random.random()
        self.store.add(job, accepted_before)
        if job.key is not None and job.risky():  # an attempt from before a restart may still run
            self.key_quiet_until[job.key] = self.now + self.settings.rules.key_quiet_s

    def _admit(self, message: api.Message, job: Job) -> bool:
        """Count a hand-in and decide on it by its tenant's quota; return whether it is accepted."""
        if not message.is_retry:
            self.store.destinations.setdefault(message.destination, Destination()).add_demand(self.now)
        decision = self.quotas.admit(message.tenant, self.now)
        if decision.refused:
            back = min(self.settings.max_retry_after_s, decision.next_in_s)
            self.out.append(api.Refuse(message.ref, back))
            return False
        job.over_share = not decision.within
        return True

    def is_over_share(self, ref: str) -> bool:
        """Whether a message in hand was above its tenant's quota when it was accepted."""
        return ref in self.store.jobs and self.store.jobs[ref].over_share

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        job = self.store.jobs.get(event.ref)
        known = job is not None and 0 <= event.attempt < len(job.attempts)
        if not known or job.attempts[event.attempt][1] is not Ran.OUTSTANDING:
            return
        call = job.attempts[event.attempt][0]
        job.attempts[event.attempt][1] = RAN_BY_OUTCOME[event.outcome]
        # Messages of one call can get different waits, also after the call's silence has been counted.
        call.route.pool.wait_until = max(call.route.pool.wait_until, self.now + event.wait_s)
        # A wait longer than a limit asks for is an outage: it ends for all senders at once, and all is cold.
        for route in self.store.in_pool(call.route) if event.wait_s > RECENT_S else ():
            route.slow_start.recover(self.now, self.settings.rules, route.pool.wait_until)
            route.slow_start.unreachable_at = inf
            self._schedule_next(route, self.random.random())
        if not call.has_outcome and (not call.counted or event.outcome is Outcome.DELIVERED):
            if call.counted and call.idle_s is not None:
                self.lost.add(-min(1.0, call.route.lost), self.now)  # it was slow, not lost
                call.route.lost = max(0.0, call.route.lost - 1.0)
            self._count_reuse(call, event.outcome)
            if event.outcome is not Outcome.BROKEN or call.idle_s is None:
                self._record_evidence(call.route, event, call.idle_s is not None)
        call.has_outcome = call.counted = True
        if event.outcome in (Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED):
            call.route.idle_since = self.now
        self.store.release(call)
        self._close_idle(call.route, event)
        unsure = event.outcome in (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED) or event.unreadable
        if job.key is not None and unsure:
            self.key_quiet_until[job.key] = self.now + self.settings.rules.key_quiet_s
            self.key_quiet_until = {k: until for k, until in self.key_quiet_until.items() if until > self.now}
        if event.final or job.finished:
            self.store.finish(job)
        elif not job.outstanding():
            self.store.hold(job)

    def _close_idle(self, route: Route, event: api.AttemptEnded) -> None:
        """After a refused connection, close idle ones: those of many senders can fill an endpoint's table."""
        kind = route.entry.kind
        if event.outcome is Outcome.UNREACHABLE and event.took_s < REFUSE_S:  # later, nothing answers there
            self.closing[kind] = CLOSE_CALLS
        elif self.closing.get(kind, 0) and (route.pool.mean_rate or 0.0) < SPARSE_PER_S and not route.calls:
            self.closing[kind] -= 1
            self.out.append(api.CloseIdle(route.entry.number))

    def _set_health(self, route: Route, failing: bool, phase: float | None = None, cold: bool = True) -> None:
        """Judge an endpoint failing or recovered, and publish that unless a peer did so. Then `phase` is the
        part of a gap after which the next call may go; else None."""
        start, now = route.slow_start, self.now
        route.score = FAILING_SCORE if failing else FAILURE_STEP / 2
        unheard = start.unheard
        if failing:
            start.fail(now, route.pool.mean_rate or 0.0)
        elif cold:
            start.recover(now, self.settings.rules, start.estimate_return(now) if phase is None else now)
            if phase is None:
                route.pool.pace = inf  # it was cut as the outage began; from here the slow start is the bound
        else:
            start.resume()
        self._schedule_next(route, phase)
        if failing and unheard:  # mostly only this first call failed, and the next one shows it
            start.next_at = now
        # Else each sender with a call in many seconds would have to find an outage and its end by itself.
        if self.settings.may_tell and phase is None:
            self.out.append(api.PublishJudgement(route.entry.number, not failing))

    def _apply_judgement(self, judgement: api.PeerJudgement) -> None:
        """Apply a peer's judgement of an endpoint, unless this sender has had an answer there recently."""
        route, fails = self.store.routes.get(judgement.endpoint), not judgement.works
        if route and fails != route.failing and not (fails and self.now - route.last_ok < RECENT_S):
            self._set_health(route, fails, self.random.random())

    def _count_reuse(self, call: Call, outcome: Outcome) -> None:
        """Count calls on idle connections, and those lost: idle connections may be dropped unnoticed."""
        lost = outcome in (Outcome.BROKEN, Outcome.TIMED_OUT)
        if call.idle_s is not None:
            self.reuses.add(1.0, self.now)
            self.lost.add(float(lost), self.now)
            call.route.lost += lost
        elif lost or outcome is Outcome.UNREACHABLE:
            # A new connection fails too: the endpoint is out, and no idle connection was dropped.
            self.lost.add(-call.route.lost, self.now)
            call.route.lost = 0.0

    def _record_evidence(
        self, route: Route, event: api.AttemptEnded | api.ProbeEnded, reused: bool = False
    ) -> None:
        """Record what a call or probe shows of its route and pool; `reused`: on an idle connection."""
        pool, now, outcome, step = route.pool, self.now, event.outcome, FAILURE_STEP
        if event.limit_per_s:
            record_limit(pool, event.limit_per_s, event.room_left, self.settings)
        kind, rejected = route.entry.kind, float(outcome is Outcome.REJECTED)
        self.refused[kind] = ewma(self.refused.get(kind, 0.0), rejected, FAST_STEP, FAST_STEP)
        if outcome is Outcome.DELIVERED:
            route.score *= 1 - FAILURE_STEP
            if route.failing:
                pool.period_began_at, pool.costs = now, []  # latencies of an outage are not the usual ones
                # With a recent answer it was no outage (slow calls, a full connection table): no slow start.
                # The same holds for a late answer to the call whose silence was judged as the failure.
                took, since = event.took_s, now - route.slow_start.failing_since
                late = since < took < CERTAIN_FACTOR * self.default_silence_s
                cold = now - route.last_ok >= RECENT_S and not late
                out_s = now - route.slow_start.failing_since
                self._set_health(route, failing=False, cold=cold)
                text = f"answers again after {out_s:.1f} s, slow start: {cold}"
                if cold:
                    text += f", counted from {now - route.returned_at:.1f} s ago"
                self._log(route, text)
            route.slow_start.answer(now, self.settings.rules)
            route.last_ok = now
            record_success(pool, event.took_s, now, event.room_left, even_share(pool, self.settings))
        if outcome in (Outcome.DELIVERED, Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        if outcome is Outcome.REJECTED:
            # At a limit some calls succeed; if none of many does, or of a sparse sender's few, it is out.
            bare = route.last_ok < pool.refused_at and (pool.mean_rate or 0.0) < SPARSE_PER_S
            bound = bool(event.limit_per_s) and event.room_left is not None and event.room_left < ROOM_LEFT
            step = 0.0 if bound else FAILURE_STEP if bare else REFUSAL_STEP  # a used-up limit is no outage
            route.refusals = 1 if route.refused_since < route.last_ok else route.refusals + 1
            route.refused_since = now if route.refusals == 1 else route.refused_since
            # A pace that refusals cut makes them rare, so few over some time without a success are enough.
            if not bound and route.refusals >= OUTAGE_REFUSALS and now - route.refused_since >= RECENT_S:
                step = FAILING_SCORE
            record_refusal(pool, now, self.settings, bound, out=route.failing)
            self._schedule_next(route)
        else:
            pool.failed_at = now
            # A sparse sender has no second call in time. A call without an answer may just be slow.
            long = outcome is Outcome.UNREACHABLE and event.took_s >= REFUSE_S
            # One failure is enough if nothing was answered recently: else many senders with a call each would
            # go on at full pace. After a reset or a crash the next call, on a new connection, shows more.
            lately = now - route.last_ok < RECENT_S or outcome is Outcome.BROKEN
            # One failure in a slow start is a new outage; but a cold endpoint may be silent for long.
            known = route.slow_start.binds or route.slow_start.unheard
            again = known and outcome is not Outcome.TIMED_OUT
            alone = not reused and (not lately or again)
            step = FAILING_SCORE if alone or (long and (pool.mean_rate or 0.0) < SPARSE_PER_S) else step
        route.score += step * (1 - route.score)
        # Only a failed connection dates an outage: a slow or rejecting endpoint may never have been out.
        route.slow_start.unreachable_at = now if outcome is Outcome.UNREACHABLE else inf
        if route.score >= FAILING_SCORE and not route.failing:
            self._set_health(route, failing=True)
            self._log(route, f"judged failing ({outcome.value}), last answer {now - route.last_ok:.1f} s ago")

    def _log(self, route: Route, text: str) -> None:
        """Write a log line about an endpoint."""
        number = route.entry.number
        self.out.append(api.Log(f"endpoint {number} {text}", number))

    def _check_silence(self) -> None:
        """Count calls that are unanswered for too long as evidence: a call that hangs has no outcome."""
        for route in [r for d in self.store.active.values() if d.calls for r in d.routes.values()]:
            for call in list(route.calls):
                due = max(call.sent_at, route.last_ok) + self._silence_s(route.pool)
                if self.now < due:
                    self.due = min(self.due, due)
                    break
                if not call.counted:
                    call.counted = True
                    self._count_reuse(call, Outcome.TIMED_OUT)
                    route.trial = None if route.trial is call else route.trial
                    silent = api.ProbeEnded(route.entry.number, Outcome.TIMED_OUT, 0.0)
                    self._record_evidence(route, silent, call.idle_s is not None)

    def _cancel_stuck(self) -> None:
        """Cancel silent calls if messages wait and no slot is free; unsafe ones, which this loses, last."""
        waiting = any(d.held for d in self.store.active.values()) and self.settings.may_cancel
        if self.store.slots_used < self.settings.slots or not waiting or self.now < self.cancel_at:
            return
        self.cancel_at = self.due = self.now + PACE_GAP_S  # the outcome of a cancellation takes some time
        for job in self.store.jobs.values():
            least = job.cls.wanted_s if job.cls.idempotency is Idempotency.UNSAFE else 0.0
            routes = self.store.destinations[job.dest].routes.values()
            for number, (call, ran) in enumerate(job.attempts):
                out = ran is Ran.OUTSTANDING and not call.has_outcome and self.now > call.sent_at + least
                if out and gets_no_answer(call, routes, self.now, self.default_silence_s):
                    self.out.append(api.CancelAttempt(job.ref, number))

    def _silence_s(self, pool: Pool) -> float:
        """How long a call may stay unanswered before that counts as a failure, in seconds."""
        return silence_s(pool, self.default_silence_s)

    def _schedule_next(self, route: Route, phase: float | None = None) -> None:
        """Set when the next call may go: under a pace, as a trial while failing, or in a slow start."""
        pool, now, gap = route.pool, self.now, self.random.uniform(*JITTER)
        pool.next_at = now + gap / pool.pace if pool.pace < inf else pool.next_at
        if route.slow_start.state is not State.HEALTHY:
            self._suspect_unrecorded(route)
            route.slow_start.charge(now, gap if phase is None else phase)
            route.slow_start.plan(now, self._bounds(route))

    @staticmethod
    def _may_batch(route: Route) -> bool:
        """Whether calls may be filled with messages: a cold endpoint takes much longer for a full call."""
        return route.slow_start.assumed or route.slow_start.state in (State.HEALTHY, State.SETTLING)

    def _count_cold_call(self, route: Route) -> None:
        """Record a call to a possibly cold endpoint, for as long as it counts in a window."""
        if route.slow_start.state is State.HEALTHY:
            return
        pool = route.pool
        oldest = self.now - self.settings.rules.fall_s - SEND_LAG_S
        pool.cold_calls.append(self.now)
        while pool.cold_calls[0] < oldest:
            pool.cold_calls.popleft()

    def _bounds(self, route: Route) -> Bounds:
        """What bounds the calls of all senders to one endpoint."""
        settings, peers = self.settings, self._peers(route)
        cold = sum(r.slow_start.state is not State.HEALTHY for r in self.store.in_pool(route))
        cold = min(max(1, cold), peers)
        return Bounds(
            self._traffic(route, peers), settings.rules, settings.senders, peers, settings.may_tell, cold
        )

    def _peers(self, route: Route) -> int:
        """The number of serving endpoints in its pool, at least 1."""
        return max(1, sum(r.serving() for r in self.store.in_pool(route)))

    def _traffic(self, route: Route, peers: int) -> Traffic:
        """What is known of the calls to one endpoint. The usual rate is the demand, but no more than was
        delivered before the outage: deliveries in a slow start only follow its bound."""
        pool, dest, start = route.pool, self.store.destinations[route.entry.destination], route.slow_start
        usual = min(dest.demand_rate(self.now), start.delivered_before or inf) / peers
        fair, reported = even_share(pool, self.settings) / peers, pool.mean_limit is not None
        fleet = max(pool.limit / peers, self.settings.senders * usual)
        # An endpoint that is only slow answers within this time, and one at its limit answers some calls.
        out_s = (self.now if route.failing else start.answered_at) - start.failing_since
        certain = start.unreachable_at < inf or out_s >= CERTAIN_FACTOR * self.default_silence_s
        return Traffic(usual, fair if reported else LISTED_RATE_SHARE * fair, fleet, reported, certain)

    def _ranked(self, dests: list[Destination]) -> list[Job]:
        """Held jobs by the worth still to be won, highest first; among equals the oldest first."""
        ranked = []
        for dest in dests:
            at, decay = self.now + usual_latency(dest), self.settings.decay
            ranked += [(-job.worth_at(at, decay), job.received_at, job) for job in dest.held.values()]
        return [row[2] for row in sorted(ranked, key=lambda row: row[:2])]

    def _end(self, job: Job) -> None:
        """Give the final answer: refused if that is harmless, with the time until there may be room."""
        dest = self.store.destinations[job.dest]
        waits = [r.pool.wait_until - self.now for r in dest.routes.values()]
        back = min(self.settings.max_retry_after_s, max(len(dest.held) / MIN_FLEET_PER_S, *waits, 0.0))
        self.out.append(api.Refuse(job.ref, back) if may_refuse(job) else api.Fail(job.ref))
        self.store.finish(job)

    def _give_up(self) -> None:
        """End held jobs without time or attempts left, then those of least worth above the holding room."""
        dests = [d for d in self.store.active.values() if d.held]
        for dest in dests:
            least = usual_latency(dest) + 2 * TICK_S
            self.due = min(self.due, min(job.ends_at for job in dest.held.values()) - least)
            for job in [j for j in dest.held.values() if j.attempts or j.ends_at - self.now < least]:
                if job.ends_at - self.now < least or not may_send(job, None, self.now, self.settings):
                    self._end(job)
            new_here = len(dest.held) - len(self.store.accepted_before & dest.held.keys())
            self._shed([dest], new_here - DEST_HELD_SHARE * self.settings.holding_room)
        new = len(self.store.jobs) - len(self.store.accepted_before)
        self._shed(dests, new - HELD_SHARE * self.settings.holding_room)

    def _shed(self, dests: list[Destination], excess: float) -> None:
        """End the jobs of least worth; among equals the newest, since the older ones have waited.

        Limits of holding are for hand-ins: jobs that were accepted before neither count nor are shed.
        """
        if excess > 0:
            new = [job for job in self._ranked(dests) if job.ref not in self.store.accepted_before]
            for job in new[-int(excess + 1) :]:
                self._end(job)

    def _dispatch(self) -> None:
        """Send what may go, highest worth first over all destinations."""
        opened: dict[int, Call] = {}
        self.ready_times, self.windows = {}, {}
        busy = list(self.store.active.values())
        for dest in busy:
            dest.degraded = is_degraded(dest)
        self.degraded_calls = sum(d.calls for d in busy if d.degraded)
        ready = [d for d in busy if d.held and any(self._ready_at(r) <= self.now for r in d.routes.values())]
        shut: set[int] = set()  # destinations that take no more in this round: most held jobs are for these
        single = all(kind.batch == 1 for kind in self.settings.kinds)  # no job joins an open call
        for job in self._ranked(ready):
            if single and job.dest in shut:
                continue
            first = job.key is None or self.store.key_queues[job.key][0] is job
            # In order by key: only the first of its queue goes, and not before the key is quiet.
            if first and (job.attempts or self.now >= self.key_quiet_until.get(job.key, -inf)):
                self._place(job, opened, shut)
            elif job.key is not None:
                self.due = self.now + TICK_S
        ahead = [self._ready_at(r) for d in busy if d.held for r in d.routes.values()]
        self.due = min([self.due, *[at for at in ahead if at > self.now]])

    def _place(self, job: Job, opened: dict[int, Call], shut: set[int]) -> None:
        """Pick a route: with an open call, else not failing, then the lower fee, then the fewest calls."""
        dest, fees, best, best_rank = self.store.destinations[job.dest], self.settings.zone_fees, None, None
        for number, route in dest.routes.items():
            kind, zone = self.settings.kinds[route.entry.kind], route.entry.zone
            if not route.serving() or not may_send(job, route, self.now, self.settings):
                continue
            # An unsafe call that this sender's end cuts off cannot be repeated: better after the restart.
            if (
                job.cls.idempotency is Idempotency.UNSAFE
                and self.now + self._silence_s(route.pool) > self.kill_at
            ):
                continue
            if number in opened and opened[number].left < kind.batch and self._may_batch(route):
                best = route
                break
            drawn, even = self.random.random(), self.random.random()
            if job.dest in shut or self._ready_at(route) > self.now:
                continue
            # Cheaper zones come first, unless all senders' doing so causes more rejections than it saves.
            cheap = kind.separate_routes and self.refused.get(route.entry.kind, 0.0) <= max(fees, default=0.0)
            fee = fees[zone] if cheap and zone < len(fees) else 0.0
            # Idle ones first, then one that probably still has an open connection.
            bad = (route.score >= FAILURE_STEP) + (self.now - route.last_sent > self.settings.keepalive_s)
            turn = route.last_sent
            if kind.separate_routes:  # in proportion to their limits
                turn = -log(1.0 - drawn) / (route.pool.limit or 1.0)
            rank = (route.failing, fee, len(route.calls), bad, turn, even)
            limit = self._window(route.pool)
            if (best is None or rank < best_rank) and admits(route.pool, job, self.now, limit):
                best, best_rank = route, rank
        if best is not None:
            self._send(job, best, dest, opened)
        if job.dest not in shut and all(self._ready_at(r) > self.now for r in dest.routes.values()):
            shut.add(job.dest)

    def _ready_at(self, route: Route) -> float:
        """When slots, waits, pace and slow start allow one more call; inf if only an event can tell."""
        number = route.entry.number
        if number not in self.ready_times:  # hundreds of held jobs may ask for it in one round
            self.ready_times[number] = self._compute_ready_at(route)
        return self.ready_times[number]

    def _window(self, pool: Pool) -> float:
        """The concurrency limit's window as of this dispatch: only outcomes change it."""
        if pool not in self.windows:
            self.windows[pool] = window(pool, self.now)
        return self.windows[pool]

    def _compute_ready_at(self, route: Route) -> float:
        slots, pool, dest = self.settings.slots, route.pool, self.store.destinations[route.entry.destination]
        most = max(1, int((DEGRADED_SHARE if dest.degraded else DEST_SHARE) * slots))
        if not route.serving() or self.store.slots_used >= slots or dest.calls >= most:
            return inf
        # Degraded destinations must not crowd out the others. Trials may exceed this, to find a recovery.
        together = max(1, int((DEST_SHARE if route.failing else DEGRADED_SHARE) * slots))
        if (dest.degraded and self.degraded_calls >= together) or (route.failing and route.trial is not None):
            return inf
        if route.slow_start.plan_outdated(self.now):
            route.slow_start.plan(self.now, self._bounds(route))
        if route.slow_start.advance(self.now, len(dest.held), pool.cold_calls):
            self._log(route, f"is warm again, {len(dest.held)} messages are held for its destination")
        paced = pool.next_at if pool.pace < inf else -inf
        ready = max(pool.wait_until, paced, route.slow_start.ready_at(pool.cold_calls))
        if route.failing:  # a trial counts as a call of the pool that its other endpoints share
            ready = max(
                [ready, *(r.slow_start.window_ready_at(pool.cold_calls) for r in self.store.in_pool(route))]
            )
        return ready

    def _send(self, job: Job, route: Route, dest: Destination, opened: dict[int, Call]) -> None:
        """Start an attempt, in the open call of this round if it has room, else in a new one."""
        self.ready_times.clear()  # slots, shares and gaps change from here on
        call = opened.get(route.entry.number)
        if call is None or call.left >= self.settings.kinds[route.entry.kind].batch:
            call = opened[route.entry.number] = self.store.open_call(route, self.now)
            idle = self.now - route.idle_since
            call.idle_s = idle if idle < self.settings.keepalive_s else None
            # Idle ones are closed while the expected loss on them is above the cost of a new one.
            risk = self.lost.at(self.now) / (1 + self.reuses.at(self.now))
            if call.idle_s is not None and risk > max(MIN_HANDSHAKE_COST, self.settings.handshake_price):
                self.out.append(api.CloseIdle(route.entry.number))
                call.idle_s = None
            self.degraded_calls += dest.degraded
            route.trial = call if route.failing else None
            self._schedule_next(route)
        if not call.left or not self._may_batch(route):
            self._count_cold_call(route)
        self.store.add_to_call(job, call)
        # A time-out loses an unsafe message for good: only its deadline applies. For others it doubles.
        patience = max(2 * self._silence_s(route.pool), job.cls.wanted_s) * 2 ** (len(job.risky()) - 1)
        patience = inf if job.cls.idempotency is Idempotency.UNSAFE else patience
        phase = api.CallPhase.TRIAL if route.failing else api.CallPhase.ORDINARY
        phase = api.CallPhase.SLOW_START if route.returned_at is not None else phase
        time_out_s = min(job.ends_at - self.now, patience)
        self.out.append(api.Send(job.ref, route.entry.number, time_out_s, phase))
