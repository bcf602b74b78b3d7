"""Formats the answers of the control socket as tables."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from willownotch.columns import table

OUTCOMES = ("delivered", "handed_back", "given_up", "withdrawn")


def format_duration(seconds: float | None) -> str:
    """Formats a duration in seconds with a fitting unit; "-" for None."""
    if seconds is None:
        return "-"
    for limit, unit, size in ((120, "s", 1), (7200, "min", 60), (172_800, "h", 3600)):
        if seconds < limit:
            return f"{seconds / size:.3g} {unit}"
    return f"{seconds / 86400:.3g} d"


def peers(answer: dict[str, Any]) -> str:
    """Formats what a sender knows of its peers."""
    rows = [
        [
            m["name"],
            m["address"],
            m["state"],
            format_duration(m["since_s"]),
            format_duration(m["heard_s"]),
            m["why"],
        ]
        for m in answer["members"]
    ]
    head = (
        f"{answer['name']} at {answer['address']}, health {answer['health']} (0 is well), "
        f"{sum(m['state'] in ('alive', 'suspect') for m in answer['members'])} others there"
    )
    counted = [f"{count} {what}" for part in ("traffic", "refused") for what, count in answer[part].items()]
    return "\n".join(
        [
            head,
            table(["NAME", "ADDRESS", "STATE", "FOR", "HEARD", "WHY"], rows) if rows else "",
            "datagrams: " + (", ".join(counted) or "none"),
        ]
    ).replace("\n\n", "\n")


def usage(answer: dict[str, Any]) -> str:
    """Formats what a sender knows of the fleet's usage."""
    rows = []
    for line in answer["lines"]:
        taken = line["counts"]["taken"]
        high = "unknown" if taken["high"] is None else f"{taken['high']:.0f}"
        outcomes = [str(line["counts"][what]["count"]) for what in OUTCOMES]
        rows.append(
            [
                line["tenant"] or "(others)",
                line["cls"],
                str(taken["count"]),
                str(taken["low"]),
                high,
                *outcomes,
                f"{line['short_rate']:.1f}",
                f"{line['long_rate']:.1f}",
            ]
        )
    headers = [
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
    lines = [
        f"{answer['name']}: {answer['lives']} processes and {answer['settled']} settled ones; the oldest "
        f"part is {answer['oldest'] or '-'}'s, {format_duration(answer['oldest_s'])} old"
    ]
    if answer["unheard"]:
        lines.append(f"not heard of yet, so nothing is bounded above: {', '.join(answer['unheard'])}")
    if answer["broken"]:
        lines.append(f"own counts are in memory only: {answer['broken']}")
    if answer["left_out"]:
        lines.append(f"{answer['left_out']} more lines with lower counts")
    return "\n".join([*lines[:1], table(headers, rows), *lines[1:]] if rows else lines)


def replica(answer: dict[str, Any]) -> str:
    """Formats a sender's books with their replicas, and the copies that it holds for others."""
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
        for b in answer["books"]
    ]
    copies = [
        [
            c["book"],
            c["owner"],
            str(c["term"]),
            str(c["messages"]),
            str(c["bytes"]),
            "yes" if c["sure"] else "no",
            format_duration(c["heard_s"]),
        ]
        for c in answer["copies"]
    ]
    counted = [
        f"{count} {what}" for part in ("counts", "traffic", "refused") for what, count in answer[part].items()
    ]
    return "\n".join(
        [
            f"{answer['name']}: new messages go into {answer['current'] or 'no book'}, "
            f"witness of {answer['terms']} books",
            table(
                ["BOOK", "TERM", "STAGE", "LEASE", "MESSAGES", "BELOW W", "REPLICAS:LAG", "WITNESSES"], books
            )
            if books
            else "owns no book",
            table(["HOLDS COPY OF", "OWNER", "TERM", "MESSAGES", "BYTES", "SURE", "HEARD"], copies)
            if copies
            else "holds no copies",
            "counted: " + (", ".join(counted) or "nothing"),
        ]
    )


def shared(answer: dict[str, Any]) -> str:
    """Formats a sender's budgets, the judgements of endpoints with their ages, and those that count here."""
    budgets = [
        [
            b["name"],
            f"{b['per_s']:g}",
            f"{b['part']:.1%}",
            f"{b['lent']:.1%}",
            f"{b['borrowed']:.1%}",
            f"{b['demand']:.1f}",
        ]
        for b in answer["budgets"]
    ]

    def describe(failing: bool | None) -> str:
        return "-" if failing is None else "fails" if failing else "works"

    rows = [
        [
            r["endpoint"],
            r["source"],
            describe(r["failing"]),
            "-" if r["limit"] is None else f"{r['limit']:g}",
            format_duration(r["age_s"]),
        ]
        for r in answer["rows"]
    ]
    verdicts = [f"{v['endpoint']} {describe(v['failing'])} by {v['sources']}" for v in answer["verdicts"]]
    return "\n".join(
        [
            f"{answer['name']}: owns {answer['own']:.1%} of each budget; a loan ends after "
            f"{format_duration(answer['loan_s'])}, what is found of an endpoint after "
            f"{format_duration(answer['judgement_s'])}",
            table(["BUDGET", "PER S", "PART", "LENT", "BORROWED", "DEMAND"], budgets)
            if budgets
            else "no budgets",
            table(["ENDPOINT", "SOURCE", "SAYS", "LIMIT", "AGE"], rows)
            if rows
            else "nothing said of endpoints",
            "counts here: " + (", ".join(verdicts) or "nothing"),
        ]
    )


def leases(answer: dict[str, Any]) -> str:
    """Formats who holds which duty, its token and the time left."""
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
        for d in answer["duties"]
    ]
    return "\n".join(
        [
            f"{answer['name']}: leases of {format_duration(answer['span_s'])}, granted by a majority of "
            f"{', '.join(answer['electors'])}",
            table(["DUTY", "HOLDER", "TOKEN", "LEFT", "HERE", "ACTS", "TAKEN", "REFUSED"], rows)
            if rows
            else "no duties",
        ]
    )


def follow(answer: dict[str, Any] | None) -> str:
    """Formats which member a sender follows, and the revision that it has in force."""
    if answer is None:
        return "nothing is followed yet: another process has the folder"
    lines = [
        f"{answer['name']} follows {answer['member'] or 'no member'}: revision {answer['in_force']} in "
        f"force, {answer['revision']} held (token {answer['token']}, digest {answer['digest'][:12]}), "
        f"{answer['entries']} entries; a member was heard {format_duration(answer['unheard_s'])} ago"
    ]
    if answer["refused"]:
        lines.append(f"revision {answer['refused']} was refused here: {answer['text']}")
    if answer["copying"]:
        lines.append("a copy of what differs is under way")
    counted = [f"{count} {what}" for what, count in answer["counters"].items()]
    return "\n".join([*lines, "counted: " + (", ".join(counted) or "nothing")])


def counters(answer: dict[str, Any]) -> str:
    """Formats the counters of a sender's process."""
    rows = [
        [event, reason, str(count)]
        for part in ("counters", "retries")
        for event, reasons in answer[part].items()
        for reason, count in reasons.items()
    ]
    return f"process {answer['process']}\n" + table(["EVENT", "REASON", "COUNT"], rows)


TABLES: dict[str, Callable[[dict[str, Any]], str]] = {
    "counters": counters,
    "follow": follow,
    "leases": leases,
    "peers": peers,
    "replica": replica,
    "shared": shared,
    "usage": usage,
}
