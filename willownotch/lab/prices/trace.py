"""A sender that writes what happens to its messages: the program itself, with its parts listened to.

Run it in the place of `willownotch serve`, by a deploy file of its own. Nothing is decided otherwise; each
line costs some 10 us of processor time.
"""

from __future__ import annotations

import os
import socket
import sys
import threading
import time
from datetime import datetime
from pathlib import Path

import msgspec

from willownotch import cli
from willownotch import interface as api
from willownotch.journal.records import AcceptedMessage
from willownotch.lab.prices import lines
from willownotch.net.attempts import Relay
from willownotch.net.client_side import ClientSide, Reply
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.endpoint_connections import EndpointConnections
from willownotch.net.endpoint_side import EndpointSide
from willownotch.net.registry import Platform


def say(line: lines.Traced) -> None:
    """Write it at once: the process may be killed at any moment."""
    os.write(2, lines.write(line).encode() + b"\n")


class TracedClientSide(ClientSide):
    """Tells what comes, and what it is answered."""

    def _hand_in(self, message: AcceptedMessage, read_at: datetime) -> Reply:
        self.decision_loop.handed.add(message.ref)
        now, left = time.time(), (message.ends_at - self.clock.now()).total_seconds()
        say(
            lines.Came(
                now,
                message.ref,
                message.message_class,
                message.tenant,
                message.destination,
                message.is_retry,
                left,
            )
        )
        reply = super()._hand_in(message, read_at)
        say(lines.Answered(time.time(), message.ref, reply.status))
        return reply


class TracedDecisionLoop(DecisionLoop):
    """Tells what the module hears and decides."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._decide, self.controller.handle = self.controller.handle, self._handle
        self.handed: set[str] = set()  # messages that clients handed in, until the module hears of them
        self._begun: dict[str, int] = {}  # of a message, the attempts so far, as the owner counts them

    def _handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        at, store = time.time(), self.controller.store
        held = len(store.jobs) + sum(isinstance(event, api.Message) for event in events)
        there = {number: len(dest.held) for number, dest in store.active.items()}
        for event in events:
            if isinstance(event, api.Message):
                there[event.destination] = there.get(event.destination, 0) + 1
            if isinstance(event, api.Message) and event.ref in self.handed:
                self.handed.discard(event.ref)
            elif isinstance(event, api.Message):
                self._begun[event.ref] = len(event.past)
                ran = any(past.may_have_run for past in event.past)
                say(lines.Recalled(at, event.ref, len(event.past), ran))
            elif isinstance(event, api.AttemptEnded):
                say(
                    lines.CallEnded(
                        at,
                        event.ref,
                        event.attempt,
                        event.outcome.value,
                        event.took_s,
                        event.wait_s,
                        event.final,
                    )
                )
        actions = self._decide(now, events)
        for action in actions:
            if isinstance(action, api.Send):
                number = self._begun.get(action.ref, 0)
                self._begun[action.ref] = number + 1
                say(lines.Called(at, action.ref, number, action.endpoint))
            elif isinstance(action, api.Refuse | api.Fail):
                refused = isinstance(action, api.Refuse)
                dest = self._outstanding[action.ref].message.destination
                say(
                    lines.Over(
                        at,
                        action.ref,
                        "refused" if refused else "failed",
                        action.retry_after_s if refused else 0.0,
                        held,
                        there.get(dest, 0),
                    )
                )
                self._begun.pop(action.ref, None)
        return actions


class TracedConnections(EndpointConnections):
    """Tells of connections to endpoints."""

    def open(self, relay: Relay) -> socket.socket | None:
        """As `EndpointConnections` has it."""
        say(lines.Connected(time.time(), "endpoint"))
        return super().open(relay)


class TracedEndpointSide(EndpointSide):
    """Makes its calls on traced connections."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.connections = TracedConnections(self.config, self.clock, self.log)


class TracedPlatform(Platform):
    """Tells of new connections to the platform's agent."""

    def connect(self) -> tuple[socket.socket, str, int]:
        """As `Platform` has it."""
        say(lines.Connected(time.time(), threading.current_thread().name))
        return super().connect()


def main() -> int:
    """Serve, traced."""
    cli.ClientSide, cli.DecisionLoop, cli.EndpointSide, cli.Platform = (
        TracedClientSide,
        TracedDecisionLoop,
        TracedEndpointSide,
        TracedPlatform,
    )
    try:
        raw = msgspec.json.decode(Path(os.environ["LB_CONFIG"]).read_bytes(), type=dict[str, msgspec.Raw])
        say(lines.Started(time.time(), raw["settings"]))
    except (KeyError, OSError, msgspec.DecodeError):
        pass  # the program itself says what is wrong with its configuration
    return cli.main([])


if __name__ == "__main__":
    sys.exit(main())
