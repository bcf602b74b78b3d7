"""The laboratory's model: one seed, one story; what partner systems do; rules that are broken."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta

import pytest

from willownotch import interface as api
from willownotch.interface import Idempotency, Outcome, Readiness
from willownotch.lab.model.baselines import POLICIES, Backoff, Plain
from willownotch.lab.model.ledger import Item, Ledger
from willownotch.lab.model.partners import COLD_S, Call, Endpoint, Limit, Partner, State
from willownotch.lab.model.scenario import (
    ModelClass,
    Partners,
    Scenario,
    ScenarioFile,
    Trouble,
    TroubleBlock,
)
from willownotch.lab.model.story import Story, play
from willownotch.lab.model.world import World
from willownotch.settings.reader import SettingsError, read
from willownotch.settings.types import Flag

S = timedelta(seconds=1)
SHORT = Scenario(
    duration=20 * S,
    partners=6,
    rate=20.0,
    trouble={
        "a": TroubleBlock(kind=Trouble.SILENCE, at=5 * S, for_=5 * S),
        "b": TroubleBlock(kind=Trouble.CRASH, at=8 * S, for_=2 * S),
        "c": TroubleBlock(kind=Trouble.HOT, at=2 * S, for_=9 * S),
    },
)


def told(policy, seed=2):
    result = play(SHORT, policy, seed)
    return result.digest, result.score, result.events, result.outcomes


def test_the_same_seed_tells_the_same_story_in_any_process():
    here = [told(policy) for policy in ("module", "aimd")]
    with ProcessPoolExecutor(2) as workers:
        there = list(workers.map(told, ["module", "aimd"]))
    assert here == there
    assert told("module", 3)[0] != here[0][0]


def test_the_golden_story():
    """Digest of every call and ending of a plain policy: a change in it is a change of the model."""
    assert play(SHORT, "single try", 2).digest == "7363083eb1de0d3c"


@pytest.mark.parametrize("policy", POLICIES)
@pytest.mark.parametrize("kind", Trouble)
def test_each_message_ends_once_whatever_strikes(policy, kind):
    scenario = Scenario(
        duration=12 * S, partners=5, rate=15.0, trouble={"a": TroubleBlock(kind=kind, at=3 * S, for_=4 * S)}
    )
    result = play(scenario, policy, 4)
    assert result.messages > 100
    assert {b.rule for b in result.breaches} <= {"pushed over"}
    assert sum(sum(each.values()) for each in result.outcomes.values()) == result.messages
    assert not any(what in ("open", "none") for each in result.outcomes.values() for what in each)


# Partner systems


def partner(world=None, **more):
    world = world or World(1)
    block = Partners(room_low=1.0, room_high=1.0, **more)
    made = Partner(world, 0, "k", block, 0.5, 10.0, 0.2, world.draws("p"), 0.0, (0.1, 0.1))
    return world, made, made.endpoints[0]


def ask(world, made, endpoint, number=1, takes=0.2):
    heard = []
    for n in range(number):
        made.arrive(endpoint, Call(f"r{n}", 0, 0, takes, heard.append))
    world.run(world.now + 5)
    return [answer.outcome for answer in heard]


def test_a_well_endpoint_answers_and_a_full_one_turns_away():
    world, made, endpoint = partner()
    assert ask(world, made, endpoint) == [Outcome.DELIVERED]
    outcomes = ask(world, made, endpoint, 100)
    assert outcomes.count(Outcome.REJECTED) == 100 - 5 * endpoint.workers


@pytest.mark.parametrize(
    ("state", "wanted"),
    [
        (State.SILENT, []),
        (State.HANGS, []),
        (State.GONE, [Outcome.UNREACHABLE]),
        (State.SHUT, [Outcome.REJECTED]),
    ],
)
def test_how_an_endpoint_treats_a_call(state, wanted):
    world, made, endpoint = partner()
    endpoint.state = state
    assert ask(world, made, endpoint) == wanted


def test_a_hang_carries_calls_out_and_answers_none_of_them_ever():
    world, made, endpoint = partner()
    began = []
    made.began = began.append
    made.outage(State.HANGS)
    assert ask(world, made, endpoint) == []
    made.over()
    world.run(60)
    assert len(began) == 1


@pytest.mark.parametrize(("refused_count", "wanted"), [(False, 10), (True, 4)])
def test_refused_calls_count_against_the_limit_or_not(refused_count, wanted):
    """20 calls a second for 4 s against a limit of 2: who counts refusals lets hardly any through."""
    limit = Limit(2.0, refused_count, 2.0)
    taken = sum(limit.take(n * 0.05) for n in range(80))
    assert taken == pytest.approx(wanted, abs=2)


def test_a_partner_comes_back_cold_and_is_whole_again_after_a_while():
    world, made, _ = partner()
    whole = made.capacity()
    made.outage(State.SILENT)
    world.run(10)
    made.over()
    assert made.capacity() == pytest.approx(0.18 * whole)
    world.run(10 + COLD_S / 2)
    assert made.capacity() == pytest.approx(0.59 * whole)
    world.run(10 + COLD_S)
    assert made.capacity() == whole


def test_a_cold_partner_that_is_pushed_falls_over_and_names_who_pushed():
    world, made, endpoint = partner()
    fell = []
    made.on_fall = lambda who, senders: fell.append((world.now, senders))
    made.outage(State.SILENT)
    made.over()
    for n in range(200):
        world.at(n * 0.05, made.arrive, endpoint, Call(f"r{n}", 7, 0, 0.2, lambda answer: None))
    world.run(9)
    assert made.down and len(fell) == 1
    assert fell[0][0] >= 2.0 and set(fell[0][1]) == {7}


def test_limits_are_told_and_refreshed_late():
    world, made, endpoint = partner(limit=Flag.YES, limit_least=5.0)
    heard = []
    for n in range(3):
        world.at(n * 0.04, made.arrive, endpoint, Call(f"r{n}", 0, 0, 0.01, heard.append))
    world.run(2)
    rooms = [answer.room_left for answer in heard]
    assert rooms[0] == rooms[1] < 1.0
    assert {answer.limit_per_s for answer in heard} == {made.limit.rate()}


# Worth and rules

ORDER = api.MessageClass("order", 1.0, 2.0, 10.0, 0.4, Idempotency.KEYED, dedup_window_s=5.0)


@pytest.mark.parametrize(("took", "share"), [(0.0, 1.0), (2.0, 1.0), (6.0, 0.7), (10.0, 0.4), (10.001, 0.0)])
def test_worth_falls_evenly_after_the_wanted_time(took, share):
    ledger = Ledger((ORDER,), ("t",))
    item = Item("m", 0, 0, 0, None, 3.0, 1.0, True, 13.0)
    assert ledger.worth_at(item, 3.0 + took) == pytest.approx(share)


class Bad(Backoff):
    """A policy that breaks one rule, over a plain one."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.gone, self.sent = {}, {}


class SendsToTheGone(Bad):
    """Never takes an endpoint off."""

    def _list(self, event):
        entries = tuple(e for e in event.entries if e.readiness is Readiness.SERVING)
        super()._list(api.EndpointList(entries, False))


class Repeats(Bad):
    """Sends again whatever may have run."""

    def _may_send(self, job):
        return len(job.runs) < 5

    def delay(self, job):
        return 0.01


class MixesKeys(Bad):
    """Takes no heed of keys."""

    def _first_of_key(self, job):
        return True


class HeedsNoWait(Bad):
    """Forgets what it was told."""

    def heard(self, dest, event):
        dest.wait_until = 0.0


class SaysNothing(Bad):
    """Gives up without a word."""

    def _give_up(self, job):
        self._forget(job)


class EndsTwice(Bad):
    """Answers again."""

    def _give_up(self, job):
        self.out.append(api.Fail(job.message.ref))
        super()._give_up(job)


class HandsBackTheUnsafe(Bad):
    """Says that a repeat does no harm."""

    def _give_up(self, job):
        self.out.append(api.Refuse(job.message.ref, 0.1))
        self._forget(job)


AT_A_CALL = ("drain", "repeat", "order", "wait")
HARD = Scenario(
    duration=25 * S,
    partners=4,
    rate=25.0,
    load=1.2,
    kind={
        "limited": Partners(
            share=1.0, limit=Flag.YES, limit_least=0.5, limit_low=0.5, limit_high=0.6, tells_wait=Flag.YES
        )
    },
    class_={
        "fee": ModelClass(share=0.7, repeat=Idempotency.UNSAFE, in_order=Flag.YES, keys=8),
        "order": ModelClass(share=0.3, repeat=Idempotency.KEYED, memory=S),
    },
    trouble={
        "a": TroubleBlock(kind=Trouble.HANG, at=4 * S, for_=6 * S, share=0.6),
        "b": TroubleBlock(kind=Trouble.DRAIN, at=12 * S, for_=12 * S, share=0.6),
    },
)


@pytest.mark.parametrize(
    ("policy", "rules"),
    [
        (SendsToTheGone, {"drain"}),
        (Repeats, {"repeat", "effect twice"}),
        (MixesKeys, {"order"}),
        (HeedsNoWait, {"wait"}),
        (SaysNothing, {"no ending in time"}),
        (EndsTwice, {"two endings"}),
        (HandsBackTheUnsafe, {"handed back though it may have run"}),
    ],
)
def test_a_broken_rule_is_named_with_its_message_time_and_call(policy, rules):
    result = Story(HARD, policy, 5).run()
    found = {b.rule for b in result.breaches}
    assert rules <= found
    for breach in result.breaches:
        if breach.rule in rules:
            assert breach.ref.startswith("m") and 0 < breach.at < 60
            assert breach.call.startswith("attempt") or breach.rule not in AT_A_CALL
    good = Story(HARD, Backoff, 5).run()
    assert not rules & {b.rule for b in good.breaches}


def test_retries_of_a_client_belong_to_its_first_try():
    story = Story(SHORT, Plain, 2)
    result = story.run()
    assert result.messages == len(story.plan)
    assert max(story.tries.values()) <= SHORT.retries
    again = [item for item in story.ledger.items.values() if item.delivered_at and item.ref in story.tries]
    assert again and all(item.delivered_at - item.at > 0.5 for item in again)


def test_draws_for_one_purpose_leave_those_for_another_alone():
    one, other = World(1), World(1)
    other.draws("a").uniform()
    assert one.draws("b").uniform() == other.draws("b").uniform()


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        (
            "scenario {\n trouble a {\n kind flood\n }\n}\n",
            "f:3:7: 'kind' cannot be 'flood', allowed: one of",
        ),
        ("scenario {\n list-low 5s\n}\n", "'list-low' is above 'list-high'"),
        ("scenario {\n class a {\n share 80%\n }\n class b {\n share 30%\n }\n}\n", "over 100%"),
    ],
)
def test_bad_scenarios_are_told(text, wanted):
    with pytest.raises(SettingsError) as fault:
        read(text, ScenarioFile, "f")
    assert wanted in str(fault.value)


def test_an_endpoint_is_numbered_once():
    story = Story(SHORT, "module", 1)
    assert [e.number for e in story.endpoints.values()] == list(range(len(story.endpoints)))
    assert all(isinstance(e, Endpoint) for e in story.endpoints.values())
