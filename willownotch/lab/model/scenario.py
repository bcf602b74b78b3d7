"""The `scenario` block of a settings file: who sends how much to whom, and what goes wrong."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import Annotated

import msgspec

from willownotch.interface import Idempotency
from willownotch.lab.load.settings import Clump, Jump, LoadClass, LoadSettings, Ramp, Shared
from willownotch.settings.types import (
    ChoiceType,
    CountType,
    DurationType,
    Flag,
    NamedBlocks,
    NestedBlock,
    NumberType,
    ShareType,
    YesNo,
)

MS, DAY = timedelta(milliseconds=1), timedelta(days=1)
Span = Annotated[timedelta, DurationType(timedelta(0), DAY)]
Part = Annotated[float, ShareType(0.0, 1.0)]


class Trouble(Enum):
    """What can go wrong."""

    SILENCE = "silence"  # no answer, no reset, and no connection
    HANG = "hang"  # calls are taken and run, and none is answered
    SLOW = "slow"  # answers take `times` as long
    REFUSE = "refuse"  # every call is turned away
    LIMIT = "limit"  # limits are cut to 1/`times`
    BURST = "burst"  # all traffic is `times` the usual
    HOT = "hot"  # the destinations struck draw `share` of all messages more
    REPLACE = "replace"  # endpoints go, new ones take their place; the list says so late
    DRAIN = "drain"  # endpoints are listed as draining, and are gone afterwards
    RESET = "reset"  # so large a `share` of the calls end by a reset
    CRASH = "crash"  # a sender dies and is back after `for`, with the folder that lasts


class TroubleBlock(msgspec.Struct, frozen=True):
    """One trouble. Which partner systems it strikes is drawn: as many as carry `share` of the traffic."""

    kind: Annotated[Trouble, ChoiceType(Trouble)] = Trouble.SILENCE
    at: Span = timedelta(seconds=15)
    for_: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(seconds=10)
    share: Part = 0.25
    times: Annotated[float, NumberType(0.01, 1000.0)] = 8.0
    of_kind: YesNo = Flag.NO  # whether those struck are all of one kind


class Partners(msgspec.Struct, frozen=True):
    """A kind of partner system. Rates and capacities are multiples of what it gets at full load."""

    share: Part = 0.5  # of all partner systems
    size: Annotated[float, NumberType(0.01, 1000.0)] = 1.0  # of the traffic that one gets, beside other kinds
    limit: YesNo = Flag.NO  # whether it has a rate limit at all
    limit_low: Annotated[float, NumberType(0.01, 1000.0)] = 1.0
    limit_high: Annotated[float, NumberType(0.01, 1000.0)] = 1.7
    limit_least: Annotated[float, NumberType(0.01, 1e6)] = 2.5  # calls a second
    refused_count: YesNo = Flag.NO  # whether calls that are turned away use up the limit, too
    tells_wait: YesNo = Flag.NO  # whether an answer that turns a call away says how long to wait
    room_low: Annotated[float, NumberType(0.01, 1000.0)] = 1.0  # capacity
    room_high: Annotated[float, NumberType(0.01, 1000.0)] = 1.8


class ModelClass(msgspec.Struct, frozen=True):
    """A class of message: the module's view and the model's."""

    share: Part = 0.5
    worth: Annotated[float, NumberType()] = 1.0
    wanted: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(seconds=2.5)
    deadline: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(seconds=16)
    late_share: Part = 0.3  # of its worth, at the deadline
    repeat: Annotated[Idempotency, ChoiceType(Idempotency)] = Idempotency.SAFE
    memory: Span = timedelta(0)  # how long a repeat is recognised
    in_order: YesNo = Flag.NO
    keys: Annotated[int, CountType(0, 10**6)] = 0
    takes_low: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(milliseconds=180)
    takes_high: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(milliseconds=310)


class Scenario(msgspec.Struct, frozen=True):
    """All that a story is made of. Defaults are a busy day of the port."""

    duration: Annotated[timedelta, DurationType(timedelta(seconds=1), DAY)] = timedelta(seconds=55)
    senders: Annotated[int, CountType(1, 10_000)] = 3
    partners: Annotated[int, CountType(1, 100_000)] = 16
    rate: Annotated[float, NumberType(0.01, 1e6)] = 30.0  # messages a second, of all senders
    load: Annotated[float, ShareType(0.01, 5.0)] = 0.8  # of full load, for which partner systems are laid out
    skew: Annotated[float, NumberType(0.0, 5.0)] = 0.8  # of traffic over partner systems, by rank (Zipf)
    slots_low: Annotated[float, NumberType(0.1, 100.0)] = 1.9  # x the calls out at full load
    slots_high: Annotated[float, NumberType(0.1, 100.0)] = 2.4
    holding: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(seconds=9)  # of full load, that fits
    list_low: Span = timedelta(seconds=0.8)  # delay of the list's news
    list_high: Span = timedelta(seconds=3)
    report_low: Span = timedelta(milliseconds=170)  # between two refreshes of a told limit
    report_high: Span = timedelta(milliseconds=940)
    way: Annotated[timedelta, DurationType(timedelta(0), timedelta(seconds=10))] = timedelta(milliseconds=2)
    round: Annotated[timedelta, DurationType(MS, timedelta(seconds=1))] = timedelta(milliseconds=10)
    errors: Part = 0.002  # share of calls that fail of themselves
    retries: Annotated[int, CountType(0, 100)] = 3  # times that a client hands in again after a refusal
    retry_wait: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(milliseconds=700)
    come_back_most: Span = timedelta(seconds=2)
    keepalive: Annotated[timedelta, DurationType(MS, DAY)] = timedelta(seconds=5)
    attempts: Annotated[int, CountType(1, 1000)] = 12
    over_share_worth: Part = 0.05
    jump: Annotated[dict[str, Jump], NamedBlocks(Jump)] = {}
    ramp: Annotated[dict[str, Ramp], NamedBlocks(Ramp)] = {}
    clump: Annotated[dict[str, Clump], NamedBlocks(Clump)] = {}
    trouble: Annotated[dict[str, TroubleBlock], NamedBlocks(TroubleBlock)] = {}
    kind: Annotated[dict[str, Partners], NamedBlocks(Partners)] = {}
    class_: Annotated[dict[str, ModelClass], NamedBlocks(ModelClass)] = {}
    tenant: Annotated[dict[str, Shared], NamedBlocks(Shared)] = {}

    def kinds(self) -> dict[str, Partners]:
        """Those of the file, or those of the port."""
        return self.kind or {
            "terminal-operator": Partners(share=0.17, size=4.0, limit=Flag.YES, limit_least=3.0),
            "haulier": Partners(
                share=0.33,
                limit=Flag.YES,
                limit_low=0.95,
                limit_high=1.6,
                limit_least=3.5,
                refused_count=Flag.YES,
            ),
            "shipping-agent": Partners(share=0.5, room_low=0.94),
        }

    def classes(self) -> dict[str, ModelClass]:
        """Those of the file, or those of the port."""
        return self.class_ or {
            "slot-order": ModelClass(share=0.46, repeat=Idempotency.KEYED, memory=timedelta(seconds=15)),
            "slot-status": ModelClass(share=0.43, deadline=timedelta(seconds=28), late_share=0.4),
            "fee-payment": ModelClass(
                share=0.11,
                worth=3.0,
                wanted=timedelta(seconds=2),
                deadline=timedelta(seconds=20),
                repeat=Idempotency.UNSAFE,
                in_order=Flag.YES,
                keys=400,
                takes_low=timedelta(milliseconds=110),
                takes_high=timedelta(milliseconds=190),
            ),
        }

    def tenants(self) -> dict[str, Shared]:
        """Those of the file, or three of unequal size."""
        return self.tenant or {"first": Shared(0.61), "second": Shared(0.29), "third": Shared(0.10)}

    def traffic(self, seed: int, shares: list[float]) -> LoadSettings:
        """What the load generator's plan is drawn from."""
        jumps = dict(self.jump)
        for name, block in self.trouble.items():
            if block.kind is Trouble.BURST:
                jumps[f"trouble {name}"] = Jump(block.at, block.for_, block.times)
        return LoadSettings(
            duration=self.duration,
            rate=self.rate,
            seed=seed,
            destinations=self.partners,
            jump=jumps,
            ramp=self.ramp,
            clump=self.clump,
            tenant=self.tenants(),
            class_={
                name: LoadClass(share=c.share, time=c.deadline, keys=c.keys)
                for name, c in self.classes().items()
            },
            destination={str(n): Shared(share) for n, share in enumerate(shares)},
        )

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        found = []
        for field in ("class_", "tenant", "kind"):
            if sum(each.share for each in getattr(self, field).values()) > 1.0 + 1e-9:
                found.append((field, "the shares of these blocks are over 100% together, allowed: 100%"))
        for what in ("slots", "list", "report"):
            if getattr(self, f"{what}_low") > getattr(self, f"{what}_high"):
                found.append((f"{what}_low", f"'{what}-low' is above '{what}-high', allowed: up to that"))
        return found


class ScenarioFile(msgspec.Struct, frozen=True):
    """A file with one scenario."""

    scenario: Annotated[Scenario, NestedBlock(Scenario)] = Scenario()
