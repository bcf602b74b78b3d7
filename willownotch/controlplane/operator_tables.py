"""Formats a member's replies as tables for operators."""

from __future__ import annotations

from typing import Any

from willownotch.channel.tables import format_duration
from willownotch.columns import table

MAX_KEYS_SHOWN = 4  # of a commit


def status(reply: dict[str, Any]) -> str:
    """The writer, the members that are heard, and the revisions in force at the followers."""
    agreement, serving = reply["agreement"], reply["serving"]
    lines = [
        f"{reply['name']}: revision {serving['revision']} (token {serving['token']}, digest "
        f"{serving['digest']}, {serving['entries']} entries), the writer is {reply['writer'] or 'not known'}"
        + " (this member)"
        * reply["writing"]
    ]
    if not agreement["voting"]:
        lines.append(agreement["why"])
    if agreement["folder_failing"]:
        lines.append("its folder cannot be written: no vote until it can")
    if agreement["behind"]:
        lines.append(f"lacks {agreement['behind']} revisions that others have")
    if reply["apart_s"] is not None:
        lines.append(
            f"no majority of the voters has been heard for {format_duration(reply['apart_s'])}: no change is "
            "accepted here"
        )
    counts = {member["name"]: member for member in serving["members"]}
    rows = [
        [name, format_duration(heard), *_count_cells(counts.get(name))]
        for name, heard in sorted({reply["name"]: 0.0, **reply["heard"]}.items())
    ]
    lines.append(table(["MEMBER", "HEARD", "REVISION", "FOLLOWERS", "UNHEARD", "APART"], rows))
    in_force = [[str(revision), str(count)] for revision, count in serving["in_force"].items()]
    lines.append(table(["IN FORCE", "SENDERS"], in_force) if in_force else "no sender is known")
    if serving["missing"]:
        lines.append(f"not counted, since their members are not heard: {', '.join(serving['missing'])}")
    late, unheard = (
        [[m, f, str(r), format_duration(s)] for m, f, r, s in serving[part]]
        for part in ("laggards", "unheard_names")
    )
    nacks = [[m, f, str(r), text] for m, f, r, text in serving["nacks"]]
    for what, count, headings, named_rows in (
        ("do not have the last one in force", serving["lagging"], ["IN FORCE", "FOR"], late),
        ("could not apply a revision", serving["nacked"], ["REFUSED", "WHY"], nacks),
        ("are unheard", serving["unheard"], ["IN FORCE", "FOR"], unheard),
    ):
        if count:
            lines += [f"{count} senders {what}", table(["MEMBER", "SENDER", *headings], named_rows)]
    counted = [
        f"{count} {what}"
        for part in (agreement["counts"], serving["counters"], reply["traffic"])
        for what, count in part.items()
    ]
    return "\n".join([*lines, "counted: " + (", ".join(counted) or "nothing")])


def _count_cells(member: dict[str, Any] | None) -> list[str]:
    if member is None:
        return ["-", "-", "-", "-"]
    return [
        str(member["revision"]),
        str(member["followers"]),
        str(member["unheard"]),
        format_duration(member["apart_s"]) if member["apart_s"] else "no",
    ]


def history(reply: dict[str, Any]) -> str:
    """The last commits, latest first."""

    def key_list(names: list[str]) -> str:
        more = f" and {len(names) - MAX_KEYS_SHOWN} more" if len(names) > MAX_KEYS_SHOWN else ""
        return ", ".join(names[:MAX_KEYS_SHOWN]) + more or "-"

    rows = [
        [
            str(c["revision"]),
            str(c["token"]),
            c["author"],
            key_list(c["sets"]),
            key_list(c["removes"]),
            c["id"],
        ]
        for c in reply["commits"]
    ]
    heading = (
        f"revision {reply['revision']}; {reply['oldest']} is the oldest that can be shown or rolled back to"
    )
    return "\n".join(
        [heading, table(["REVISION", "TOKEN", "AUTHOR", "SET", "REMOVED", "CHANGE"], rows)]
        if rows
        else [heading]
    )
