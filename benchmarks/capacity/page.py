"""Writes the tables of docs/CAPACITY.md from the result files alone.

    python benchmarks/capacity/page.py            # rewrites what stands between the page's markers
    python benchmarks/capacity/page.py --check    # exit 1 if page and results differ

A table stands between `<!-- NAME -->` and `<!-- end -->`; all words around it are written by hand. A role
without a result file is "not measured". Files `tier-*.json` are the control plane's, of the same form.
"""

from __future__ import annotations

import slopes  # first: it says where the others are

import argparse
import difflib
import json
import re
import statistics
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import place

PAGE = place.ROOT / "docs" / "CAPACITY.md"
ORDINARY = 0.05  # the loss up to which the budgets have to hold
SENDERS, MACHINES, RESTARTS = 910, 9, 300
HELD, DESTINATIONS = 2_100_000, 60_000
NOT, UNCLAIMED = "not measured", "not claimed"
TIER = "the [control plane](control-plane.md) (its rows are below)"
TIER_UNMEASURED = "the [control plane](control-plane.md), not measured over a fleet"


@dataclass(frozen=True)
class Row:
    """A role of the page: its result file's name, and what it is held against.

    kind: "control"; "messages" for what works on messages themselves, by budgets that its slopes name;
    "copies" for what carries copies of them: half a core instead of 1.5%, and no bound on bytes. aged: its
    age counts against 11 s, since something is brought into force or acted on.
    """

    title: str
    name: str
    kind: str = "control"
    aged: bool = False


ROWS = (
    Row("client side and journal", "client-journal", "messages"),
    Row("decision module", "decision-module", "messages"),
    Row("list watch", "list-watch"),
    Row("membership", "membership"),
    Row("usage counts", "usage"),
    Row("findings", "findings", aged=True),
    Row("budgets", "budgets"),
    Row("custody and its repair", "custody", "copies"),
    Row("leases", "leases"),
    Row("configuration", "configuration", aged=True),
    Row("control socket", "control-socket"),
)


@dataclass(frozen=True)
class Share:
    """The largest fraction of a driver's target at which a budget holds.

    open: it holds as far as is claimed. under: it holds at none of the sizes; the part is the smallest's.
    """

    part: float
    why: str
    open: bool = False
    under: bool = False


def budget_of(row: Row, made: slopes.Slope) -> str:
    """The budget that a slope is held against on the page; none where it is told only."""
    if made.budget == "age" and not row.aged:
        return ""
    if row.kind == "copies" and made.budget in ("control core", "wire"):
        return "core" if made.budget == "control core" else ""
    return made.budget


def share_of(made: slopes.Slope, budget: str) -> Share | None:
    """By the slope, from small to large, up to the first size that is over; None without target or budget."""
    if made.target is None or not budget:
        return None
    what = f"{made.measure}, by {made.driver}" + f" ({made.note})" * bool(made.note)
    most, low, steps = slopes.BUDGETS[budget], min(1.0, made.points[0].at / made.target), 2000
    held = 0.0
    for step in range(steps + 1):
        part = low ** (1 - step / steps)
        told = slopes.predict(made, part * made.target)
        if not told.claimed:
            return Share(held, what, open=True)
        if told.value * made.scale > most:
            return Share(held, what) if held else Share(low, what, under=True)
        held = part
    return Share(1.0, what)


def shares(row: Row, role: slopes.Role) -> list[Share]:
    """All that bound a role, lowest first; 0 where no mechanism carries it."""
    if role.mechanism == "none yet":
        return [Share(0.0, "no mechanism")]
    if role.mechanism == TIER_UNMEASURED:
        return []
    found = [
        share
        for made in role.slopes
        if (made.loss or 0.0) <= ORDINARY
        if (share := share_of(made, budget_of(row, made))) is not None
    ]
    found += [Share(min(1.0, cap.most / cap.target), cap.why) for cap in role.caps]
    return sorted(found, key=lambda share: share.part)


def percent(part: float) -> str:
    """A share."""
    return "0" if part == 0 else f"{100 * part:.2g}%" if part < 0.995 else "100%"


def shown(share: Share) -> str:
    """A share; one that was bounded by what was measured is marked."""
    return "under " * share.under + percent(share.part) + " measured so far" * share.open


def quantity(value: float, unit: str) -> str:
    """A figure with its unit, in three digits."""
    if unit == "of a core":
        return core(value)
    if unit in ("bytes", "B", "B/s", "bytes/s"):
        for size, word in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
            if abs(value) >= size:
                return f"{value / size:.3g} {word}" + "/s" * unit.endswith("/s")
        return f"{value:.3g} B" + "/s" * unit.endswith("/s")
    if unit in ("CPU s", "s", "CPU s a s", "s/s"):
        rate = " a s" if unit in ("CPU s a s", "s/s") else ""
        for size, word in ((1.0, "s"), (1e-3, "ms")):
            if abs(value) >= size:
                return f"{value / size:.3g} {word}{rate}"
        return f"{value * 1e6:.3g} us{rate}"
    return f"{value:.3g}/s" if unit == "1/s" else f"{value:.3g} {unit}"


def number(value: float) -> str:
    """A driver's value."""
    return f"{value:,.0f}" if value >= 10 or value == int(value) else f"{value:.2g}"


def at_target(made: slopes.Slope, scaled: bool, unit: str | None = None) -> str:
    """A slope's figure at the target, with the factor of extrapolation beyond what was measured."""
    told = slopes.predict(made, made.target)
    if not told.claimed:
        return f"{UNCLAIMED} ({told.beyond:.0f}x)"
    text = quantity(told.value * (made.scale if scaled else 1.0), unit or made.unit)
    return text + (f" ({told.beyond:.1f}x)" if told.beyond > 1.0 else "")


def quiet(role: slopes.Role) -> list[slopes.Slope]:
    """Slopes without loss that have a target."""
    return [made for made in role.slopes if made.target is not None and not made.loss]


def worst(found: Iterable[slopes.Slope], scaled: bool, unit: str) -> str:
    """The largest of some slopes at the target; what is not claimed goes first."""
    found = list(found)
    if not found:
        return "-"

    def key(made: slopes.Slope) -> tuple[bool, float]:
        told = slopes.predict(made, made.target)
        return not told.claimed, told.value * (made.scale if scaled else 1.0)

    return at_target(max(found, key=key), scaled, unit)


def core(value: float) -> str:
    """A share of a core."""
    return f"{100 * value:.2g}%" if value < 0.995 else f"{100 * value:.0f}%"


def cpu_column(row: Row, role: slopes.Role) -> str:
    """Processor time at the target, as a share of a core."""
    found = [made for made in quiet(role) if made.budget in ("control core", "core")]
    if not found:
        return "-"
    told = [(slopes.predict(made, made.target), made.scale) for made in found]
    if any(not each.claimed for each, _ in told):
        claimed = [each.value * scale for each, scale in told if each.claimed]
        rest = max(each.beyond for each, _ in told if not each.claimed)
        return (f"{core(max(claimed))}; " if claimed else "") + f"{UNCLAIMED} ({rest:.0f}x)"
    value, scale = max(told, key=lambda one: one[0].value * one[1])
    return core(value.value * scale) + (f" ({value.beyond:.1f}x)" if value.beyond > 1.0 else "")


def measure(role: slopes.Role, *names: str) -> list[slopes.Slope]:
    """Quiet slopes by the beginning of their measure."""
    return [made for made in quiet(role) if made.measure.startswith(names)]


def load(folder: Path) -> dict[str, slopes.Role]:
    """All result files of a role, by name. Where tier files are, the control plane carries configuration.

    Of how many it carries it the age over the fleet has to say: without that slope nothing is told.
    """
    found = {
        path.stem: slopes.read(path)
        for path in sorted(folder.glob("*.json"))
        if "slopes" in json.loads(path.read_bytes())
    }
    if (tier := tiers(found)) and "configuration" in found:
        fleet = played() or any(
            made.budget == "age" and made.driver == "senders" for _, role in tier for made in role.slopes
        )
        found["configuration"] = msgspec.structs.replace(
            found["configuration"], mechanism=TIER if fleet else TIER_UNMEASURED
        )
    return found


def played() -> dict[int, dict]:
    """The runs of the control plane with real processes, by senders."""
    path = slopes.rig.RESULTS / "tier-fleet.json"
    return {int(size): run for size, run in json.loads(path.read_bytes()).items()} if path.exists() else {}


def fleet_share() -> list[Share]:
    """Of the largest fleet that was played, while there is no slope: what was in force in time there."""
    if not played():
        return []
    size, run = max(played().items())
    worst_s = max(max(run[phase]["lasts"]) for phase in ("changes", "5% loss"))
    return [
        Share(
            size / SENDERS if worst_s <= slopes.BUDGETS["age"] else 0.0,
            f"in force at the last of {size} senders after {worst_s:.2g} s at the worst, no slope yet",
            open=True,
        )
    ]


def tiers(found: dict[str, slopes.Role]) -> list[tuple[Row, slopes.Role]]:
    """The control plane's files, as rows."""
    return [
        (Row(role.role, name, aged=True), role) for name, role in found.items() if name.startswith("tier-")
    ]


def carried(row: Row, found: dict[str, slopes.Role]) -> list[Share]:
    """All that bound a role, with the control plane's own bounds where that carries it, lowest first."""
    role, bounds = found[row.name], shares(row, found[row.name])
    if role.mechanism == TIER:
        bounds += [share for other, tier in tiers(found) for share in shares(other, tier)]
        if "tier-fleet" not in found:
            bounds += fleet_share()
    return sorted(bounds, key=lambda share: share.part)


def table(heads: list[str], rows: list[list[str]]) -> list[str]:
    """A table."""
    return [
        "| " + " | ".join(heads) + " |",
        "| " + " | ".join(["---"] * len(heads)) + " |",
        *("| " + " | ".join(row) + " |" for row in rows),
    ]


def roles(found: dict[str, slopes.Role]) -> list[str]:
    """One row a role, at the target."""
    rows = []
    for row in ROWS:
        role = found.get(row.name)
        if role is None:
            rows.append([row.title, NOT, NOT] + ["-"] * 6)
            continue
        bounds = carried(row, found)
        wire = [made for made in quiet(role) if made.budget == "wire"]
        rows.append(
            [
                row.title,
                role.mechanism,
                f"**{shown(bounds[0])}**: {bounds[0].why}" if bounds else NOT,
                worst([m for m in quiet(role) if m.budget == "memory"], True, "bytes"),
                worst(measure(role, "messages sent"), False, "1/s"),
                worst(wire, True, "bytes/s"),
                cpu_column(row, role),
                worst([m for m in quiet(role) if m.budget == "age"], False, "s"),
                source(row.name),
            ]
        )
    for row, role in tiers(found):
        for where in ("sender", "control machine"):
            part = [made for made in quiet(role) if made.where == where]
            if part:
                narrow = msgspec.structs.replace(role, slopes=part)
                rows.append(
                    [
                        f"{role.role}, a {where}",
                        role.mechanism,
                        first(row, narrow),
                        worst([m for m in part if m.budget == "memory"], True, "bytes"),
                        worst(measure(narrow, "messages"), False, "1/s"),
                        worst([m for m in part if m.budget == "wire"], True, "bytes/s"),
                        cpu_column(row, narrow),
                        worst([m for m in part if m.budget == "age"], False, "s"),
                        source(row.name),
                    ]
                )
    return table(
        [
            "role",
            "carried by",
            "share of the target that holds",
            "memory",
            "messages a second",
            "bytes a second",
            "of a core",
            "age",
            "results",
        ],
        rows,
    )


def first(row: Row, role: slopes.Role) -> str:
    """The lowest share, with what bounds it."""
    bounds = shares(row, role)
    return f"**{shown(bounds[0])}**: {bounds[0].why}" if bounds else "-"


def totals(found: dict[str, slopes.Role]) -> list[str]:
    """What all control of a sender comes to, each role at its dearest driver."""
    sums, missing, open_at = {"wire": 0.0, "control core": 0.0, "memory": 0.0}, [], {}
    for row in [*ROWS, *(row for row, _ in tiers(found))]:
        role = found.get(row.name)
        if row.kind == "copies":
            continue
        if role is None:
            missing.append(row.title)
            continue
        for budget in sums if row.kind == "control" else ("control core",):
            some = [made for made in quiet(role) if budget_of(row, made) == budget and made.where == "sender"]
            claimed = [
                told.value * made.scale
                for made in some
                if (told := slopes.predict(made, made.target)).claimed
            ]
            if len(claimed) < len(some):
                open_at.setdefault(budget, []).append(row.title)
            sums[budget] += max(claimed, default=0.0)

    def rest(budget: str) -> str:
        left = [f"{UNCLAIMED}: {', '.join(open_at[budget])}"] if budget in open_at else []
        return "; ".join(left + ([f"{NOT}: {', '.join(missing)}"] if missing else [])) or "all roles"

    tier = [made for role in found.values() for made in quiet(role) if made.where == "control machine"]
    machines = "; ".join(f"{made.measure}: {at_target(made, True)}" for made in tier if made.budget) or NOT
    most = slopes.BUDGETS
    rows = [
        [
            "processor time, of a core",
            core(sums["control core"]),
            core(most["control core"]),
            rest("control core"),
        ],
        ["memory", quantity(sums["memory"], "bytes"), quantity(most["memory"], "bytes"), rest("memory")],
        [
            "bytes a second",
            quantity(sums["wire"], "bytes/s"),
            quantity(most["wire"], "bytes/s"),
            rest("wire"),
        ],
        [f"each of {MACHINES} control machines", machines, "-", "-"],
    ]
    return table(["of a sender, for control", "sum at the target", "budget", "in the sum"], rows)


def broken(found: dict[str, slopes.Role]) -> list[str]:
    """What does not reach the target, the first to break first."""
    rows = []
    for row in [*ROWS, *(row for row, _ in tiers(found))]:
        role = found.get(row.name)
        if role is None:
            continue
        if role.mechanism == TIER_UNMEASURED:
            rows.append((0.0, [row.title, NOT, NOT, "the control plane's age over a fleet", ""]))
        if role.mechanism == TIER and "tier-fleet" not in found:
            for share in fleet_share():
                holds = f"senders: {number(share.part * SENDERS)} of {SENDERS}"
                none = "no larger fleet is measured"
                rows.append((share.part, [row.title, holds, shown(share), none, "-"]))
        if role.mechanism == "none yet":
            rows.append((0.0, [row.title, "everything", "0", "no mechanism", ""]))
            continue
        lowest: dict[tuple[str, str], tuple[Share, slopes.Slope]] = {}
        for made in role.slopes:
            share = share_of(made, budget_of(row, made)) if (made.loss or 0.0) <= ORDINARY else None
            key = made.driver, made.measure
            if (
                share is not None
                and share.part < 0.995
                and (key not in lowest or share.part < lowest[key][0].part)
            ):
                lowest[key] = share, made
        for (driver, what), (share, made) in lowest.items():
            limit = slopes.BUDGETS[budget_of(row, made)]
            unit = {"memory": "bytes", "wire": "bytes/s", "age": "s", "restart": "s", "stall": "s"}.get(
                budget_of(row, made)
            )
            bound = core(limit) + " of a core" if unit is None else quantity(limit, unit)
            why = f"over {bound}" + " at the smallest size measured" * share.under
            if share.open:
                why = f"beyond {slopes.LIMIT:g}x the measured nothing is claimed"
            loss = f" ({made.note})" * bool(made.note) + (f", {made.loss:.0%} loss" if made.loss else "")
            holds = f"{driver}: {'under ' * share.under}{number(share.part * made.target)}"
            holds += f" of {number(made.target)}"
            rows.append(
                (
                    share.part,
                    [
                        row.title,
                        holds,
                        shown(share),
                        f"{what}{loss}: {why}",
                        at_target(made, True, "CPU s a s" if unit is None else unit),
                    ],
                )
            )
        for cap in role.caps:
            if (part := cap.most / cap.target) < 1.0:
                holds = f"{cap.driver}: {number(cap.most)} of {number(cap.target)}"
                rows.append((part, [row.title, holds, percent(part), cap.why, ""]))
    rows.sort(key=lambda row: row[0])
    return table(["role", "holds to", "share", "what breaks", "at the target"], [row for _, row in rows])


def failures(found: dict[str, slopes.Role]) -> list[str]:
    """What happens in each of the target's failures, as far as it was measured."""
    rows = []
    for failure in slopes.FAILURES:
        some = [
            [
                failure,
                role.role,
                one.size,
                recovered(one.recover),
                one.lost,
                one.stale,
                f"[{name}](../benchmarks/results/capacity/{name}.json)",
            ]
            for name, role in found.items()
            for one in role.failures
            if one.failure == failure
        ]
        some += BEFORE[failure](found) if failure in BEFORE else []
        some += configured(failure)
        told = {row[1] for row in some}
        left = [row.title for row in ROWS if not told & {row.title, row.name, row.title.split()[0]}]
        rows += [*some, [failure, ", ".join(left) if some else "all roles", "-", NOT, NOT, NOT, "-"]]
    return table(
        ["failure", "role", "measured at", "time to recover", "lost", "old meanwhile", "results"], rows
    )


def recovered(seconds: list[float]) -> str:
    """Median and worst of some runs."""
    if not seconds:
        return NOT
    return f"{statistics.median(seconds):.3g} s, worst {max(seconds):.3g} s of {len(seconds)}"


def source(name: str) -> str:
    """A link to a role's results."""
    return f"[{name}](../benchmarks/results/capacity/{name}.json)"


def older(name: str) -> str:
    """A link to a result of another page."""
    return f"[{name}](../benchmarks/results/{name}.md)"


def slope_at(found: dict[str, slopes.Role], name: str, driver: str, what: str, at: float) -> str | None:
    """What a quiet slope says at a size, marked where nothing is claimed."""
    for made in found[name].slopes if name in found else ():
        if made.driver == driver and made.measure == what and not made.loss:
            told = slopes.predict(made, at)
            if not told.claimed:
                return f"{UNCLAIMED} ({told.beyond:.0f}x)"
            return quantity(told.value, made.unit) + (f" ({told.beyond:.1f}x)" if told.beyond > 1.0 else "")
    return None


def one_machine(found: dict[str, slopes.Role]) -> list[list[str]]:
    """Of membership, leases and custody."""
    rows, what = [], "one machine"
    told = slope_at(found, "membership", "senders", "time until all know of a death", SENDERS)
    if told:
        rows.append(
            [
                what,
                "membership",
                f"{SENDERS} senders, simulated",
                told,
                "nothing",
                "the dead one counts as there until then",
                source("membership"),
            ]
        )
    told = slope_at(found, "leases", "senders", "time until all duties of a killed holder are held", SENDERS)
    if told:
        rows.append(
            [
                what,
                "leases",
                f"{SENDERS} senders, simulated",
                told,
                "nothing",
                "the duty rests until then",
                source("leases"),
            ]
        )
    for held in (10_000, HELD):
        told = slope_at(found, "custody", "messages held", "time of a repair", held)
        if told:
            rows.append(
                [
                    what,
                    "custody",
                    f"{held:,} held, 8 senders, simulated",
                    told,
                    "nothing while one copy lives",
                    "messages below their copies until then",
                    source("custody"),
                ]
            )
    return rows + lost_with_disks(what, 1)


def lost_with_disks(what: str, machines: int) -> list[list[str]]:
    """Of custody, from the runs with real processes: so many holders of a message lost at one moment."""
    path, rows = slopes.rig.RESULTS / "custody.json", []
    if not path.exists():
        return rows
    runs = json.loads(path.read_text(encoding="utf-8"))["losses"]
    for acks, copies in sorted({(run["acks"], run["copies"]) for run in runs}):
        some = [run for run in runs if (run["acks"], run["copies"], run["k"]) == (acks, copies, machines)]
        if not some:
            continue
        gone, of = sum(run["told as given up"] for run in some), sum(run["messages"] for run in some)
        silent = sum(run["in silence"] for run in some)
        rows.append(
            [
                what,
                "custody",
                f"8 processes, {machines} with their folders, {copies} copies, {acks} " "waited for",
                recovered([run["taken over after s"] for run in some]),
                f"{gone} of {of} told as given up, {silent} in silence",
                "-",
                older("custody"),
            ]
        )
    return rows


def rack(found: dict[str, slopes.Role]) -> list[list[str]]:
    """Of custody, two and three holders of a message at once."""
    return lost_with_disks("a rack", 2) + lost_with_disks("a rack", 3)


def configured(failure: str) -> list[list[str]]:
    """Of configuration, from the largest fleet of the control plane that went through it."""
    rows = []

    def add(phase: str, what: str, size: int, recover: str, lost: str, old: str) -> None:
        rows.append(
            [
                failure,
                "configuration",
                f"{size} senders that carry no messages, nine members, {what}",
                recover,
                lost,
                old,
                older("tier-fleet"),
            ]
        )

    def back(moment: dict) -> str:
        half, _, last = moment["in force after, s"]
        return f"in force at half after {half:.2g} s, at the last after {last:.2g} s"

    for phase, what in PHASES.get(failure, {}).items():
        some = [(size, run) for size, run in played().items() if phase in run]
        if not some:
            continue
        size, run = max(some)
        one = run[phase]
        lost = f"{one['not reached']} not reached"
        if "changes" in one:
            lost = (
                f"{one['not accepted']} of {one['changes']} changes not accepted, "
                f"{one['not reached']} not reached"
            )
            recover = "a change in force at the last after " + recovered(one["lasts"])
        else:
            recover = back(one)
        old = "-"
        if phase == "a region cut":
            held = run["held in the cut"]
            kept = ", ".join(map(str, held["at the cut off"]))
            old = (
                f"{held['senders cut off']} cut off for {one['seconds']:.0f} s held revision {kept}, "
                f"outside went on to {held['last outside']}"
            )
        add(phase, what, size, recover, lost, old)
    return rows


PHASES = {
    "one machine": {"a member killed": "one of them killed"},
    "a zone": {
        "a zone killed": "two of them and a zone's senders killed, by those that are left",
        "a zone back": "the same back",
    },
    "two regions apart for minutes": {
        "a region cut": "the smaller region cut off, by the larger one",
        "a region back": "by the smaller one, once back",
    },
    "all senders at once": {
        "all started at once": "with their folders",
        "first start of all": "with empty folders, 2,000 entries",
    },
}


def restarts(found: dict[str, slopes.Role]) -> list[list[str]]:
    """Of what each restart reads."""
    rows, what = [], "300 restarts a day"
    for held in (10_000, 300_000, HELD):
        told = slope_at(found, "client-journal", "held messages", "replay", held)
        if told:
            rows.append(
                [
                    what,
                    "client side and journal",
                    f"{held:,} held",
                    f"{told} of processor time to replay",
                    "nothing that the journal has",
                    "-",
                    source("client-journal"),
                ]
            )
    told = slope_at(found, "list-watch", "destinations", "taking a whole list", DESTINATIONS)
    if told:
        rows.append(
            [
                what,
                "list watch",
                f"{DESTINATIONS:,} endpoints",
                f"{told} of processor time for the list",
                "nothing",
                "the list kept in the configuration file until then",
                source("list-watch"),
            ]
        )
    return rows


def regions(found: dict[str, slopes.Role]) -> list[list[str]]:
    """Of budgets, from the run of eight senders cut apart."""
    path = slopes.rig.RESULTS / "shared-state.json"
    if not path.exists():
        return []
    run = json.loads(path.read_text(encoding="utf-8"))["budget"]
    cut = next(row for row in run["rows"] if row["phase"] == "halves cut apart")
    return [
        [
            "two regions apart for minutes",
            "budgets",
            f"8 senders, halves cut for {cut['s']:.0f} s",
            "none needed",
            "nothing",
            f"{cut['a second']:.1f} a second let through, at the worst " f"{cut['worst']:.0f} messages over",
            older("shared-state"),
        ]
    ]


BEFORE = {
    "one machine": one_machine,
    "a rack": rack,
    "300 restarts a day": restarts,
    "two regions apart for minutes": regions,
}


def details(found: dict[str, slopes.Role]) -> list[str]:
    """Every slope: its points, growth, the held-out size, the target."""
    lines = []
    for row in [*ROWS, *(row for row, _ in tiers(found))]:
        role = found.get(row.name)
        if role is None:
            lines += [f"### {row.title}", "", f"{NOT}.", ""]
            continue
        lines += [
            f"### {row.title}",
            "",
            f"`{role.command}`, {role.date}, commit {role.commit}, {role.machine}"
            + (f", seeds {', '.join(map(str, role.seeds))}" if role.seeds else "")
            + "."
            + "".join(f" {note[0].upper()}{note[1:]}." for note in role.notes),
            "",
        ]
        rows = []
        for made in role.slopes:
            share = share_of(made, budget_of(row, made))
            points = ", ".join(f"{number(p.at)}: {quantity(p.median, made.unit)}" for p in made.points)
            told = slopes.predict(made, made.target) if made.target else None
            scaled = told is not None and told.claimed and made.scale != 1.0
            rows.append(
                [
                    made.measure + (f" ({made.note})" if made.note else ""),
                    made.driver,
                    "-" if made.loss is None else f"{made.loss:.0%}",
                    points,
                    spread(made),
                    made.fit.growth,
                    f"{number(made.held.at)}: {quantity(made.held.median, made.unit)}, {made.miss:+.0f}%",
                    "-" if made.target is None else f"{number(made.target)}: {at_target(made, False)}",
                    f"{quantity(told.value * made.scale, per(made))}: {made.scale_why}" if scaled else "-",
                    "-" if share is None else shown(share),
                ]
            )
        lines += [
            *table(
                [
                    "measure",
                    "against",
                    "loss",
                    "medians",
                    "widest range",
                    "growth",
                    "held out, and the fit's miss",
                    "at the target",
                    "scaled",
                    "share",
                ],
                rows,
            ),
            "",
        ]
    return lines[:-1]


def per(made: slopes.Slope) -> str:
    """The unit of a slope once it is scaled."""
    return {"CPU s": "CPU s a s", "s": "CPU s a s"}.get(made.unit, made.unit)


def spread(made: slopes.Slope) -> str:
    """The widest range of a size's runs, of its median."""
    widest = max(((p.spread / p.median) if p.median else 0.0, p.runs) for p in [*made.points, made.held])
    return f"{widest[0]:.0%} of {widest[1]}" if widest[1] > 1 else "one run"


TABLES = {"roles": roles, "totals": totals, "broken": broken, "failures": failures, "details": details}


def written(text: str, found: dict[str, slopes.Role]) -> str:
    """The page with its tables as the results have them."""
    for name, make in TABLES.items():
        block = f"<!-- {name} -->\n\n" + "\n".join(make(found)) + "\n\n<!-- end -->"
        text, count = re.subn(
            rf"<!-- {name} -->.*?<!-- end -->", lambda _, block=block: block, text, flags=re.DOTALL
        )
        if count != 1:
            raise ValueError(f"the page has {count} places for {name!r}, wanted: one")
    return text


def main() -> int:
    """Write the page, or compare."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true", help="write nothing; exit 1 if it would change")
    check = parser.parse_args().check
    text = PAGE.read_text(encoding="utf-8")
    fresh = written(text, load(slopes.RESULTS))
    if not check:
        PAGE.write_text(fresh, encoding="utf-8")
    elif fresh != text:
        sys.stdout.writelines(
            difflib.unified_diff(text.splitlines(True), fresh.splitlines(True), "page", "results")
        )
    return int(check and fresh != text)


if __name__ == "__main__":
    sys.exit(main())
