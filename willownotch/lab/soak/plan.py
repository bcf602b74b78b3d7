"""What one run plays, drawn from its seed: senders, clients, endpoints, and what goes wrong when."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from random import Random

from willownotch.interface import Rules
from willownotch.lab.faults.answers import AnswerFault
from willownotch.lab.faults.shim import SHORT, SLOW, CallFault
from willownotch.lab.recovery.case import OutageKind
from willownotch.lab.soak.crowd import FULL_SPEED, CrowdKind

KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL: the earliest that the pages allow
RESTART_AFTER_S = 0.6  # from SIGKILL to the next start
HOLD_MOST_S = 0.15  # how long a process may be held up
LARGE_FLEET, LARGE_FLEET_SHARE = 30, 0.04
IDLE_CROWD = 60


class Action(Enum):
    """What is done to a sender."""

    UPGRADE = "upgrade"
    UPGRADE_TWICE = "upgrade on an upgrade"
    RESTART = "SIGTERM, SIGKILL, start"
    KILL = "SIGKILL, start"
    LOSE = "SIGKILL, the folder emptied, start"
    RELOAD = "SIGHUP"
    HOLD = "SIGSTOP, SIGCONT"
    DRAIN = "quiesce, resume"
    UPGRADE_IN_DRAIN = "upgrade while drained"
    STOP_IN_UPGRADE = "SIGTERM right behind the start of an upgrade"
    RELOAD_IN_UPGRADE = "SIGHUP to both in an upgrade"


@dataclass(frozen=True)
class Step:
    """An action at a time, in seconds from the beginning."""

    at_s: float
    sender: int
    action: Action


@dataclass(frozen=True)
class Conditions:
    """How bad the endpoints and the way to them are in a span of time. Shares, and seconds."""

    from_s: float
    slow_s: float = 0.02
    refuse: float = 0.0  # 503, or 429 with a wait
    error: float = 0.0  # 500
    reset: float = 0.0  # the connection is reset under a call
    hang: float = 0.0  # a call that is not answered
    break_pieces: float = 0.0  # pieces lost by the proxy, and their connections with them
    discovery_up: bool = True
    answer_faults: tuple[AnswerFault, ...] = ()  # one of them befalls each answer that is struck
    answer_share: float = 0.0  # of the answers that are struck
    notice_share: float = 0.0  # of the notices answered 503 behind a second copy of an earlier 204


@dataclass(frozen=True)
class ColdOutage:
    """A span in which the cold destination is out, in seconds from the beginning."""

    from_s: float
    to_s: float
    kind: OutageKind


@dataclass(frozen=True)
class ColdPlan:
    """A destination that fails and returns cold, and the traffic for it."""

    limit_per_s: float  # of all senders together; its capacity is more
    outages: tuple[ColdOutage, ...]
    load: float = 0.8  # x the limit
    tells_limit: bool = True
    capacity: float = 1.2  # x the limit
    clients: int = 2  # of each sender
    cold_share: float = 0.2
    cold_s: float = 10.0
    fall_multiple: float = 2.0
    fall_s: float = 2.0

    def budget(self, since_s: float) -> float:
        """The calls that the settings allow in a window that begins so long after the return."""
        share = min(1.0, self.cold_share + (1 - self.cold_share) * since_s / self.cold_s)
        return self.fall_multiple * self.capacity * self.limit_per_s * share * self.fall_s

    def rules(self) -> Rules:
        """Its figures, as a sender reads them."""
        return Rules(
            cold_share=self.cold_share,
            cold_s=self.cold_s,
            fall_multiple=self.fall_multiple,
            fall_s=self.fall_s,
        )

    def describe(self) -> str:
        """One line."""
        outages = ", ".join(f"{o.kind.value} {o.from_s:.1f}-{o.to_s:.1f} s" for o in self.outages)
        told = "told" if self.tells_limit else "not told"
        return f"cold destination, limit {self.limit_per_s:.0f} {told}, load {self.load:.1f}: {outages}"


class ListChangeKind(Enum):
    """What befalls the list of endpoints."""

    EMPTY = "the side destination loses its endpoints"
    REFILL = "its endpoints come back under new names"
    NEW_LIFE = "its endpoints come back under their names, started anew"
    UNSOUND = "entries with unsound values"


@dataclass(frozen=True)
class ListChange:
    """A change of the list at a time, in seconds from the beginning."""

    at_s: float
    kind: ListChangeKind


@dataclass(frozen=True)
class CrowdPlan:
    """Clients of each sender that never finish a request, in a span of seconds from the beginning."""

    kind: CrowdKind
    count: int
    from_s: float = 0.0
    to_s: float = 8.0


@dataclass(frozen=True)
class QuotaPlan:
    """The quota of the tenant, in messages a second, of which each sender owns a hard part."""

    quota_per_s: float
    keyed_share: float = 0.7  # of the clients, that send fees of one key


@dataclass(frozen=True)
class Machine:
    """What a sender's process may use."""

    memory_mb: float = 96.0
    sockets: int = 384


@dataclass(frozen=True)
class Plan:
    """One run."""

    seed: int
    seconds: float
    senders: int
    clients: int  # of each sender
    idle: int
    endpoints: int
    steps: tuple[Step, ...]
    conditions: tuple[Conditions, ...]
    call_faults: tuple[CallFault, ...]
    clock_steps_s: tuple[float, ...]  # of the wall clock, for the processes of a sender in turn
    cold: ColdPlan | None = None
    quota: QuotaPlan | None = None
    crowd: CrowdPlan | None = None
    machine: Machine = Machine()
    list_changes: tuple[ListChange, ...] = ()
    pause_s: float | None = None  # of each client between two requests; drawn if None

    def describe(self) -> str:
        """One line."""
        steps = ", ".join(f"{s.at_s:.1f} s n{s.sender} {s.action.value}" for s in self.steps)
        faults = " ".join(fault.text() for fault in self.call_faults) or "none"
        cold = f"; {self.cold.describe()}" if self.cold is not None else ""
        cold += f"; quota {self.quota.quota_per_s:g} a second" if self.quota is not None else ""
        struck = sorted({fault.name for span in self.conditions for fault in span.answer_faults})
        answers = f"; answers: {' '.join(struck)}" if struck else ""
        if self.list_changes:
            changes = ", ".join(f"{c.at_s:.1f} s {c.kind.name.lower()}" for c in self.list_changes)
            answers += f"; list: {changes}"
        if self.crowd is not None:
            crowd = self.crowd
            answers += (
                f"; crowd: {crowd.count} {crowd.kind.value} {crowd.from_s:.1f}-{crowd.to_s:.1f} s, "
                f"{self.machine.memory_mb:g} MB, {self.machine.sockets} descriptors"
            )
        return (
            f"seed {self.seed}: {self.senders} senders x {self.clients} clients + {self.idle} idle, "
            f"{self.endpoints} endpoints; {steps}; system calls: {faults}; "
            f"clock steps: {self.clock_steps_s}{cold}{answers}"
        )


# Error kinds of each group that a run may draw. The rates are small: several strike a second under load.
SOCKET_FAULTS = (
    ("accept", ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR")),
    ("connect", ("ENETUNREACH", "EHOSTUNREACH", "EADDRNOTAVAIL", "ETIMEDOUT", "ENOBUFS")),
    ("socket", ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM")),
    ("recv", ("EINTR", "ENOBUFS", "ETIMEDOUT", "EHOSTUNREACH", SHORT, SLOW)),
    ("send", ("EINTR", "ENOBUFS", "ETIMEDOUT", "EHOSTUNREACH", SHORT, SLOW)),
    ("setsockopt", ("ENOBUFS", "ENOMEM")),
    ("poll", ("EINTR", "ENOMEM", SLOW)),
    ("sendmsg", ("ENOBUFS", "ETOOMANYREFS", "EINTR")),
)
FOLDER_FAULTS = (
    ("write", ("ENOSPC", "EIO", SHORT)),
    ("read", ("EIO", "EINTR", SHORT)),
    ("open", ("EMFILE", "EIO")),
    ("rename", ("EIO",)),
    ("ftruncate", ("EIO",)),
    ("flock", ("ENOLCK",)),
)
START_FAULTS = (
    ("bind", ("EADDRNOTAVAIL", "EADDRINUSE")),
    ("listen", ("EADDRINUSE",)),
    ("socket", ("ENFILE", "ENOBUFS")),
    ("open", ("EIO", "ENFILE")),
    ("read", ("EIO",)),
    ("write", ("ENOSPC",)),
)


def draw_call_faults(random: Random, seconds: float) -> tuple[CallFault, ...]:
    """Some runs have none, so that the other faults are seen alone."""
    if random.random() < 0.35:
        return ()
    found = []
    for call, effects in SOCKET_FAULTS:
        if random.random() < 0.5:
            found.append(CallFault(call, random.choice(effects), rate=random.choice((0.002, 0.01, 0.03))))
    if random.random() < 0.4:
        call, effects = random.choice(FOLDER_FAULTS)
        begin = random.uniform(0.0, seconds / 2)
        found.append(
            CallFault(
                call,
                random.choice(effects),
                rate=random.choice((0.02, 0.3, 1.0)),
                from_s=begin,
                to_s=begin + random.uniform(0.2, 1.5),
            )
        )
    if random.random() < 0.5:
        call, effects = random.choice(START_FAULTS)
        found.append(CallFault(call, random.choice(effects), nth=random.randint(1, 4)))
    return tuple(found)


def draw_weather(random: Random, seconds: float) -> tuple[Conditions, ...]:
    """Spans of trouble, some of them right over the steps, and a calm end in which all can be delivered."""
    found, at = [Conditions(0.0)], 1.0
    while at < seconds - 1.0:
        kind = random.random()
        found.append(
            Conditions(
                at,
                slow_s=random.choice((0.005, 0.02, 0.1, 0.4)),
                refuse=random.choice((0.0, 0.0, 0.1, 0.5)),
                error=random.choice((0.0, 0.0, 0.05)),
                reset=random.choice((0.0, 0.0, 0.05)),
                hang=random.choice((0.0, 0.0, 0.1, 0.5)),
                break_pieces=random.choice((0.0, 0.0, 0.0, 0.02)),
                discovery_up=kind > 0.15,
            )
        )
        at += random.uniform(0.8, 3.0)
    return (*found, Conditions(seconds))


def draw_answer_faults(seed: int, spans: tuple[Conditions, ...]) -> tuple[Conditions, ...]:
    """Strike answers in half of the spans but the first and the last. Drawn apart from all else of a seed."""
    random = Random(f"answers {seed}")
    struck = [
        replace(
            span,
            answer_faults=tuple(random.sample(list(AnswerFault), random.choice((1, 2, 4)))),
            answer_share=random.choice((0.02, 0.1, 0.2)),
            notice_share=random.choice((0.0, 0.2)),
        )
        if random.random() < 0.5
        else span
        for span in spans[1:-1]
    ]
    return (spans[0], *struck, spans[-1])


def draw_steps(random: Random, senders: int, seconds: float) -> tuple[Step, ...]:
    """What is done to each sender: signals come in series, one on another."""
    found = []
    weights = {
        Action.UPGRADE: 6,
        Action.UPGRADE_TWICE: 3,
        Action.RESTART: 2,
        Action.KILL: 2,
        Action.RELOAD: 2,
        Action.HOLD: 2,
        Action.DRAIN: 1,
        Action.UPGRADE_IN_DRAIN: 1,
        Action.STOP_IN_UPGRADE: 1,
        Action.RELOAD_IN_UPGRADE: 1,
    }
    for sender in range(senders):
        at = random.uniform(0.8, 2.0)
        while at < seconds - 1.0:
            found.append(Step(at, sender, random.choices(list(weights), list(weights.values()))[0]))
            at += random.choice((0.3, 1.0, 2.0, 4.0)) * random.uniform(0.8, 1.2)
    return tuple(sorted(found, key=lambda step: step.at_s))


def draw_list_changes(seed: int, seconds: float) -> tuple[ListChange, ...]:
    """Changes of the list in most runs, some of them right behind one another. Drawn apart from all else."""
    random, found, at = Random(f"list {seed}"), [], 1.0
    if random.random() < 0.3:
        return ()
    while at < seconds - 1.0:
        found.append(ListChange(at, random.choice(list(ListChangeKind))))
        at += random.choice((0.05, 0.5, 1.5, 3.0)) * random.uniform(0.8, 1.2)
    return tuple(found)


CROWD_CLIENTS = (50, 200, 500)  # of all senders together
FEW_CLIENTS = 4  # of each sender, at full speed


def draw_crowd(seed: int, senders: int, seconds: float) -> CrowdPlan | None:
    """A crowd in a quarter of the runs. Drawn apart from all else of a seed."""
    random = Random(f"crowd {seed}")
    if random.random() < 0.75:
        return None
    kind, begin = random.choice(list(CrowdKind)), random.uniform(0.5, seconds / 2)
    count = FEW_CLIENTS if kind in FULL_SPEED else max(10, random.choice(CROWD_CLIENTS) // senders)
    return CrowdPlan(kind, count, begin, begin + random.uniform(2.0, seconds / 2))


def draw(seed: int, seconds: float = 12.0, senders: int | None = None) -> Plan:
    """The run of a seed."""
    random = Random(seed)
    large = random.random() < LARGE_FLEET_SHARE
    count = LARGE_FLEET if large else random.randint(1, 5)
    count = senders or count
    steps = draw_steps(random, count, seconds)
    crowd = None if large else draw_crowd(seed, count, seconds)
    if large and senders is None:  # processes are dear: one in five senders is touched
        steps = tuple(step for step in steps if step.sender % 5 == 0)
    return Plan(
        seed,
        seconds,
        count,
        2 if large else random.choice((2, 4, 8)),
        0 if large or random.random() < 0.6 else IDLE_CROWD,
        random.randint(2, 6),
        steps,
        draw_answer_faults(seed, draw_weather(random, seconds)),
        draw_call_faults(random, seconds),
        tuple(random.choice((0.0, 0.0, 3600.0, -3600.0, 7.0)) for _ in range(4))
        if random.random() < 0.4
        else (),
        crowd=crowd,
        machine=Machine(32.0, 1024) if crowd is not None else Machine(),
        list_changes=() if large else draw_list_changes(seed, seconds),  # the harness is one process
    )


COLD_FLEETS = (2, 4, 8, 12, 20, 30, 45)
COLD_ACTIONS = (Action.KILL, Action.KILL, Action.RESTART, Action.LOSE, Action.UPGRADE, Action.UPGRADE_TWICE)
UNTIL_END_S = 2.0  # beyond the slow start


def draw_cold(seed: int, senders: int | None = None) -> Plan:
    """A run of a seed beside a cold destination: its outages, and what is done to senders around them."""
    random = Random(f"cold {seed}")
    count = senders or random.choice(COLD_FLEETS)
    begin, length = random.uniform(2.0, 5.0), random.choice((3.0, 6.0, 12.0)) * random.uniform(0.8, 1.2)
    outages = [ColdOutage(begin, begin + length, random.choice(list(OutageKind)))]
    if random.random() < 0.2:
        again = outages[0].to_s + random.uniform(0.5, 4.0)
        outages.append(ColdOutage(again, again + random.uniform(2.0, 5.0), random.choice(list(OutageKind))))
    cold = ColdPlan(
        random.choice((6.0, 20.0, 60.0)),
        tuple(outages),
        load=random.choice((0.5, 0.8, 1.2)),
        tells_limit=random.random() < 0.6,
        clients=1 if count > 12 else 2,
        cold_s=random.choice((4.0, 10.0)),
        fall_s=random.choice((1.0, 2.0)),
    )
    returned = outages[-1].to_s
    steps = []
    for _ in range(random.choice((0, 1, 1, 2))):
        action = random.choice(COLD_ACTIONS)
        at = random.choice(
            (
                random.uniform(begin, returned),  # in the outage
                returned - random.uniform(0.0, 1.0),
                returned + random.uniform(0.0, cold.cold_s),  # in the slow start
                returned + cold.cold_s - random.uniform(0.0, 1.0),  # at its end
            )
        )
        share = random.choice((0.1, 0.5, 1.0)) if count <= 12 else random.choice((0.1, 0.3))
        steps += [Step(at, n, action) for n in range(count) if random.random() < share]
    return Plan(
        seed,
        returned + cold.cold_s + UNTIL_END_S,
        count,
        0 if count > 12 else 1,
        0,
        2,
        tuple(sorted(steps, key=lambda step: step.at_s)),
        (Conditions(0.0),),
        draw_call_faults(random, returned) if random.random() < 0.3 else (),
        (),
        cold,
    )


PRESSURE_S = 8.0
PRESSURE_PAUSE_S = 0.1  # together the clients stay below the listed limit


def pressure(
    kind: CrowdKind,
    count: int,
    memory_mb: float,
    steps: tuple[Step, ...] = (),
    seed: int = 1,
    seconds: float = PRESSURE_S,
) -> Plan:
    """One sender with sound endpoints, eight sound clients, and a crowd beside them."""
    return Plan(
        seed,
        seconds,
        1,
        8,
        0,
        3,
        steps,
        (Conditions(0.0),),
        (),
        (),
        crowd=CrowdPlan(kind, count, to_s=seconds) if count else None,
        machine=Machine(memory_mb, 1024),
        pause_s=PRESSURE_PAUSE_S,
    )
