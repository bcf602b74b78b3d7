"""Drawn stories of the decision module: lists that empty, refill and move, long pauses, restarts."""

from random import Random

from helpers import CLASSES, SAFE, settings

from willownotch import interface as api
from willownotch.control import Controller

DESTINATIONS, ENDPOINTS = (1, 2, 3), range(1, 8)
PAUSES_S = (0.0, 0.001, 0.02, 0.02, 0.1, 0.5, 2.0, 15.0, 3600.0, 86400.0)
LIMITS = (None, None, 1e-300, 1e-9, 0.5, 20.0, 9e8)
RATES = (0.0, 1e-9, 5.0, 9e8)


class Story:
    """One story of a controller, drawn from a seed; `play` raises whatever the module raises."""

    def __init__(self, seed, given=None):
        self.random = Random(f"decisions {seed}")
        self.drawn = given or self.draw_settings()
        self.now, self.count = 0.0, 0
        self.messages = {}  # by id, those without an end
        self.attempts = {}  # by id, the numbers of attempts so far
        self.out = []  # attempts in progress: (id, number, endpoint)
        self.controller = Controller(self.drawn, seed)

    def draw_settings(self):
        return settings(
            slots=self.random.choice((1, 2, 8)),
            holding_room=self.random.choice((3, 20)),
            senders=self.random.choice((1, 2, 12, 200)),
            may_cancel=self.random.random() < 0.8,
            may_tell=self.random.random() < 0.5,
            second_copies=self.random.random() < 0.5,
            must_subscribe=self.random.random() < 0.3,
            listed_rates=self.random.random() < 0.5,
            clients_mark_retries=self.random.random() < 0.5,
            handshake_price=self.random.choice((0.0, 0.1)),
            keepalive_s=self.random.choice((0.5, 5.0, float("inf"))),
            tenants=self.random.choice(((), (api.Tenant("a", 0.0), api.Tenant("b", 5.0)))),
        )

    def play(self, rounds):
        for _ in range(rounds):
            self.now += self.random.choice(PAUSES_S)
            if self.random.random() < 0.03:
                self.restart()
            self.round([self.event() for _ in range(self.random.randint(0, 4))])

    def round(self, events):
        for action in self.controller.handle(self.now, [e for e in events if e is not None]):
            self.carried_out(action)

    def carried_out(self, action):
        if isinstance(action, api.Send):
            number = self.attempts.get(action.ref, 0)
            self.attempts[action.ref] = number + 1
            self.out.append((action.ref, number, action.endpoint))
        elif isinstance(action, api.Refuse | api.Fail):
            self.messages.pop(action.ref, None)

    def restart(self):
        """A new process: a new controller, the messages that are owed, and what the folder tells."""
        records = self.controller.slow_starts()
        self.controller = Controller(self.drawn, self.random.randint(0, 99))
        if self.random.random() < 0.7:
            self.controller.handle(self.now, [records])
        if self.random.random() < 0.7:
            self.round([self.listed()])
        back = [
            self.retimed(message, ends_at - self.now, self.past_of(message.ref))
            for message, ends_at in self.messages.values()
        ]
        self.out = []
        self.round(back)

    def past_of(self, ref):
        """What a restarted process knows of the attempts of a message: here, that each may have run."""
        return tuple(
            api.PastAttempt(self.random.choice(ENDPOINTS), self.random.uniform(0, 9), True)
            for _ in range(self.attempts.get(ref, 0))
        )

    @staticmethod
    def retimed(message, left_s, past):
        return api.Message(
            message.ref,
            message.destination,
            message.message_class,
            left_s,
            message.tenant,
            message.key,
            is_retry=True,
            past=past,
            accepted=True,
        )

    def event(self):
        lot = self.random.random()
        if lot < 0.2:
            return self.listed()
        if lot < 0.6:
            return self.message()
        if lot < 0.9:
            return self.ended()
        number, works = self.random.choice(ENDPOINTS), self.random.random() < 0.5
        ref = self.random.choice([*self.messages, "none"])
        return self.random.choice(
            (
                api.PeerJudgement(number, works),
                api.ProbeEnded(number, self.random.choice(list(api.Outcome)), 0.1),
                api.ListFailed(),
                api.Withdrawn(ref),
                api.SettingsChanged(self.drawn),
                api.Timer(1),
                api.TenantPart(0, self.random.choice((0.0, 0.5, 1.0)), works),
            )
        )

    def listed(self):
        """A list or a change of it: endpoints come, drain, go, come back, and move to other destinations."""
        names = self.random.sample(list(ENDPOINTS), self.random.randint(0, len(ENDPOINTS)))
        entries = [
            api.Endpoint(
                number,
                self.random.choice(DESTINATIONS),
                number % len(self.drawn.kinds),
                number % 2,
                self.random.choice(list(api.Readiness)),
                self.random.choice(RATES),
            )
            for number in names
        ]
        return api.EndpointList(tuple(entries), self.random.random() < 0.4)

    def message(self):
        self.count += 1
        number = self.random.randrange(len(self.drawn.classes))
        cls = self.drawn.classes[number]
        left = self.random.choice((0.0, 0.05, 1.0, cls.deadline_s, 1e6))
        message = api.Message(
            f"m{self.count}",
            self.random.choice((*DESTINATIONS, 9)),
            number,
            left,
            self.random.choice((0, 1, 7)),
            self.random.choice((None, "k1", "k2")),
            is_retry=self.random.random() < 0.2,
        )
        self.messages[message.ref] = message, self.now + left
        return message

    def ended(self):
        if not self.out:
            return None
        ref, number, endpoint = self.out.pop(self.random.randrange(len(self.out)))
        outcome = self.random.choice(list(api.Outcome))
        final = outcome is api.Outcome.DELIVERED
        if final:
            self.messages.pop(ref, None)
        return api.AttemptEnded(
            ref,
            number,
            endpoint,
            outcome,
            self.random.choice((0.0, 0.01, 0.5, 3600.0)),
            final,
            self.random.choice((0.0, 0.0, 0.5, 80000.0)),
            self.random.random() < 0.1,
            self.random.choice((None, 0.0, 0.6, 1.0)),
            self.random.choice(LIMITS),
            self.random.random() < 0.1,
        )


def emptied_destination():
    """The least form of issue 66: a tried message without an endpoint, all slots taken, one that waits."""
    controller = Controller(settings(slots=1, may_cancel=True), 1)
    rows = (api.Endpoint(1, 1, 0, 0), api.Endpoint(2, 2, 0, 0))
    safe = CLASSES.index(SAFE)
    controller.handle(0.0, [api.EndpointList(rows, True), api.Message("tried", 1, safe, 20.0)])
    controller.handle(0.1, [api.AttemptEnded("tried", 0, 1, api.Outcome.ERROR, 0.1)])
    gone = api.Endpoint(1, 1, 0, 0, api.Readiness.GONE)
    controller.handle(0.2, [api.EndpointList((gone,), False), api.Message("hangs", 2, safe, 20.0)])
    controller.handle(0.3, [api.EndpointList((gone,), False), api.Message("waits", 2, safe, 20.0)])
    return controller
