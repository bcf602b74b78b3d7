"""The simulator's wire to the interface and back, for many senders in one process. It decides nothing.

Run as `python -m willownotch.adapter`: one batch of events a line on standard input, one reply a line on
standard output. What is malformed is named in one plain line on standard error and passed over.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from math import inf
from typing import Any, TextIO

from willownotch import interface as i
from willownotch.control import Controller

OUTCOMES = {
    "GOOD": i.Outcome.DELIVERED,
    "BAD": i.Outcome.ERROR,
    "FULL": i.Outcome.REJECTED,
    "LATE": i.Outcome.TIMED_OUT,
    "NOCONN": i.Outcome.UNREACHABLE,
    "RST": i.Outcome.BROKEN,
    "CXL": i.Outcome.CANCELLED,
    "NOP": i.Outcome.NOT_SENT,
}
READINESS = {
    "SERVING": i.Readiness.SERVING,
    "DRAINING": i.Readiness.DRAINING,
    "DELETED": i.Readiness.GONE,
}
LENGTHS = {  # values an event carries at the least, its name included; trailing ones may be absent
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
    """Something on the wire is not as the wire has it."""


def pick(name: str, table: dict[str, Any], value: Any) -> Any:
    """Look a wire word up, naming it when it is unknown."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise MalformedError(f"unknown {name} {value!r}") from None


def read_class(entry: dict[str, Any]) -> i.MessageClass:
    """One of the classes in the settings."""
    return i.MessageClass(
        name=str(entry["name"]),
        worth=float(entry["credit"]),
        wanted_s=float(entry["promiseS"]),
        deadline_s=float(entry["hardLimitS"]),
        late_share=float(entry.get("lateShare") or 0.0),
        idempotency=i.Idempotency(entry["idempotency"]),
        dedup_scope=i.DedupScope(entry.get("group") or "all"),
        dedup_window_s=float(entry.get("memorySpanS") or 0.0),
        in_order=bool(entry.get("oneAtATime")),
        cost_hint_factor=float(entry.get("aimStretch") or 0.0),
    )


def read_settings(conf: dict[str, Any]) -> i.Settings:
    """The settings of an instance; keys that are not named here are ignored."""
    family, limits = conf["familyInfo"], conf["policyLimits"]
    rules, costs = conf["rules"], conf.get("costs") or {}
    batches, apart = family.get("kindBatch") or [], family.get("separateRoutes") or []
    kinds = tuple(
        i.DestinationKind(
            str(name), int(batches[n]) if n < len(batches) else 1, bool(n < len(apart) and apart[n])
        )
        for n, name in enumerate(conf["models"])
    )
    return i.Settings(
        classes=tuple(read_class(entry) for entry in conf["services"]),
        kinds=kinds,
        slots=int(family["slots"]),
        holding_room=int(limits["maxOpen"]),
        tenants=tuple(
            i.Tenant(str(t["name"]), float(t.get("quotaPerS") or 0.0)) for t in conf.get("orgs") or []
        ),
        senders=int(conf["peersTotal"]),
        max_attempts=int(limits["maxAttempts"]),
        decay=i.Decay(family.get("decay") or "even"),
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
        rules=i.Rules(
            answer_grace_s=float(rules.get("graceToAnswerS") or 0.0),
            cold_share=float(rules["coldShare"]),
            cold_s=float(rules["coldS"]),
            fall_multiple=float(rules["fallMultiple"]),
            fall_s=float(rules["fallS"]),
            key_quiet_s=float(rules.get("keyQuietS") or 0.0),
            ask_within_s=float(rules.get("askWithinS") or 10.0),
        ),
    )


def read_entry(row: list[Any]) -> i.Endpoint:
    """One row of a list."""
    return i.Endpoint(
        kind=int(row[0] or 0),
        number=int(row[2]),
        zone=int(row[3] or 0),
        destination=int(row[4]),
        readiness=pick("readiness", READINESS, row[5]),
        rate=float(row[6] or 0.0) if len(row) > 6 else 0.0,
    )


def reports(usage: Any) -> tuple[float | None, float | None]:
    """The load report of an answer: share of the allowance left, and the limit."""
    named = usage if isinstance(usage, dict) else dict(usage or [])
    left, limit = named.get("x0"), named.get("x1")
    return (None if left is None else float(left)), (None if limit is None else float(limit))


def read_request(e: list[Any]) -> i.Message:
    """A new message."""
    flags = int(e[7] or 0)
    return i.Message(
        ref=str(e[2]),
        tenant=int(e[3] or 0),
        time_left_s=float(e[4]),
        key=e[5],
        cost_hint_s=float(e[6] or 0.0) if flags & 1 else 0.0,
        is_retry=bool(flags & 18),
        destination=int(e[8]),
        message_class=int(e[9] or 0),
    )


def read_done(e: list[Any]) -> i.AttemptEnded:
    """The outcome of an attempt."""
    outcome = pick("outcome", OUTCOMES, e[5])
    note = int(e[8] or 0) if len(e) > 8 else 0
    left, limit = reports(e[9] if len(e) > 9 else None)
    return i.AttemptEnded(
        ref=str(e[2]),
        attempt=int(e[3]),
        endpoint=int(e[4]),
        outcome=outcome,
        took_s=float(e[6] or 0.0),
        final=bool(len(e) > 7 and e[7]),
        wait_s=note / 1000.0 if outcome is i.Outcome.REJECTED else 0.0,
        no_slot=outcome is i.Outcome.NOT_SENT and note == 1,
        room_left=left,
        limit_per_s=limit,
    )


def read_probe(e: list[Any]) -> i.ProbeEnded:
    """The result of a probe."""
    left, limit = reports(e[5] if len(e) > 5 else None)
    return i.ProbeEnded(int(e[2]), pick("outcome", OUTCOMES, e[3]), float(e[4] or 0.0), left, limit)


def read_note(e: list[Any]) -> i.PeerJudgement:
    """A note: four bytes with the number of an endpoint, one that says whether it works."""
    payload = bytes.fromhex(e[3])
    if len(payload) != 5 or payload[4] > 1:
        raise MalformedError(f"unknown note {e[3]!r}")
    return i.PeerJudgement(int.from_bytes(payload[:4], "big"), bool(payload[4]))


READERS: dict[str, Callable[[list[Any]], i.Event]] = {
    "req": read_request,
    "gone": lambda e: i.Withdrawn(str(e[2])),
    "bell": lambda e: i.Timer(int(e[2])),
    "probeDone": read_probe,
    "inbox": read_note,
    "first": lambda e: i.AnswerStarted(str(e[2]), int(e[3])),
    "done": read_done,
}

WRITERS: dict[type, Callable[[int, Any], list[Any]]] = {
    i.Send: lambda n, a: ["issue", n, a.ref, a.endpoint, a.time_out_s],
    i.Refuse: lambda n, a: ["refuse", n, a.ref, a.retry_after_s],
    i.Fail: lambda n, a: ["lose", n, a.ref],
    i.CancelAttempt: lambda n, a: ["abortAttempt", n, a.ref, a.attempt],
    i.Probe: lambda n, a: ["askLoad", n, a.endpoint],
    i.CloseIdle: lambda n, a: ["dropConns", n, a.endpoint],
    i.PublishJudgement: lambda n, a: ["broadcastTo", n, -1, f"{a.endpoint:08x}{a.works:02x}"],
    i.SetTimer: lambda n, a: ["wakeMe", n, a.after_s, a.label],
    i.Subscribe: lambda n, a: ["tail", n, True],
    i.FetchList: lambda n, a: ["queryAll", n],
    i.Log: lambda n, a: ["writeLog", n, a.text],
}


class Adapter:
    """Hosts the instances of one process. They share the numbered lists of the wire and nothing else."""

    def __init__(self, errors: TextIO) -> None:
        self.errors = errors
        self.instances: dict[int, Controller] = {}
        self.lists: dict[int, tuple[i.Endpoint, ...]] = {}

    def complain(self, where: str, what: str) -> None:
        """One plain line on what was wrong and where."""
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
        """The reply to one batch, or nothing where not even its number can be read."""
        try:
            batch = json.loads(line)
        except ValueError as fault:
            return self.complain(where, f"not JSON: {fault}")
        if not isinstance(batch, dict) or "frame" not in batch:
            return self.complain(where, "a batch is an object with 'frame'")
        steps: list[list[Any]] = []
        now, arrivals = batch.get("wallS"), batch.get("arrivals")
        if isinstance(now, bool) or not isinstance(now, int | float):
            self.complain(where, "'wallS' is missing or not a number")
        elif not isinstance(arrivals, list):
            self.complain(where, "'arrivals' is missing or not an array")
        else:
            self.play(where, float(now), arrivals, steps)
        return json.dumps({"frame": batch["frame"], "steps": steps}, separators=(",", ":"))

    def play(self, where: str, now: float, arrivals: list[Any], steps: list[list[Any]]) -> None:
        """Sort a batch by instance, then let each one decide once."""
        rounds: dict[int, list[i.Event]] = {}
        for position, event in enumerate(arrivals):
            spot = f"{where}, event {position}"
            try:
                self.take(event, rounds, steps)
            except MalformedError as fault:
                self.complain(spot, str(fault))
            except (KeyError, IndexError, TypeError, ValueError, OverflowError, AttributeError) as fault:
                name = event[0] if isinstance(event, list) and event else event
                self.complain(spot, f"malformed {name!r}: {type(fault).__name__} {fault}")
        for instance, events in rounds.items():
            try:
                actions = self.instances[instance].handle(now, events)
                steps.extend(WRITERS[type(action)](instance, action) for action in actions)
            except Exception as fault:  # whatever it is, it ends the day with its text
                text = f"{type(fault).__name__}: {fault}"
                self.complain(f"{where}, instance {instance}", text)
                steps.append(["crash", instance, text])

    def take(self, event: Any, rounds: dict[int, list[i.Event]], steps: list[list[Any]]) -> None:
        """Read one event and put it with its instance."""
        if not isinstance(event, list) or not event or not isinstance(event[0], str):
            raise MalformedError("an event is an array that starts with its name")
        name = event[0]
        if len(event) < pick("event", LENGTHS, name):
            raise MalformedError(f"{name!r} has {len(event)} values, {LENGTHS[name]} wanted")
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

    def read_members(self, event: list[Any]) -> i.Event:
        """News of the list, its number resolved as of this point of the batch."""
        scope = pick("scope", {"D": False, "F": True, "C": True, "X": None}, event[4])
        if scope is None:
            return i.ListFailed()
        if event[2] not in self.lists:
            raise MalformedError(f"unknown list {event[2]!r}")
        return i.EndpointList(self.lists[event[2]], whole=scope)


def main() -> None:
    """Serve standard input until it ends."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    Adapter(sys.stderr).run(sys.stdin, sys.stdout)


if __name__ == "__main__":
    main()
