"""Answers as tables for people."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from willownotch.columns import table

ENDS = ("delivered", "handed_back", "given_up", "withdrawn")


def format_duration(seconds: float | None) -> str:
    """A time that has passed."""
    if seconds is None:
        return "-"
    for most, unit, size in ((120, "s", 1), (7200, "min", 60), (172_800, "h", 3600)):
        if seconds < most:
            return f"{seconds / size:.3g} {unit}"
    return f"{seconds / 86400:.3g} d"


def peers(found: dict[str, Any]) -> str:
    """What a sender knows of its peers."""
    rows = [
        [
            m["name"],
            m["address"],
            m["state"],
            format_duration(m["since_s"]),
            format_duration(m["heard_s"]),
            m["why"],
        ]
        for m in found["members"]
    ]
    head = (
        f"{found['name']} at {found['address']}, health {found['health']} (0 is well), "
        f"{sum(m['state'] in ('alive', 'suspect') for m in found['members'])} others there"
    )
    counted = [f"{count} {what}" for part in ("traffic", "refused") for what, count in found[part].items()]
    return "\n".join(
        [
            head,
            table(["NAME", "ADDRESS", "STATE", "FOR", "HEARD", "WHY"], rows) if rows else "",
            "datagrams: " + (", ".join(counted) or "none"),
        ]
    ).replace("\n\n", "\n")


def usage(found: dict[str, Any]) -> str:
    """What a sender knows of the fleet's usage."""
    rows = []
    for line in found["lines"]:
        taken = line["counts"]["taken"]
        high = "unknown" if taken["high"] is None else f"{taken['high']:.0f}"
        ends = [str(line["counts"][what]["count"]) for what in ENDS]
        rows.append(
            [
                line["tenant"] or "(others)",
                line["cls"],
                str(taken["count"]),
                str(taken["low"]),
                high,
                *ends,
                f"{line['short_rate']:.1f}",
                f"{line['long_rate']:.1f}",
            ]
        )
    heads = [
        "TENANT",
        "CLASS",
        "TAKEN",
        "AT LEAST",
        "AT MOST",
        "DELIVERED",
        "BACK",
        "GIVEN UP",
        "WITHDRAWN",
        "PER S",
        "PER S, LONG",
    ]
    told = [
        f"{found['name']}: {found['lives']} processes and {found['settled']} settled ones; the oldest "
        f"part is {found['oldest'] or '-'}'s, {format_duration(found['oldest_s'])} old"
    ]
    if found["unheard"]:
        told.append(f"not heard of yet, so nothing is bounded above: {', '.join(found['unheard'])}")
    if found["broken"]:
        told.append(f"own counts are in memory only: {found['broken']}")
    if found["left_out"]:
        told.append(f"{found['left_out']} more lines with lower counts")
    return "\n".join([*told[:1], table(heads, rows), *told[1:]] if rows else told)


def replica(found: dict[str, Any]) -> str:
    """What a sender holds, with whom, and for whom."""
    books = [
        [
            b["book"],
            str(b["term"]),
            b["stage"],
            format_duration(b["lease_s"]),
            str(b["messages"]),
            str(b["below"]),
            " ".join(f"{r['name']}:{'?' if r['lag'] is None else r['lag']}" for r in b["replicas"]) or "-",
            " ".join(b["witnesses"]),
        ]
        for b in found["books"]
    ]
    held = [
        [
            c["book"],
            c["owner"],
            str(c["term"]),
            str(c["messages"]),
            str(c["bytes"]),
            "yes" if c["sure"] else "no",
            format_duration(c["heard_s"]),
        ]
        for c in found["copies"]
    ]
    counted = [
        f"{count} {what}" for part in ("counts", "traffic", "refused") for what, count in found[part].items()
    ]
    return "\n".join(
        [
            f"{found['name']}: new messages go into {found['current'] or 'no book'}, "
            f"witness of {found['terms']} books",
            table(
                ["BOOK", "TERM", "STAGE", "LEASE", "MESSAGES", "BELOW W", "REPLICAS:LAG", "WITNESSES"], books
            )
            if books
            else "owns no book",
            table(["HOLDS COPY OF", "OWNER", "TERM", "MESSAGES", "BYTES", "SURE", "HEARD"], held)
            if held
            else "holds no copies",
            "counted: " + (", ".join(counted) or "nothing"),
        ]
    )


def shared(found: dict[str, Any]) -> str:
    """What a sender shares with others, how old it is, and what counts of it."""
    budgets = [
        [
            b["name"],
            f"{b['per_s']:g}",
            f"{b['part']:.1%}",
            f"{b['lent']:.1%}",
            f"{b['borrowed']:.1%}",
            f"{b['demand']:.1f}",
        ]
        for b in found["budgets"]
    ]

    def word(failing: bool | None) -> str:
        return "-" if failing is None else "fails" if failing else "works"

    rows = [
        [
            r["endpoint"],
            r["source"],
            word(r["failing"]),
            "-" if r["limit"] is None else f"{r['limit']:g}",
            format_duration(r["age_s"]),
        ]
        for r in found["rows"]
    ]
    verdicts = [f"{v['endpoint']} {word(v['failing'])} by {v['sources']}" for v in found["verdicts"]]
    return "\n".join(
        [
            f"{found['name']}: owns {found['own']:.1%} of each budget; a loan ends after "
            f"{format_duration(found['loan_s'])}, what is found of an endpoint after "
            f"{format_duration(found['judgement_s'])}",
            table(["BUDGET", "PER S", "PART", "LENT", "BORROWED", "DEMAND"], budgets)
            if budgets
            else "no budgets",
            table(["ENDPOINT", "SOURCE", "SAYS", "LIMIT", "AGE"], rows)
            if rows
            else "nothing said of endpoints",
            "counts here: " + (", ".join(verdicts) or "nothing"),
        ]
    )


def leases(found: dict[str, Any]) -> str:
    """Who holds which duty, its token and the time left."""
    rows = [
        [
            d["duty"],
            d["holder"] or "nobody",
            str(d["token"]),
            format_duration(d["left_s"]),
            d["here"],
            str(d["acts"]),
            str(d["taken"]),
            str(d["refused"]),
        ]
        for d in found["duties"]
    ]
    return "\n".join(
        [
            f"{found['name']}: leases of {format_duration(found['span_s'])}, granted by a majority of "
            f"{', '.join(found['electors'])}",
            table(["DUTY", "HOLDER", "TOKEN", "LEFT", "HERE", "ACTS", "TAKEN", "REFUSED"], rows)
            if rows
            else "no duties",
        ]
    )


def follow(found: dict[str, Any] | None) -> str:
    """What a sender follows, and what it has in force."""
    if found is None:
        return "nothing is followed yet: another process has the folder"
    told = [
        f"{found['name']} follows {found['member'] or 'no member'}: revision {found['in_force']} in "
        f"force, {found['revision']} held (token {found['token']}, digest {found['digest'][:12]}), "
        f"{found['entries']} entries; a member was heard {format_duration(found['unheard_s'])} ago"
    ]
    if found["refused"]:
        told.append(f"revision {found['refused']} was refused here: {found['text']}")
    if found["copying"]:
        told.append("a copy of what differs is under way")
    counted = [f"{count} {what}" for what, count in found["counters"].items()]
    return "\n".join([*told, "counted: " + (", ".join(counted) or "nothing")])


def counters(found: dict[str, Any]) -> str:
    """What a sender has counted since it began."""
    rows = [
        [event, reason, str(count)]
        for part in ("counters", "retries")
        for event, reasons in found[part].items()
        for reason, count in reasons.items()
    ]
    return f"process {found['process']}\n" + table(["EVENT", "REASON", "COUNT"], rows)


TABLES: dict[str, Callable[[dict[str, Any]], str]] = {
    "counters": counters,
    "follow": follow,
    "leases": leases,
    "peers": peers,
    "replica": replica,
    "shared": shared,
    "usage": usage,
}
