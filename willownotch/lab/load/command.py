"""`willownotch load`: a plan against a sender, and the report."""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec

from willownotch.lab.load import trace
from willownotch.lab.load.edge import Target, run
from willownotch.lab.load.plan import Plan, PlanError, draw
from willownotch.lab.load.record import report, table
from willownotch.lab.load.settings import LoadFile, LoadSettings
from willownotch.settings.reader import SettingsError, load
from willownotch.settings.types import AddressType, InvalidValueError

FINE, FAULTY, NOT_KEPT = 0, 2, 3  # exit codes; the last: the generator could not keep its own schedule


def planned(settings_file: str | None, trace_file: str | None, speed: float) -> tuple[Plan, LoadSettings]:
    """The plan to be sent; `SettingsError`, `TraceError`, `PlanError` or `OSError`."""
    settings = load(settings_file, LoadFile).load if settings_file else LoadSettings()
    if trace_file is None:
        plan = draw(settings)
    else:
        try:
            plan = trace.read(Path(trace_file).read_bytes().decode("utf-8"), trace_file)
        except UnicodeDecodeError:
            raise trace.TraceError(f"{trace_file}:1:1: is not UTF-8, wanted: text") from None
    return (plan.faster(speed) if speed != 1.0 else plan), settings


def main(
    target: str,
    settings_file: str | None,
    trace_file: str | None,
    speed: float,
    workers: int,
    as_json: bool,
    write_trace: str | None = None,
) -> int:
    """Carry the command out; its exit code."""
    try:
        host, port = AddressType().read(target)
    except InvalidValueError:
        print(
            f"willownotch: the target cannot be {target!r}, allowed: {AddressType().allowed()}",
            file=sys.stderr,
        )
        return FAULTY
    try:
        plan, settings = planned(settings_file, trace_file, speed)
    except (SettingsError, trace.TraceError, PlanError) as fault:
        print(fault, file=sys.stderr)
        return FAULTY
    except OSError as fault:
        print(
            f"{fault.filename}:1:1: cannot be read ({fault.strerror}), wanted: a readable file",
            file=sys.stderr,
        )
        return FAULTY
    if write_trace is not None:
        Path(write_trace).write_text(trace.write(plan), encoding="utf-8")
        return FINE
    record = run(
        plan,
        Target(
            host,
            port,
            settings.connections,
            round(settings.patience.total_seconds() * 1e6),
            settings.retries,
            round(settings.retry_wait.total_seconds() * 1e6),
        ),
        workers,
    )
    found = report(record, plan.rate(), settings.late_most.total_seconds() * 1000)
    print(msgspec.json.encode(found).decode() if as_json else table(found))
    return FINE if found.schedule.kept else NOT_KEPT


def export(folder: str, to: str) -> int:
    """Write what a journal says was handed in as a trace."""
    from willownotch.journal.records import read_frames
    from willownotch.net.journal import NAME

    try:
        data = (Path(folder) / NAME).read_bytes()
        plan = trace.of_journal(item for item in read_frames(data) if not isinstance(item, int))
        Path(to).write_text(trace.write(plan), encoding="utf-8")
    except OSError as fault:
        print(f"willownotch: {fault.filename}: {fault.strerror}", file=sys.stderr)
        return FAULTY
    print(f"{len(plan)} messages")
    return FINE
