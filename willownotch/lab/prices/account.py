"""What each message of a day came to, and what the goal's parts and each price took of the day.

The bench's report of a day has the share served, its worst 10 s, class and tenant, and what each price took.
G is these as the site file's `goal` weighs them, less the prices: what the worst parts lie under the whole
stands between the share served and G too, and is no price. The senders' own lines say which messages it was.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from willownotch.lab.prices import lines

EARLY, EARLY_PRICE = 0.7, 0.3  # share of its time before which an untried end costs; of its worth
ROOM_FULL, DEST_ROOM = 0.9, 0.5  # of the holding room, where the module gives messages up for room
RAN = ("error", "timed out", "broken", "called off")  # outcomes of calls that may have run
PARTS = {
    "worst_window": "the worst 10 s",
    "worst_class": "the worst class",
    "worst_tenant": "the worst tenant",
}


def taken(day: dict[str, Any], goal: dict[str, float]) -> dict[str, float]:
    """What stands between the share served on a day of the bench's report and its G, in points of G.

    `rest` is what the report itself does not name.
    """
    whole = day["whole"]
    rows = {f"goal: {name}": goal.get(key, 0.0) * (whole - day[key]) for key, name in PARTS.items()}
    rows |= {f"price: {name}": points for name, points in sorted(day["prices"].items()) if points}
    rows["rest"] = whole - day["g"] - sum(rows.values())
    return rows


class Fate(Enum):
    """What became of one hand-in."""

    IN_TIME = "delivered in the wanted time"
    LATE = "delivered later"
    DOOR = "turned away before the module saw it"
    AT_ONCE = "refused by the module, not taken on"
    BACK_UNTRIED = "taken on, handed back with no call"
    BACK_UNRUN = "taken on, handed back after calls that never ran"
    BACK_RAN = "taken on, handed back after a call that may have run"
    FAILED_UNTRIED = "given up with no call"
    FAILED_UNRUN = "given up after calls that never ran"
    FAILED_RAN = "given up after a call that may have run"
    NO_END = "no end in the logs"


class Cause(Enum):
    """Why a message that surely had not run was ended before seven tenths of its time."""

    ROOM = "the holding room was full"
    DESTINATION = "its destination had half of the room"
    OTHER = "neither"


@dataclass(frozen=True, slots=True)
class Service:
    """What the account has to know of a class."""

    worth: float
    wanted_s: float
    deadline_s: float


@dataclass(slots=True)
class HandIn:
    """One hand-in of a message, as all senders' lines tell of it."""

    came: lines.Came
    began_at: float  # when its client first wanted it
    status: int | None = None
    ran: bool = False  # a call may have run
    told_to: float = 0.0  # until when its destination told it to wait
    calls: int = 0
    delivered_at: float | None = None
    over: lines.Over | None = None

    def fate(self, service: Service) -> Fate:
        """What became of it."""
        if self.delivered_at is not None:
            return Fate.IN_TIME if self.delivered_at - self.began_at <= service.wanted_s else Fate.LATE
        if self.over is None:
            return Fate.NO_END if self.status in (None, 202) else Fate.DOOR
        if self.over.how == "failed":
            return Fate.FAILED_RAN if self.ran else Fate.FAILED_UNRUN if self.calls else Fate.FAILED_UNTRIED
        if self.status != 202:
            return Fate.AT_ONCE
        return Fate.BACK_RAN if self.ran else Fate.BACK_UNRUN if self.calls else Fate.BACK_UNTRIED

    def early(self) -> bool:
        """Whether it was taken on, has surely not run and ended before seven tenths of its time."""
        if self.over is None or self.ran or self.status != 202:
            return False
        due = self.came.at + EARLY * self.came.left_s
        return self.over.at < due and self.told_to < due

    def cause(self, room: int) -> Cause:
        """Why it ended early, `room` being how many messages a sender holds at the most."""
        if self.over.held > ROOM_FULL * room:
            return Cause.ROOM
        return Cause.DESTINATION if self.over.there > DEST_ROOM * room else Cause.OTHER


@dataclass(slots=True)
class Account:
    """A day by its messages. Worth is told as a share of what was asked for at first hand-ins."""

    messages: int  # handed in for the first time
    hand_ins: int
    fates: dict[Fate, tuple[int, float]]  # hand-ins, and their worth
    early: dict[tuple[Cause, str], tuple[int, float]]  # by cause and class: messages, and what they cost
    calls_early: int  # of them, those that had a call
    counts: Counter = field(default_factory=Counter)


def read(logs: Iterable[Iterable[str]]) -> tuple[dict[str, Service], int, dict[str, HandIn], Counter]:
    """The classes, the holding room, all hand-ins by id, and counts of the rest, out of all senders' logs."""
    services: dict[str, Service] = {}
    room, found, counts = 0, {}, Counter()
    for line in sorted((line for log in logs for line in lines.read(log)), key=lambda line: line.at):
        if isinstance(line, lines.Started):
            counts["starts"] += 1
            settings = msgspec.json.decode(line.settings)
            room = settings["policyLimits"]["maxOpen"]
            services |= {
                s["name"]: Service(s["credit"], s["promiseS"], s["hardLimitS"]) for s in settings["services"]
            }
        elif isinstance(line, lines.Connected):
            counts[f"connections: {line.where}"] += 1
        elif isinstance(line, lines.Came):
            age = max(0.0, services[line.message_class].deadline_s - line.left_s) if line.again else 0.0
            found.setdefault(line.ref, HandIn(line, line.at - age))
        elif (hand_in := found.get(line.ref)) is None:
            counts["lines of unknown messages"] += 1
        elif isinstance(line, lines.Answered):
            hand_in.status = line.status
        elif isinstance(line, lines.Recalled):
            counts["found by a restart"] += 1
            hand_in.ran = hand_in.ran or line.may_have_run
        elif isinstance(line, lines.Called):
            hand_in.calls += 1
            counts["calls"] += 1
        elif isinstance(line, lines.CallEnded):
            counts[f"calls {line.outcome}"] += 1
            hand_in.ran = hand_in.ran or line.outcome in RAN
            hand_in.told_to = max(hand_in.told_to, line.at + line.wait_s)
            if line.outcome == "delivered" and hand_in.delivered_at is None:
                hand_in.delivered_at = line.at
        else:
            hand_in.over = line
    return services, room, found, counts


def account(logs: Iterable[Iterable[str]], messages: int | None = None) -> Account:
    """Add a day's messages up; `ValueError` if the logs have no hand-in.

    Clients go on after what counts of a day: `messages` is how many first hand-ins do.
    """
    services, room, found, counts = read(logs)
    if not found:
        raise ValueError("no traced hand-in in these logs")
    firsts = sorted(hand_in.began_at for hand_in in found.values() if not hand_in.came.again)
    if messages is not None and messages < len(firsts):
        found = {ref: hand_in for ref, hand_in in found.items() if hand_in.began_at < firsts[messages]}
    worth = {ref: services[hand_in.came.message_class].worth for ref, hand_in in found.items()}
    asked = sum(worth[ref] for ref, hand_in in found.items() if not hand_in.came.again) or 1.0
    fates, early = defaultdict(lambda: (0, 0.0)), defaultdict(lambda: (0, 0.0))
    calls_early = 0
    for ref, hand_in in found.items():
        fate = hand_in.fate(services[hand_in.came.message_class])
        fates[fate] = fates[fate][0] + 1, fates[fate][1] + worth[ref] / asked
        if hand_in.early():
            key = hand_in.cause(room), hand_in.came.message_class
            early[key] = early[key][0] + 1, early[key][1] + EARLY_PRICE * worth[ref] / asked
            calls_early += hand_in.calls > 0
    return Account(
        sum(not hand_in.came.again for hand_in in found.values()),
        len(found),
        {fate: fates[fate] for fate in Fate if fate in fates},
        dict(early),
        calls_early,
        counts,
    )
