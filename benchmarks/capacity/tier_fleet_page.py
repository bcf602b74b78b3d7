"""The results of `tier_fleet`: its slopes, its page, and the ways that the tier replaces beside it."""

from __future__ import annotations

import slopes  # first: it says where the others are

import json

from plane import PLACES

ENTRIES = 2000
CHANGE_S = 5.4  # between two changes: ten times the mean of 1,600 a day
CHANGES_A_DAY = 1600
SIZES = (3, 10, 30, 91, 300, 910)
TARGET, TARGET_S = 910, 11.0
HEADERS = 28  # bytes of UDP and IP in each datagram
AFTER = "in force after, s"
PHASES = (
    "quiet",
    "changes",
    "5% loss",
    "a member killed",
    "a zone killed",
    "a region cut",
    "beside a full sender, quiet",
    "beside a full sender, changes",
)
MOMENTS = ("first start of all", "a zone back", "a region back", "all started at once")


def wire(phase, of="sender"):
    """Bytes a second on the wire, UDP and IP counted."""
    datagrams = phase["sender datagrams"] * HEADERS
    return (
        phase["sender wire"] + datagrams
        if of == "sender"
        else ((phase["sender wire"] + datagrams) * phase["senders"] / len(PLACES))
    )


def fit(played):
    """The slopes over the sizes, the largest held out."""
    sizes = sorted(map(int, played))

    def made(measure, unit, what, **more):
        return slopes.slope(
            "tier-fleet",
            "senders",
            measure,
            unit,
            {size: what(played[str(size)]) for size in sizes},
            target=TARGET,
            **more,
        )

    found = []
    for phase, loss, note in (
        ("changes", 0.0, "a change each 5.4 s"),
        ("5% loss", 0.05, "a change each 5.4 s, 5% loss"),
    ):
        found += [
            made(
                "seconds until in force at the last one",
                "s",
                lambda f, p=phase: f[p]["lasts"],
                loss=loss,
                budget="age",
                note=note,
            ),
            made(
                "bytes a second",
                "bytes/s",
                lambda f, p=phase: [wire(f[p])],
                loss=loss,
                budget="wire",
                note=note,
            ),
            made(
                "processor time",
                "of a core",
                lambda f, p=phase: [f[p]["sender cpu"]],
                loss=loss,
                budget="control core",
                note=note,
            ),
            made(
                "processor time of a member",
                "of a core",
                lambda f, p=phase: [f[p]["member cpu worst"]],
                loss=loss,
                budget="core",
                where="control machine",
                note=f"the busiest of nine, {note}",
            ),
            made(
                "bytes a second of a member and its followers",
                "bytes/s",
                lambda f, p=phase: [wire(f[p], "member")],
                loss=loss,
                where="control machine",
                note=f"mean of nine, {note}",
            ),
        ]
    found += [
        made(
            "bytes a second, quiet", "bytes/s", lambda f: [wire(f["quiet"])], budget="wire", note="no change"
        ),
        made(
            "messages a second",
            "1/s",
            lambda f: [f["changes"]["sender datagrams"]],
            note="datagrams both ways, a change each 5.4 s",
        ),
        made(
            "processor time, quiet",
            "of a core",
            lambda f: [f["quiet"]["sender cpu"]],
            budget="control core",
            note="no change",
        ),
        made(
            "memory",
            "bytes",
            lambda f: [f["changes"]["sender kb"] * 1024],
            budget="memory",
            note=f"beyond an interpreter, a document of {ENTRIES:,} entries",
        ),
        made(
            "memory of a member",
            "bytes",
            lambda f: [f["changes"]["member kb worst"] * 1024],
            where="control machine",
            note="its whole process, the largest of nine",
        ),
        made(
            "seconds until all have a first copy",
            "s",
            lambda f: [f["first start of all"][AFTER][2]],
            note=f"all start at once with empty folders, {ENTRIES:,} entries",
        ),
    ]
    return found


def page(played):
    """The figures for people."""
    lines = [
        f"Nine member processes in five zones of two regions (6 and 3), {ENTRIES:,} entries of some 200 "
        f"bytes; a change each {CHANGE_S} s where there are changes. Time is from handing a change in until "
        f"it is in force at the last sender that can be reached (target: {TARGET_S:g} s). Bytes are both "
        "ways, UDP and IP counted. Processor time is that of the hollow senders' processes divided by the "
        "senders in them; memory is theirs beyond that of the interpreters, divided likewise.",
        "",
        "| senders | phase | changes | not accepted | not reached | in force at the last, s: median | worst "
        "| at each: p99 | bytes/s a sender | of a core a sender | of a core a member: median | worst "
        "| MB a member |",
        "| --- " * 13 + "|",
    ]
    for size, found in played.items():
        lines += [row(size, name, found[name]) for name in PHASES if name in found]
    lines += [
        "",
        "| senders | moment | s until in force: at half | p99 | at the last | not reached |",
        "| --- " * 6 + "|",
    ]
    for size, found in played.items():
        lines += [
            f"| {size} | {name} | {cells(found[name][AFTER])} | {found[name]['not reached']} |"
            for name in MOMENTS
            if name in found
        ]
    lines += [
        "",
        "| senders | MB a sender | last revision | have it | the tier says that so many have it "
        "| went back | commit | load of the machine |",
        "| --- " * 8 + "|",
    ]
    for size, found in played.items():
        told = found["told"]
        lines.append(
            f"| {size} | {found['changes']['sender kb'] / 1024:.2f} | {told['last']} | "
            f"{told['have it']} | {told['said to have it']} | {found['went back']} | "
            f"{found['commit']} | {found['load']:.1f} |"
        )
    for size, found in played.items():
        if (held := found.get("held in the cut")) is not None:
            span = found["a region cut"]["seconds"]
            lines += [
                "",
                f"{size} senders, region cut for {span:.0f} s: {held['senders cut off']} cut off "
                f"went on with revision {', '.join(map(str, held['at the cut off']))} (the last before "
                f"the cut: {held['last before']}), outside it went up to {held['last outside']}.",
            ]
        if (full := found.get("a full sender")) is not None:
            told = [
                f"{what}: {full[what]['follows, cpu']:.3%} and {full[what]['plain, cpu']:.3%} of a core, "
                f"{full[what]['wire']:.0f} bytes/s"
                for what in ("quiet", "changes")
            ]
            lines += [
                "",
                f"Beside {size} senders, a whole sender process that follows and one that does "
                f"not, neither with messages: {'; '.join(told)}; {full['follows, kb'] / 1024:.0f} and "
                f"{full['plain, kb'] / 1024:.0f} MB.",
            ]
    return lines + beside(played)


def row(size, name, phase):
    """A phase in the table."""
    last, each = (phase[f"in force at {who}, s"] for who in ("the last", "each"))
    times = f"{last[0]:.2f} | {last[2]:.2f} | {each[1]:.2f}" if last else "- | - | -"
    return (
        f"| {size} | {name} | {phase['changes']} | {phase['not accepted']} | {phase['not reached']} | "
        f"{times} | {wire(phase):.0f} | {phase['sender cpu']:.3%} | {phase['member cpu']:.2%} | "
        f"{phase['member cpu worst']:.2%} | {phase['member kb worst'] / 1024:.0f} |"
    )


def cells(values):
    """Median, 99th percentile, worst."""
    return " | ".join("-" if values is None else f"{one:.1f}" for one in values or (None,) * 3)


def beside(played):
    """The ways that the tier replaces, at the same sizes."""
    try:
        rows = json.loads((slopes.RESULTS / "config-baselines.json").read_text(encoding="utf-8"))["rows"]
    except OSError:
        return ["", "The ways that it replaces: not run."]
    lines = [
        "",
        "## Beside the ways that it replaces",
        "",
        "Those in simulated time, in runs of their own (`config_baselines.py`), where each change sends "
        "its document whole; the tier from above, where a change is one entry of some 200 bytes. Bytes "
        "are of all that is sent for a sender, the tier's both ways.",
        "",
        "| senders | way | document, bytes | loss | s until the last: median | worst | bytes/s a "
        "sender at rest | bytes a sender for a change | bytes/s at 1,600 changes a day |",
        "| --- " * 9 + "|",
    ]
    for size, found in played.items():
        some = [each for each in rows if each["senders"] == int(size)]
        lines += [
            f"| {size} | {each['way']} | {each['document bytes']:.0f} | {each['loss']:g} | "
            f"{each['median s']:.2f} | {each['worst s']:.2f} | "
            f"{each['sent a sender and second at rest']:.1f} | "
            f"{each['sent a sender for the change']:.0f} | "
            f"{each['bytes a sender and second']:.1f} |"
            for each in some
        ]
        for name, loss in (("changes", 0), ("5% loss", 0.05)) if some else ():
            rest, last = wire(found["quiet"]), found[name]["in force at the last, s"]
            change = (wire(found[name]) - rest) * CHANGE_S
            lines.append(
                f"| {size} | tier | {ENTRIES} entries | {loss:g} | {last[0]:.2f} | {last[2]:.2f} | "
                f"{rest:.1f} | {change:.0f} | {rest + change * CHANGES_A_DAY / 86400:.1f} |"
            )
    return lines


NOTES = [
    "hollow senders: the real follower, seal and store on sockets of their own, ten processes at most; left "
    "out are the decision module and its `retune`, clients, calls, journal, and the waiting for a disk (one "
    "disk would have had all their folders)",
    "all on one machine with loopback's delay, beside other work (the load is told): times are those of this "
    "machine, processor times are each process's own",
    f"60,000 entries for each of {TARGET} senders do not fit here: the document has {ENTRIES:,}; what a "
    "document costs by its entries is in tier-sender",
    "loss is made in the senders' sockets, both ways, from a seed",
]
