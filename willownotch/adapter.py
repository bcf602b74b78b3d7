"""Connects the simulator's wire format to the decision module, for many senders in one process.

Run as `python -m willownotch.adapter`: one batch of events per line on standard input, one reply per line on
standard output. Malformed input is reported in one line on standard error and skipped.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from math import inf
from typing import Any, TextIO

from willownotch import interface as api
from willownotch.control import Controller

OUTCOMES = {
    "GOOD": api.Outcome.DELIVERED,
    "BAD": api.Outcome.ERROR,
    "FULL": api.Outcome.REJECTED,
    "LATE": api.Outcome.TIMED_OUT,
    "NOCONN": api.Outcome.UNREACHABLE,
    "RST": api.Outcome.BROKEN,
    "CXL": api.Outcome.CANCELLED,
    "NOP": api.Outcome.NOT_SENT,
}
READINESS = {
    "SERVING": api.Readiness.SERVING,
    "DRAINING": api.Readiness.DRAINING,
    "DELETED": api.Readiness.GONE,
}
MIN_LENGTHS = {  # fewest values of an event, its name included; trailing ones may be absent
    "born": 4,
    "list": 3,
    "members": 5,
    "req": 10,
    "gone": 3,
    "bell": 3,
    "probeDone": 5,
    "stop": 2,
    "first": 6,
    "inbox": 4,
    "done": 7,
}


class MalformedError(ValueError):
    """The input does not follow the wire format."""


def look_up(name: str, table: dict[str, Any], value: Any) -> Any:
    """The meaning of a wire value; raises `MalformedError` if it is unknown."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise MalformedError(f"unknown {name} {value!r}") from None


def read_class(entry: dict[str, Any]) -> api.MessageClass:
    """Read a message class of the settings."""
    return api.MessageClass(
        name=str(entry["name"]),
        worth=float(entry["credit"]),
        wanted_s=float(entry["promiseS"]),
        deadline_s=float(entry["hardLimitS"]),
        late_share=float(entry.get("lateShare") or 0.0),
        idempotency=api.Idempotency(entry["idempotency"]),
        dedup_scope=api.DedupScope(entry.get("group") or "all"),
        dedup_window_s=float(entry.get("memorySpanS") or 0.0),
        in_order=bool(entry.get("oneAtATime")),
        cost_hint_factor=float(entry.get("aimStretch") or 0.0),
    )


def read_settings(conf: dict[str, Any]) -> api.Settings:
    """Read the settings of an instance; keys that are not named here are ignored."""
    family, limits = conf["familyInfo"], conf["policyLimits"]
    rules, costs = conf["rules"], conf.get("costs") or {}
    batches, separate = family.get("kindBatch") or [], family.get("separateRoutes") or []
    kinds = tuple(
        api.DestinationKind(
            str(name), int(batches[n]) if n < len(batches) else 1, bool(n < len(separate) and separate[n])
        )
        for n, name in enumerate(conf["models"])
    )
    return api.Settings(
        classes=tuple(read_class(entry) for entry in conf["services"]),
        kinds=kinds,
        slots=int(family["slots"]),
        holding_room=int(limits["maxOpen"]),
        tenants=tuple(
            api.Tenant(str(t["name"]), float(t.get("quotaPerS") or 0.0)) for t in conf.get("orgs") or []
        ),
        senders=int(conf["peersTotal"]),
        max_attempts=int(limits["maxAttempts"]),
        decay=api.Decay(family.get("decay") or "even"),
        over_share_worth=float(conf.get("overShareWorth", 1.0)),
        zone_fees=tuple(float(fee) for fee in family.get("feeByZone") or []),
        refusal_price=float(family.get("refusalCost") or 0.0),
        waste_price=float(costs.get("waste") or 0.0),
        handshake_price=float(costs.get("handshake") or 0.0),
        max_retry_after_s=float(limits.get("maxRetryAfterS") or 0.0) if limits.get("retryAfter") else 0.0,
        keepalive_s=float(limits.get("keepaliveS") or inf),
        may_cancel=bool(limits.get("mayCancel")),
        may_probe=bool(limits.get("mayProbe")),
        may_tell=bool(limits.get("mayTell")),
        second_copies=bool(limits.get("secondCopies")),
        must_subscribe=conf.get("discovery") == "subscribe",
        clients_mark_retries=bool((conf.get("callers") or {}).get("marksRetry")),
        listed_rates=conf.get("weightKind") in ("nominal", "rough"),
        rules=api.Rules(
            answer_grace_s=float(rules.get("graceToAnswerS") or 0.0),
            cold_share=float(rules["coldShare"]),
            cold_s=float(rules["coldS"]),
            fall_multiple=float(rules["fallMultiple"]),
            fall_s=float(rules["fallS"]),
            key_quiet_s=float(rules.get("keyQuietS") or 0.0),
            ask_within_s=float(rules.get("askWithinS") or 10.0),
        ),
    )


def read_entry(row: list[Any]) -> api.Endpoint:
    """Read one row of an endpoint list."""
    return api.Endpoint(
        kind=int(row[0] or 0),
        number=int(row[2]),
        zone=int(row[3] or 0),
        destination=int(row[4]),
        readiness=look_up("readiness", READINESS, row[5]),
        rate=float(row[6] or 0.0) if len(row) > 6 else 0.0,
    )


def read_load_report(usage: Any) -> tuple[float | None, float | None]:
    """The load report of an answer: the unused share of the limit, and the limit in calls per second."""
    named = usage if isinstance(usage, dict) else dict(usage or [])
    left, limit = named.get("x0"), named.get("x1")
    return (None if left is None else float(left)), (None if limit is None else float(limit))


def read_message(e: list[Any]) -> api.Message:
    """Read a new message."""
    flags = int(e[7] or 0)
    return api.Message(
        ref=str(e[2]),
        tenant=int(e[3] or 0),
        time_left_s=float(e[4]),
        key=e[5],
        cost_hint_s=float(e[6] or 0.0) if flags & 1 else 0.0,
        is_retry=bool(flags & 18),
        destination=int(e[8]),
        message_class=int(e[9] or 0),
    )


def read_attempt_ended(e: list[Any]) -> api.AttemptEnded:
    """Read the outcome of an attempt."""
    outcome = look_up("outcome", OUTCOMES, e[5])
    note = int(e[8] or 0) if len(e) > 8 else 0
    left, limit = read_load_report(e[9] if len(e) > 9 else None)
    return api.AttemptEnded(
        ref=str(e[2]),
        attempt=int(e[3]),
        endpoint=int(e[4]),
        outcome=outcome,
        took_s=float(e[6] or 0.0),
        final=bool(len(e) > 7 and e[7]),
        wait_s=note / 1000.0 if outcome is api.Outcome.REJECTED else 0.0,
        no_slot=outcome is api.Outcome.NOT_SENT and note == 1,
        room_left=left,
        limit_per_s=limit,
    )


def read_probe(e: list[Any]) -> api.ProbeEnded:
    """Read the result of a probe."""
    left, limit = read_load_report(e[5] if len(e) > 5 else None)
    return api.ProbeEnded(int(e[2]), look_up("outcome", OUTCOMES, e[3]), float(e[4] or 0.0), left, limit)


def read_judgement(e: list[Any]) -> api.PeerJudgement:
    """Read a peer's judgement: four bytes with the endpoint's number, one that says whether it works."""
    payload = bytes.fromhex(e[3])
    if len(payload) != 5 or payload[4] > 1:
        raise MalformedError(f"unknown judgement {e[3]!r}")
    return api.PeerJudgement(int.from_bytes(payload[:4], "big"), bool(payload[4]))


READERS: dict[str, Callable[[list[Any]], api.Event]] = {
    "req": read_message,
    "gone": lambda e: api.Withdrawn(str(e[2])),
    "bell": lambda e: api.Timer(int(e[2])),
    "probeDone": read_probe,
    "inbox": read_judgement,
    "first": lambda e: api.AnswerStarted(str(e[2]), int(e[3])),
    "done": read_attempt_ended,
}

WRITERS: dict[type, Callable[[int, Any], list[Any]]] = {
    api.Send: lambda n, a: ["issue", n, a.ref, a.endpoint, a.time_out_s],
    api.Refuse: lambda n, a: ["refuse", n, a.ref, a.retry_after_s],
    api.Fail: lambda n, a: ["lose", n, a.ref],
    api.CancelAttempt: lambda n, a: ["abortAttempt", n, a.ref, a.attempt],
    api.Probe: lambda n, a: ["askLoad", n, a.endpoint],
    api.CloseIdle: lambda n, a: ["dropConns", n, a.endpoint],
    api.PublishJudgement: lambda n, a: ["broadcastTo", n, -1, f"{a.endpoint:08x}{a.works:02x}"],
    api.SetTimer: lambda n, a: ["wakeMe", n, a.after_s, a.label],
    api.Subscribe: lambda n, a: ["tail", n, True],
    api.FetchList: lambda n, a: ["queryAll", n],
    api.Log: lambda n, a: ["writeLog", n, a.text],
}


class Adapter:
    """Runs the instances of one process. They share the numbered endpoint lists and nothing else."""

    def __init__(self, errors: TextIO) -> None:
        self.errors = errors
        self.instances: dict[int, Controller] = {}
        self.lists: dict[int, tuple[api.Endpoint, ...]] = {}

    def report_error(self, where: str, what: str) -> None:
        """Write one line on what was wrong, and where."""
        text = f"willownotch: {where}: {what}".replace("\n", " ")
        print(text, file=self.errors, flush=True)

    def run(self, source: TextIO, sink: TextIO) -> None:
        """Answer each line until the input ends."""
        for number, line in enumerate(source, 1):
            if line.strip():
                reply = self.answer(f"line {number}", line)
                if reply is not None:
                    sink.write(reply + "\n")
                    sink.flush()

    def answer(self, where: str, line: str) -> str | None:
        """The reply to one batch; None if not even its number can be read."""
        try:
            batch = json.loads(line)
        except ValueError as fault:
            return self.report_error(where, f"not JSON: {fault}")
        if not isinstance(batch, dict) or "frame" not in batch:
            return self.report_error(where, "a batch must be an object with 'frame'")
        steps: list[list[Any]] = []
        now, arrivals = batch.get("wallS"), batch.get("arrivals")
        if isinstance(now, bool) or not isinstance(now, int | float):
            self.report_error(where, "'wallS' is missing or not a number")
        elif not isinstance(arrivals, list):
            self.report_error(where, "'arrivals' is missing or not an array")
        else:
            self.process_batch(where, float(now), arrivals, steps)
        return json.dumps({"frame": batch["frame"], "steps": steps}, separators=(",", ":"))

    def process_batch(self, where: str, now: float, arrivals: list[Any], steps: list[list[Any]]) -> None:
        """Group the events of a batch by instance, then let each instance decide once."""
        rounds: dict[int, list[api.Event]] = {}
        for position, event in enumerate(arrivals):
            spot = f"{where}, event {position}"
            try:
                self.read_event(event, rounds, steps)
            except MalformedError as fault:
                self.report_error(spot, str(fault))
            except (KeyError, IndexError, TypeError, ValueError, OverflowError, AttributeError) as fault:
                name = event[0] if isinstance(event, list) and event else event
                self.report_error(spot, f"malformed {name!r}: {type(fault).__name__} {fault}")
        for instance, events in rounds.items():
            try:
                actions = self.instances[instance].handle(now, events)
                steps.extend(WRITERS[type(action)](instance, action) for action in actions)
            except Exception as fault:  # any exception is reported as a crash of the instance
                text = f"{type(fault).__name__}: {fault}"
                self.report_error(f"{where}, instance {instance}", text)
                steps.append(["crash", instance, text])

    def read_event(self, event: Any, rounds: dict[int, list[api.Event]], steps: list[list[Any]]) -> None:
        """Read one event and add it to the round of its instance."""
        if not isinstance(event, list) or not event or not isinstance(event[0], str):
            raise MalformedError("an event must be an array that starts with its name")
        name = event[0]
        if len(event) < look_up("event", MIN_LENGTHS, name):
            raise MalformedError(f"{name!r} has {len(event)} values, {MIN_LENGTHS[name]} expected")
        if name == "list":
            self.lists[int(event[1])] = tuple(read_entry(row) for row in event[2])
            return
        instance = int(event[1])
        if name == "born":
            try:
                self.instances[instance] = Controller(read_settings(event[3]), int(event[2]))
                rounds[instance] = []
            except (KeyError, IndexError, TypeError, ValueError, AttributeError) as fault:
                steps.append(["crash", instance, f"settings: {type(fault).__name__} {fault}"])
                raise
            return
        if instance not in self.instances:
            raise MalformedError(f"{name!r} for unknown instance {instance}")
        if name == "stop":
            del self.instances[instance]
            rounds.pop(instance, None)
            return
        events = rounds.setdefault(instance, [])
        if name == "members":
            events.append(self.read_members(event))
        elif name in READERS:
            events.append(READERS[name](event))

    def read_members(self, event: list[Any]) -> api.Event:
        """Read an update of the endpoint list; its number means the list as of this point of the batch."""
        scope = look_up("scope", {"D": False, "F": True, "C": True, "X": None}, event[4])
        if scope is None:
            return api.ListFailed()
        if event[2] not in self.lists:
            raise MalformedError(f"unknown list {event[2]!r}")
        return api.EndpointList(self.lists[event[2]], whole=scope)


def main() -> None:
    """Serve standard input until it ends."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    Adapter(sys.stderr).run(sys.stdin, sys.stdout)


if __name__ == "__main__":
    main()
