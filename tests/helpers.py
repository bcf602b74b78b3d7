"""A sender on a clock that the test sets, and helpers for its actions."""

from willownotch.control import Controller
from willownotch.interface import (
    AttemptEnded,
    DedupScope,
    DestinationKind,
    Endpoint,
    EndpointList,
    Fail,
    Idempotency,
    Message,
    MessageClass,
    Outcome,
    Refuse,
    Rules,
    Send,
    Settings,
    Timer,
)

SAFE = MessageClass("safe", 1.0, 2.0, 20.0, 0.5, Idempotency.SAFE)
KEYED = MessageClass("keyed", 2.0, 2.0, 20.0, 0.5, Idempotency.KEYED, DedupScope.ALL, 10.0)
ZONED = MessageClass("zoned", 2.0, 2.0, 20.0, 0.5, Idempotency.KEYED, DedupScope.ZONE, 10.0)
# Its dedup window must have no effect.
UNSAFE = MessageClass("unsafe", 4.0, 2.0, 20.0, 0.5, Idempotency.UNSAFE, DedupScope.ALL, 10.0)
ORDERED = MessageClass("ordered", 1.0, 2.0, 20.0, 0.5, Idempotency.SAFE, in_order=True)
CLASSES = (SAFE, KEYED, ZONED, UNSAFE, ORDERED)


def settings(**changes):
    base = {
        "classes": CLASSES,
        "kinds": (DestinationKind("one"), DestinationKind("batch", 20), DestinationKind("apart", 1, True)),
        "slots": 8,
        "holding_room": 100,
        "max_attempts": 8,
        "senders": 2,
        "max_retry_after_s": 2.0,
        "rules": Rules(cold_share=0.2, cold_s=10.0, key_quiet_s=0.5),
    }
    return Settings(**{**base, **changes})


class Sender:
    """Drives one controller; `rows` are (endpoint, destination, kind, zone) of the endpoint list."""

    def __init__(self, rows=((1, 1, 0, 0),), seed=5, **changes):
        self.settings = settings(**changes)
        self.control = Controller(self.settings, seed)
        self.now, self.number, self.tries = 0.0, 0, {}
        self.step(self.listed(rows))

    def listed(self, rows, whole=True):
        return EndpointList(tuple(Endpoint(n, d, k, z) for n, d, k, z in rows), whole)

    def step(self, *events, at=None, after=0.0):
        self.now = self.now + after if at is None else at
        actions = self.control.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, Send):
                self.tries[action.ref] = self.tries.get(action.ref, -1) + 1
        return actions

    def message(self, cls=SAFE, dest=1, left=None, key=None, tenant=0):
        self.number += 1
        time_left = cls.deadline_s if left is None else left
        return Message(f"m{self.number}", dest, CLASSES.index(cls), time_left, tenant, key)

    def ended(self, send, outcome, took=0.1, final=False, wait=0.0, **more):
        final = final or outcome is Outcome.DELIVERED
        return AttemptEnded(send.ref, self.tries[send.ref], send.endpoint, outcome, took, final, wait, **more)

    def tick(self, after=0.02):
        return self.step(Timer(1), after=after)

    def serve(self, count, gap=0.1, took=0.1, dest=1):
        """Deliver `count` messages one by one, so that the sender knows the usual latency and rate."""
        for _ in range(count):
            sent = sends(self.step(self.message(dest=dest), after=gap))
            assert len(sent) == 1
            self.step(self.ended(sent[0], Outcome.DELIVERED, took), after=took)

    def fail(self, outcome=Outcome.UNREACHABLE, most=10):
        """Let calls fail until endpoint 1 is judged failing."""
        self.step(self.message(), after=0.1)
        for _ in range(most):
            out = self.step(Timer(1), after=0.05)
            for send in sends(out) or self.waiting():
                self.step(self.ended(send, outcome))
            if self.control.store.routes[1].failing:
                return
        raise AssertionError("endpoint 1 was not judged failing")

    def waiting(self):
        """Attempts without an outcome, read from the module's state."""
        found = []
        for job in self.control.store.jobs.values():
            for number, (call, ran) in enumerate(job.attempts):
                if ran.name == "OUTSTANDING":
                    self.tries[job.ref] = number
                    found.append(Send(job.ref, call.route.entry.number, 0.0))
        return found


def sends(actions):
    return [a for a in actions if isinstance(a, Send)]


def answers(actions):
    return [a for a in actions if isinstance(a, Refuse | Fail)]
