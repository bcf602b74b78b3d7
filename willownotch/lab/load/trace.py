"""Recorded traces: a line a message, in the order of time.

    #willownotch-trace 1
    # offset_us class destination tenant key size time_ms
    0 slot-status 7 erongo - 512 28000
    1250 fee-payment 3 kuiseb acct%2F9 180 20000

Fields are parted by blanks; tenant and key are percent-encoded, `-` stands for none. Offsets are
microseconds from the trace's start and never go back. A line that begins with `#` is a remark. All mistakes
are told, none is passed over: half a trace is another trace.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from urllib.parse import quote, unquote

import numpy as np

from willownotch.lab.load.plan import NO_KEY, Plan

FIRST = "#willownotch-trace 1"
FIELDS = ("offset_us", "class", "destination", "tenant", "key", "size", "time_ms")
WHOLE = {"offset_us": 10**15, "destination": 10**12, "size": 64 * 1024, "time_ms": 10**9}  # and the most
MISTAKES_MOST = 20


class TraceError(ValueError):
    """All mistakes of a trace, a line each."""


def read(text: str, file: str = "trace") -> Plan:
    """A trace as a plan, or `TraceError`."""
    mistakes: list[str] = []
    rows: list[tuple] = []
    lines = text.splitlines()
    if not lines or lines[0].strip() != FIRST:
        raise TraceError(f"{file}:1:1: no trace of this kind, wanted: {FIRST!r} in the first line")
    last = 0
    for number, line in enumerate(lines[1:], 2):
        if not line.strip() or line.startswith("#"):
            continue
        found = list(re.finditer(r"\S+", line))
        if len(found) != len(FIELDS):
            mistakes.append(
                f"{file}:{number}:{found[-1].start() + 1}: {len(found)} fields, wanted: "
                f"{len(FIELDS)} ({' '.join(FIELDS)})"
            )
            continue
        row, sound = {}, True
        for name, part in zip(FIELDS, found, strict=True):
            row[name] = part[0]
            if name in WHOLE:
                if not re.fullmatch(r"[0-9]{1,16}", part[0]) or int(part[0]) > WHOLE[name]:
                    mistakes.append(
                        f"{file}:{number}:{part.start() + 1}: {name} cannot be {part[0]!r}, "
                        f"allowed: a whole number from 0 to {WHOLE[name]}"
                    )
                    sound = False
                else:
                    row[name] = int(part[0])
        if sound and row["offset_us"] < last:
            mistakes.append(
                f"{file}:{number}:{found[0].start() + 1}: offset_us goes back from {last}, "
                "allowed: times in order"
            )
        elif sound:
            last = row["offset_us"]
            rows.append(tuple(row[name] for name in FIELDS))
    if mistakes:
        if (more := len(mistakes) - MISTAKES_MOST) > 0:
            mistakes[MISTAKES_MOST:] = [f"{file}: {more} more mistakes"]
        raise TraceError("\n".join(mistakes))
    return of_rows(rows)


def _quoted(name: str) -> str:
    """A tenant or a key as a field; one that is named as none is written is told from it."""
    return {"": "-", "-": "%2D"}.get(name) or quote(name, safe="")


def of_rows(rows: list[tuple]) -> Plan:
    """A plan of (offset_us, class, destination, tenant, key, size, time_ms); `-` for no tenant or key, both
    percent-encoded."""
    columns = [list(column) for column in zip(*rows, strict=True)] or [[] for _ in FIELDS]
    at, cls, dest, tenant, key, size, time_ms = columns
    classes, tenants = tuple(dict.fromkeys(cls)), tuple(dict.fromkeys(tenant))
    keys = tuple(dict.fromkeys(k for k in key if k != "-"))
    numbers = {name: n for n, name in enumerate(keys)} | {"-": NO_KEY}
    return Plan(
        np.array(at, dtype=np.int64),
        _places(cls, classes),
        np.array(dest, dtype=np.int64),
        _places(tenant, tenants),
        np.array([numbers[k] for k in key], dtype=np.int64),
        np.array(size, dtype=np.int32),
        np.array(time_ms, dtype=np.int64),
        classes,
        tuple("" if t == "-" else unquote(t) for t in tenants),
        tuple(unquote(k) for k in keys),
    )


def _places(values: list[str], names: tuple[str, ...]) -> np.ndarray:
    numbers = {name: n for n, name in enumerate(names)}
    return np.array([numbers[value] for value in values], dtype=np.int32)


def write(plan: Plan) -> str:
    """A plan as a trace."""
    lines = [FIRST, "# " + " ".join(FIELDS)]
    for n in range(len(plan)):
        key = plan.key_name(int(plan.key[n]))
        lines.append(
            " ".join(
                [
                    str(plan.at_us[n]),
                    plan.classes[plan.cls[n]],
                    str(plan.dest[n]),
                    _quoted(plan.tenants[plan.tenant[n]]),
                    _quoted(key or ""),
                    str(plan.size[n]),
                    str(plan.time_ms[n]),
                ]
            )
        )
    return "\n".join(lines) + "\n"


def of_journal(records: Iterable) -> Plan:
    """What a journal's records say was handed in, in the order of time. Messages whose record has no time of
    hand-in, as earlier versions wrote them, are left out."""
    from willownotch.journal.records import AcceptedMessage

    taken = sorted(
        (r for r in records if isinstance(r, AcceptedMessage) and r.at is not None), key=lambda r: r.at
    )
    rows = []
    for record in taken:
        rows.append(
            (
                round((record.at - taken[0].at).total_seconds() * 1e6),
                record.message_class,
                record.destination,
                _quoted(record.tenant),
                _quoted(record.key or ""),
                record.body_size(),
                max(1, round((record.ends_at - record.at).total_seconds() * 1000)),
            )
        )
    return of_rows(rows)
