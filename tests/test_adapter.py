"""The wire format: malformed input is reported in one line and skipped, and the rest is processed."""

import copy
import io
import json

import pytest

from willownotch import adapter, interface

CONF = {
    "services": [
        {
            "name": "a",
            "credit": 1.0,
            "promiseS": 2.0,
            "hardLimitS": 10.0,
            "lateShare": 0.5,
            "idempotency": "keyed",
            "group": "zone",
            "memorySpanS": 5.0,
            "unknown": [1],
        }
    ],
    "models": ["m"],
    "orgs": [],
    "peersTotal": 2,
    "discovery": "automatic",
    "weightKind": "none",
    "familyInfo": {"slots": 4, "kindBatch": [20], "separateRoutes": [True], "decay": "by_half"},
    "policyLimits": {"maxOpen": 50, "maxAttempts": 8, "mayCancel": True},
    "rules": {"coldShare": 0.2, "coldS": 10.0, "fallMultiple": 2.0, "fallS": 1.5},
    "later": {"new": 1},
}
LIST = ["list", 0, [[0, None, 7, 0, 1, "SERVING", 1]]]
BORN = [["born", 3, 11, CONF], LIST, ["members", 3, 0, 1, "C"]]
REQ = ["req", 3, "ab", 0, 10.0, None, None, 0, 1, 0]


class Wire:
    def __init__(self):
        self.errors, self.frame = io.StringIO(), 0
        self.adapter = adapter.Adapter(self.errors)

    def send(self, *arrivals, now=1.0):
        self.frame += 1
        line = json.dumps({"wallS": now, "frame": self.frame, "arrivals": list(arrivals)})
        reply = json.loads(self.adapter.answer("line 1", line))
        assert reply["frame"] == self.frame
        return reply["steps"]

    def complaints(self):
        return self.errors.getvalue().splitlines()


def test_a_message_is_issued_and_its_outcome_read():
    wire = Wire()
    steps = wire.send(*BORN, REQ)
    assert steps[0][:4] == ["issue", 3, "ab", 7]
    wire.send(["done", 3, "ab", 0, 7, "GOOD", 0.1, True, None, {"x0": 0.5, "x1": 4.0}], now=1.1)
    assert wire.adapter.instances[3].store.jobs == {}
    assert wire.adapter.instances[3].store.routes[7].pool.limit == 4.0
    assert wire.complaints() == []


@pytest.mark.parametrize("line", ["{", "[]", "3", '{"wallS":1}', "\udcff"])
def test_a_line_that_is_no_batch_is_reported_and_gets_no_reply(line):
    wire = Wire()
    assert wire.adapter.answer("line 9", line) is None
    assert len(wire.complaints()) == 1 and "line 9" in wire.complaints()[0]


@pytest.mark.parametrize(
    "batch",
    [
        {"frame": 4},
        {"frame": 4, "wallS": "x", "arrivals": []},
        {"frame": 4, "wallS": 1, "arrivals": 3},
    ],
)
def test_a_batch_without_clock_or_events_is_reported_and_answered(batch):
    wire = Wire()
    assert json.loads(wire.adapter.answer("line 2", json.dumps(batch))) == {"frame": 4, "steps": []}
    assert len(wire.complaints()) == 1


@pytest.mark.parametrize(
    "event",
    [
        7,
        [],
        ["nonsense", 3],
        ["req", 3],
        ["bell", 99, 1],
        ["done", 3, "ab", 0, 7, "WHAT", 0.1],
        ["req", 3, "cd", 0, "soon", None, None, 0, 1, 0],
        ["members", 3, 9, 1, "C"],
        ["members", 3, 0, 1, "Q"],
        ["inbox", 3, 1, "00"],
        ["inbox", 3, 1, ""],
        ["inbox", 3, 1, None],
        ["inbox", 3, 3, "xyz"],
        ["list", 0, [[0]]],
        ["req", "x", "cd", 0, 1.0, None, None, 0, 1, 0],
    ],
)
def test_a_malformed_event_is_reported_in_one_line_and_the_rest_is_processed(event):
    wire = Wire()
    wire.send(*BORN)
    steps = wire.send(event, REQ)
    assert [s[0] for s in steps][:1] == ["issue"]
    assert len(wire.complaints()) == 1
    assert "event 0" in wire.complaints()[0] and "Traceback" not in wire.complaints()[0]


def test_impossible_settings_are_reported_at_the_start():
    conf = copy.deepcopy(CONF)
    conf["familyInfo"]["slots"] = 0
    wire = Wire()
    steps = wire.send(["born", 3, 1, conf])
    assert steps[0][0] == "crash" and "slots" in steps[0][2]
    assert "slots" in wire.complaints()[0]


def test_list_numbers_resolve_in_the_order_of_events():
    wire = Wire()
    wire.send(
        *BORN, ["list", 0, [[0, None, 8, 0, 1, "SERVING", 1]]], ["members", 3, 0, 2, "F"], ["list", 0, []]
    )
    assert list(wire.adapter.instances[3].store.routes) == [8]


def test_a_restart_within_one_batch_drops_the_old_state():
    wire = Wire()
    wire.send(*BORN, REQ)
    steps = wire.send(["done", 3, "ab", 0, 7, "FULL", 0.1, False, 900], ["stop", 3], *BORN)
    assert [s for s in steps if s[0] != "wakeMe"] == []
    assert wire.adapter.instances[3].store.jobs == {}


def test_an_exception_in_the_module_is_a_crash_with_its_text(monkeypatch):
    wire = Wire()
    wire.send(*BORN)

    def broken(now, events):
        raise RuntimeError("out of order")

    monkeypatch.setattr(wire.adapter.instances[3], "handle", broken)
    assert wire.send(REQ) == [["crash", 3, "RuntimeError: out of order"]]


def test_a_failed_subscription_to_the_list_is_retried():
    conf = {**CONF, "discovery": "subscribe"}
    wire = Wire()
    assert ["tail", 3, True] in wire.send(["born", 3, 1, conf])
    steps = wire.send(["members", 3, 0, 0, "X"])
    assert steps[0][0] == "wakeMe"
    assert ["tail", 3, True] in wire.send(["bell", 3, steps[0][3]], now=3.0)


def test_events_on_unknown_messages_and_endpoints_are_ignored():
    wire = Wire()
    wire.send(*BORN)
    assert (
        wire.send(
            ["gone", 3, "never"],
            ["bell", 3, 12345],
            ["first", 3, "never", 0, 7, 0.1],
            ["done", 3, "never", 0, 7, "GOOD", 0.1, True],
            ["inbox", 3, 1, "0000006300"],
            ["probeDone", 3, 999, "GOOD", 0.1],
        )
        == []
    )
    assert wire.complaints() == []


def test_every_outcome_of_the_wire_is_known():
    assert set(adapter.OUTCOMES.values()) == set(interface.Outcome)
