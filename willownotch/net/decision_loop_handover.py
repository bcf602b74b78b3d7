"""The decision loop's part in an upgrade: hands the whole state to the next process, or continues from it."""

from __future__ import annotations

import heapq
from datetime import datetime, timedelta

from willownotch import interface as api
from willownotch.handover.state import HandoverState, OutstandingCall, OutstandingMessage
from willownotch.net.attempts import Relay, RelayEnded
from willownotch.net.delivery import Delivery
from willownotch.net.events import (
    Answer,
    BodyLost,
    Flush,
    HandIn,
    HandOver,
    MakeRoom,
    RemoteEnded,
    SettingsUpdate,
    Verdict,
    Withdraw,
)

REMOTE_CALL_GRACE = timedelta(seconds=1)  # after a call's deadline, for the previous process to report it


class HandoverMixin:
    """The methods of `DecisionLoop` for state that is handed over and for calls of the previous process."""

    def _pause_for_handover(self, order: HandOver) -> bool:
        """Hand out the whole state and change nothing until the take-over is decided.

        Returns whether the other process has taken over.
        """
        if self._recovered is not None or not order.pending.claim():
            order.pending.settle(None)
            return False
        self.journal.freeze()
        try:
            state = self._handover_state()
        except Exception as fault:  # the hand-over is declined, and nothing has changed
            self.log.say("error", f"cannot assemble the hand-over state: {type(fault).__name__}: {fault}")
            state = None
        order.pending.settle(state)
        if order.decided.get():
            self.journal.hand_over()
            return True
        self.journal.thaw()
        return False

    def _handover_state(self) -> HandoverState:
        """All that the next process needs to continue, while no round is running."""
        blocked = {relay for relays in self._blocked_relays.values() for relay in relays}
        return HandoverState(
            config=self.config,
            clock=self.clock.origin(),
            controller=self.controller,
            hosts=self.hosts.state(),
            live=self.journal.live,
            ended=self._ended_ids,
            unwritten=self._unwritten_records,
            timers=[(when, target) for when, _, target in self._timers if isinstance(target, int)],
            outstanding=[
                OutstandingMessage(
                    delivery.message,
                    delivery.relay_count,
                    delivery.over,
                    delivery.confirmed,
                    delivery.unwritten,
                    [
                        OutstandingCall(r.number, r.endpoint, r.host, r.begun_at, r.ends_at, r in blocked)
                        for r in delivery.active_relays.values()
                    ],
                )
                for delivery in self._outstanding.values()
            ],
            unanswered=list(self._unanswered_notices.values()),
            discovery=self.config.discovery,
            list_index=self.list_index,
            left_to_others=list(self._left_to_others.values()),
        )

    def _forward_items(self) -> None:
        """Pass everything that still comes in to the process that has taken over. Never returns."""
        while True:
            item = self._inbox.get()
            if isinstance(item, HandIn) and item.pending.claim():
                item.pending.settle(Answer(Verdict.MOVED))
            elif isinstance(item, MakeRoom) and item.pending.claim():
                item.pending.settle(False)
            elif isinstance(item, HandOver):
                item.pending.settle(None)
            elif isinstance(item, RelayEnded | Withdraw):
                self.forward(item)
            elif isinstance(item, RemoteEnded):
                # From the previous process, which still makes calls and does not know the next one.
                for ended in self._remote_ended(item, self.clock.now()):
                    self._outstanding[ended.relay.message.ref].active_relays.pop(ended.relay.number, None)
                    self.forward(ended)
            elif isinstance(item, Flush):
                item.done.set()

    def remote_calls(self) -> int:
        """How many calls the previous process is still making. Thread-safe."""
        return sum(
            relay.remote
            for delivery in list(self._outstanding.values())
            for relay in list(delivery.active_relays.values())
        )

    def cancel_remote(self, ref: str, number: int) -> None:
        """Have the previous process cancel a call, if it is one of its own. Thread-safe."""
        delivery = self._outstanding.get(ref)
        relay = delivery.active_relays.get(number) if delivery is not None else None
        if relay is not None and relay.remote:
            self.cancel(relay)

    def adopt(self, state: HandoverState) -> None:
        """Continue from the state that the previous process handed over.

        Called once, before `run` and before any client is served.
        """
        self._recovered, self._has_list = None, True
        self.controller, self._ended_ids, self._unwritten_records = (
            state.controller,
            state.ended,
            state.unwritten,
        )
        self.hosts.adopt(state.hosts)
        self.listed(len(self.hosts.by_number))
        self.list_index = state.list_index
        for when, label in state.timers:
            heapq.heappush(self._timers, (when, next(self._timer_order), label))
        call_ends = self._remote_call_ends(state)
        for known in state.outstanding:
            delivery = self._outstanding[known.message.ref] = Delivery(
                known.message, known.count, over=known.over
            )
            delivery.confirmed, delivery.unwritten = known.confirmed, known.unwritten
            self._outstanding_count += not delivery.over
            for call in known.active_relays:
                relay = Relay(
                    known.message,
                    call.number,
                    call.endpoint,
                    call.host,
                    call.begun_at,
                    call.ends_at,
                    remote=not call.gated,
                    repeatable=self._repeatable(known.message),
                )
                delivery.active_relays[call.number] = relay
                if call.gated:
                    self._block_relay(relay)
                else:  # in case the previous process hangs and never reports its end
                    waited_until = min(call_ends[call.endpoint, call.begun_at], known.message.ends_at)
                    heapq.heappush(
                        self._timers, (waited_until + REMOTE_CALL_GRACE, next(self._timer_order), relay)
                    )
        for message in state.left_to_others:
            self._leave_to_others(message)
        for message, ended in state.unanswered:
            self._send_notice(message, ended)
        for ref in self.lost_bodies:
            self.post(BodyLost(ref))
        remote = sum(
            relay.remote
            for delivery in self._outstanding.values()
            for relay in delivery.active_relays.values()
        )
        self.log.say(
            "upgrade",
            f"taken over: {self._outstanding_count} messages owed, {remote} calls out in the process "
            f"before, {len(self._unanswered_notices)} notices unanswered",
        )
        # Also if nothing has changed: this process has to share the quotas from its first hand-in on.
        changed = state.config.settings != self.settings or self.shared is not None
        self._round([SettingsUpdate(self.config)] if changed else [])

    @staticmethod
    def _remote_call_ends(state: HandoverState) -> dict[tuple[int, datetime], datetime]:
        """When the previous process closes each of its calls, by endpoint and start.

        Messages that were sent together share a call, which stays open until none of them is waited for.
        """
        found: dict[tuple[int, datetime], datetime] = {}
        for message in state.outstanding:
            for call in message.active_relays:
                key = call.endpoint, call.begun_at
                found[key] = max(call.ends_at, found.get(key, call.ends_at))
        return found

    def _remote_ended(self, item: RemoteEnded, now: datetime) -> list[RelayEnded]:
        """The ends of calls that the previous process reports.

        Calls that it never reported before it exited may have been executed.
        """
        if item.gone:
            left = [
                relay
                for delivery in self._outstanding.values()
                for relay in delivery.active_relays.values()
                if relay.remote
            ]
            if left:
                self.log.say(
                    "upgrade",
                    f"the previous process exited with {len(left)} calls in progress: they may "
                    "have been executed",
                )
            return [RelayEnded(relay, api.Outcome.BROKEN, now - relay.begun_at) for relay in left]
        relay = (
            self._outstanding[item.ref].active_relays.get(item.number)
            if item.ref in self._outstanding
            else None
        )
        if relay is None or not relay.remote:
            return []
        item.ended.relay = relay
        return [item.ended]

    def _give_up_remote(self, relay: Relay, now: datetime) -> None:
        """Stop waiting for the previous process to report a call's end, which blocks a slot and its key."""
        delivery = self._outstanding.get(relay.message.ref)
        if delivery is not None and delivery.active_relays.get(relay.number) is relay:
            self.log.say(
                "upgrade",
                f"the previous process has not told the end of attempt {relay.number} of "
                f"{relay.message.ref}: it may have been executed",
            )
            self.post(RelayEnded(relay, api.Outcome.TIMED_OUT, now - relay.begun_at))
