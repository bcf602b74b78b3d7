"""Drawn stories that know what each attempt may have done, and note each refusal that is not allowed."""

from dataclasses import replace

from decision_stories import ENDPOINTS, Story
from helpers import CLASSES, ZONED

from willownotch import interface as api

CELLED = replace(ZONED, name="celled", dedup_scope=api.DedupScope.ENDPOINT)
MAX_LATENCY_S = 0.5
END_MARGIN_S = MAX_LATENCY_S + 0.1  # with less time left, a message may be ended without a call
PROVE_NOTHING_RAN = (api.Outcome.REJECTED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT)


class RefusalStory(Story):
    """A story with hard parts of quotas, and with messages that come with attempts of another process."""

    def __init__(self, seed):
        self.may_have_run = {}  # by id, of each attempt so far; one without an outcome may have run
        self.accepted = set()  # ids of messages that came once more after they were accepted
        self.wrong = []  # a text for each refusal of what may have run
        self.untried = []  # a text for each message that was accepted before and ended without a call
        super().__init__(seed)

    def draw_settings(self):
        return replace(super().draw_settings(), classes=(*CLASSES, CELLED))

    def carried_out(self, action):
        if isinstance(action, api.Send):
            self.may_have_run.setdefault(action.ref, []).append(True)
        elif isinstance(action, api.Refuse) and action.ref in self.messages:
            self.check_refusal(action.ref)
        if isinstance(action, api.Refuse | api.Fail) and action.ref in self.accepted:
            self.check_untried(action.ref)
        super().carried_out(action)

    def check_refusal(self, ref):
        cls = self.drawn.classes[self.messages[ref][0].message_class]
        dropped = cls.idempotency is api.Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ALL
        harmless = cls.idempotency is api.Idempotency.SAFE or dropped
        if any(self.may_have_run.get(ref, ())) and not harmless:
            self.wrong.append(f"{ref}, {cls.name}, may have run and was refused at {self.now:.2f} s")

    def check_untried(self, ref):
        left_s = self.messages[ref][1] - self.now if ref in self.messages else 0.0
        if not self.may_have_run.get(ref) and left_s > END_MARGIN_S:
            self.untried.append(f"{ref} was ended at {self.now:.2f} s with {left_s:.2f} s left")

    def ended(self):
        event = super().ended()
        if event is None:
            return None
        if event.outcome in PROVE_NOTHING_RAN:
            self.may_have_run[event.ref][event.attempt] = False
        return replace(event, took_s=min(event.took_s, MAX_LATENCY_S))

    def retimed(self, message, left_s, past):
        self.accepted.add(message.ref)
        return super().retimed(message, left_s, past)

    def past_of(self, ref):
        return tuple(
            api.PastAttempt(self.random.choice(ENDPOINTS), self.random.uniform(0, 9), ran)
            for ran in self.may_have_run.get(ref, ())
        )

    def event(self):
        lot = self.random.random()
        if lot < 0.05:
            return self.adopted()
        if lot < 0.1:
            return api.TenantPart(
                self.random.randrange(2), self.random.choice((0.0, 0.05, 1.0)), self.random.random() < 0.7
            )
        return super().event()

    def adopted(self):
        """A message of another sender's book, with the attempts that its copies tell of."""
        message = self.message()
        ran = [self.random.random() < 0.5 for _ in range(self.random.randrange(3))]
        self.may_have_run[message.ref], self.attempts[message.ref] = ran, len(ran)
        return self.retimed(message, message.time_left_s, self.past_of(message.ref))
