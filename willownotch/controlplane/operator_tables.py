"""A member's answers as tables for people."""

from __future__ import annotations

from typing import Any

from willownotch.channel.tables import format_duration
from willownotch.columns import table

KEYS_SHOWN = 4  # of a commit


def status(found: dict[str, Any]) -> str:
    """Who writes, who is heard, who has which revision in force."""
    agreement, serving = found["agreement"], found["serving"]
    lines = [
        f"{found['name']}: revision {serving['revision']} (token {serving['token']}, digest "
        f"{serving['digest']}, {serving['entries']} entries), the writer is {found['writer'] or 'not known'}"
        + " (this member)"
        * found["writing"]
    ]
    if not agreement["voting"]:
        lines.append(agreement["why"])
    if agreement["folder_failing"]:
        lines.append("its folder cannot be written: no vote until it can")
    if agreement["behind"]:
        lines.append(f"lacks {agreement['behind']} revisions that others have")
    if found["apart_s"] is not None:
        lines.append(
            f"no majority of the voters has been heard for {format_duration(found['apart_s'])}: no change is "
            "taken here"
        )
    counts = {member["name"]: member for member in serving["members"]}
    rows = [
        [name, format_duration(heard), *_counted(counts.get(name))]
        for name, heard in sorted({found["name"]: 0.0, **found["heard"]}.items())
    ]
    lines.append(table(["MEMBER", "HEARD", "REVISION", "FOLLOWERS", "UNHEARD", "APART"], rows))
    force = [[str(revision), str(count)] for revision, count in serving["in_force"].items()]
    lines.append(table(["IN FORCE", "SENDERS"], force) if force else "no sender is known")
    if serving["missing"]:
        lines.append(f"not counted, since their members are not heard: {', '.join(serving['missing'])}")
    late, unheard = (
        [[m, f, str(r), format_duration(s)] for m, f, r, s in serving[part]]
        for part in ("laggards", "unheard_names")
    )
    nacks = [[m, f, str(r), text] for m, f, r, text in serving["nacks"]]
    for what, count, heads, named in (
        ("do not have the last one in force", serving["lagging"], ["IN FORCE", "FOR"], late),
        ("could not apply a revision", serving["nacked"], ["REFUSED", "WHY"], nacks),
        ("are unheard", serving["unheard"], ["IN FORCE", "FOR"], unheard),
    ):
        if count:
            lines += [f"{count} senders {what}", table(["MEMBER", "SENDER", *heads], named)]
    counted = [
        f"{count} {what}"
        for part in (agreement["counts"], serving["counters"], found["traffic"])
        for what, count in part.items()
    ]
    return "\n".join([*lines, "counted: " + (", ".join(counted) or "nothing")])


def _counted(member: dict[str, Any] | None) -> list[str]:
    if member is None:
        return ["-", "-", "-", "-"]
    return [
        str(member["revision"]),
        str(member["followers"]),
        str(member["unheard"]),
        format_duration(member["apart_s"]) if member["apart_s"] else "no",
    ]


def history(found: dict[str, Any]) -> str:
    """The last commits."""

    def keys(names: list[str]) -> str:
        more = f" and {len(names) - KEYS_SHOWN} more" if len(names) > KEYS_SHOWN else ""
        return ", ".join(names[:KEYS_SHOWN]) + more or "-"

    rows = [
        [str(c["revision"]), str(c["token"]), c["author"], keys(c["sets"]), keys(c["removes"]), c["id"]]
        for c in found["commits"]
    ]
    head = f"revision {found['revision']}; {found['oldest']} is the oldest that can be shown or gone back to"
    return "\n".join(
        [head, table(["REVISION", "TOKEN", "AUTHOR", "SET", "REMOVED", "CHANGE"], rows)] if rows else [head]
    )
