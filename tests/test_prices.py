"""The account of prices: what it makes of senders' lines, and that a traced sender writes them."""

import json
import os
import subprocess
import sys
import threading

import msgspec
import pytest
from click.testing import CliRunner
from harness import ROOT, SETTINGS, Discovery, Host, Sender, until

from willownotch.lab.prices import lines
from willownotch.lab.prices.__main__ import main
from willownotch.lab.prices.account import Cause, Fate, account, taken

STARTED = lines.Started(0.0, msgspec.Raw(json.dumps(SETTINGS).encode()))  # its holding room is 40
GOAL = {"whole": 0.45, "worst_window": 0.25, "worst_class": 0.2, "worst_tenant": 0.1}
DAY = {
    "name": "calm",
    "whole": 0.9,
    "worst_window": 0.7,
    "worst_class": 0.8,
    "worst_tenant": 0.95,
    "g": 0.795,
    "prices": {"waste": 0.0, "handshake": 0.03, "failed_untried": 0.01},
}


def came(ref, at=1.0, cls="order", again=False, left=16.0):
    return lines.Came(at, ref, cls, "acme", 7, again, left)


def delivered(ref, at, **more):
    return [
        came(ref, **more),
        lines.Answered(1.0, ref, 202),
        lines.Called(1.0, ref, 0, 3),
        lines.CallEnded(at, ref, 0, "delivered", at - 1.0, 0.0, True),
    ]


def over(ref, how, at, status=202, *outcomes, wait=0.0, cls="order", held=37, there=0):
    told = [came(ref, cls=cls, left=20.0 if cls == "fee" else 16.0), lines.Answered(1.0, ref, status)]
    for number, outcome in enumerate(outcomes):
        told += [
            lines.Called(1.0, ref, number, 3),
            lines.CallEnded(1.0, ref, number, outcome, 0.0, wait, False),
        ]
    return [*told, lines.Over(at, ref, how, 0.5, held, there)]


def day(*told, count=99):
    """A day of so many messages that are delivered at once, and those told."""
    plain = [line for n in range(count) for line in delivered(f"p{n}", 1.1)]
    return account([[lines.write(line) for line in [STARTED, *plain, *told]]])


@pytest.mark.parametrize(
    ("told", "fate", "early"),
    [
        (delivered("a", 1.5), Fate.IN_TIME, 0.0),
        (delivered("a", 9.0), Fate.LATE, 0.0),
        # Handed in again with 2.6 s of its time gone, it is late however soon it is delivered.
        (delivered("a", 1.2, again=True, left=13.4), Fate.LATE, 0.0),
        ([came("a"), lines.Answered(1.0, "a", 503)], Fate.DOOR, 0.0),
        ([came("a"), lines.Answered(1.0, "a", 202)], Fate.NO_END, 0.0),
        (over("a", "refused", 1.0, 503), Fate.AT_ONCE, 0.0),
        (over("a", "refused", 12.1), Fate.BACK_UNTRIED, 0.3 / 100),
        (over("a", "refused", 12.3), Fate.BACK_UNTRIED, 0.0),  # 11.2 s are seven tenths of its 16 s
        (over("a", "refused", 5.0, 202, "turned away"), Fate.BACK_UNRUN, 0.3 / 100),
        (over("a", "refused", 5.0, 202, "turned away", wait=12.0), Fate.BACK_UNRUN, 0.0),
        (over("a", "refused", 5.0, 202, "timed out"), Fate.BACK_RAN, 0.0),
        (over("a", "failed", 5.0), Fate.FAILED_UNTRIED, 0.3 / 100),
        (over("a", "failed", 5.0, 202, "unreachable"), Fate.FAILED_UNRUN, 0.3 / 100),
        (over("a", "failed", 5.0, 202, "broken"), Fate.FAILED_RAN, 0.0),
        (over("a", "failed", 5.0, cls="fee"), Fate.FAILED_UNTRIED, 0.3 * 3 / 102),
    ],
)
def test_what_becomes_of_a_message_and_what_an_early_end_costs(told, fate, early):
    found = day(*told)
    assert found.fates[fate][0] == 1 + 99 * (fate is Fate.IN_TIME)
    assert sum(points for _, points in found.early.values()) == pytest.approx(early)


@pytest.mark.parametrize(
    ("held", "there", "cause"),
    [
        (37, 1, Cause.ROOM),
        (36, 1, Cause.OTHER),
        (36, 21, Cause.DESTINATION),
        (37, 21, Cause.ROOM),
    ],
)
def test_why_a_message_ended_early(held, there, cause):
    found = day(*over("a", "refused", 5.0, 202, "turned away", held=held, there=there))
    assert found.early == {(cause, "order"): (1, pytest.approx(0.003))} and found.calls_early == 1


def test_what_the_worst_parts_lie_under_the_whole_and_the_prices_make_the_difference_to_g():
    rows = taken(DAY, GOAL)
    assert rows == {
        "goal: the worst 10 s": pytest.approx(0.05),
        "goal: the worst class": pytest.approx(0.02),
        "goal: the worst tenant": pytest.approx(-0.005),
        "price: failed_untried": 0.01,
        "price: handshake": 0.03,
        "rest": pytest.approx(0.0),
    }
    assert sum(rows.values()) == pytest.approx(DAY["whole"] - DAY["g"])


def test_a_message_is_followed_through_every_sender_and_restart():
    first = [STARTED, came("a"), lines.Answered(1.0, "a", 202), lines.Called(1.0, "a", 0, 3)]
    second = [
        lines.Started(5.0, STARTED.settings),
        lines.Recalled(5.3, "a", 1, True),
        lines.Over(6.0, "a", "failed", 0.0, 1, 0),
    ]
    log = [f"{n}.25 {lines.write(line)}\n" for n, line in enumerate(first + second)]
    found = account([["x n1 start: listening\n", *log, log[1][:40]], [lines.write(STARTED)]])
    assert (found.messages, found.counts["starts"], found.counts["found by a restart"]) == (1, 3, 1)
    assert list(found.fates) == [Fate.FAILED_RAN] and not found.early


def test_what_clients_hand_in_after_the_day_does_not_count():
    told = [
        STARTED,
        *delivered("a", 1.5),
        came("b", 2.0),
        came("c", 3.0),
        came("d", 3.5, again=True, left=14.0),
    ]
    logs = [[lines.write(line) for line in told]]
    assert account(logs, 2).hand_ins == 3  # the last one's client first wanted it at 1.5
    assert account(logs, 1).hand_ins == 2
    assert account(logs, 3).hand_ins == account(logs).hand_ins == 4


def files(folder, *logged):
    """A site, a report of two days, and logs of those named."""
    (folder / "site.toml").write_text("[goal]\n" + "\n".join(f"{k} = {v}" for k, v in GOAL.items()))
    (folder / "report.json").write_text(json.dumps({"days": [DAY, {**DAY, "name": "herd"}]}))
    for name, told in logged:
        (folder / name).mkdir()
        (folder / name / "n0.log").write_text("\n".join(map(lines.write, told)), encoding="utf-8")
    return [str(folder / "site.toml"), str(folder / "report.json"), "--logs", str(folder)]


def test_logs_without_a_traced_message_are_told_and_not_counted(tmp_path):
    result = CliRunner().invoke(main, files(tmp_path, ("herd", [STARTED])))
    assert result.exit_code == 1 and "no traced hand-in" in result.output


def test_the_table_has_a_column_a_day(tmp_path):
    told = [STARTED, *over("a", "failed", 5.0), lines.Connected(1.0, "endpoint")]
    result = CliRunner().invoke(main, files(tmp_path, ("calm", told)))
    table = {
        cells[1]: cells[2:-1]
        for row in result.output.splitlines()
        if (cells := [cell.strip() for cell in row.split("|")])
    }
    assert table[""] == ["calm", "herd"]
    assert table["G"] == ["0.795", "0.795"] and table["price: handshake"] == ["0.0300", "0.0300"]
    assert table["ended early, the holding room was full, order"] == ["1 (0.3000)", ""]
    assert table["in all of the logs: connections: endpoint"] == ["1", ""]


def test_the_report_of_one_day_stands_alone_and_so_do_its_logs(tmp_path):
    site, report, *_ = files(tmp_path, ("logs", [STARTED, *delivered("a", 1.5)]))
    (tmp_path / "report.json").write_text(json.dumps(DAY))
    result = CliRunner().invoke(main, [site, report, "--logs", str(tmp_path / "logs")])
    assert "| | calm |" in result.output
    assert "| hand-ins delivered in the wanted time | 1 (1.000) |" in result.output


class Traced(Sender):
    """The program with its messages traced."""

    def launch(self, cwd=ROOT):
        env = {"PATH": os.environ["PATH"], "LB_CONFIG": str(self.config), "LB_STATE": str(self.state)}
        program = [sys.executable, "-m", "willownotch.lab.prices.trace"]
        self.process = subprocess.Popen(program, cwd=cwd, env=env, stderr=subprocess.PIPE, text=True)
        self.lines, self.port, self.managed = [], None, None
        threading.Thread(target=self._read, args=(self.process.stderr, self.lines), daemon=True).start()


def test_a_traced_sender_tells_all_that_becomes_of_its_messages_across_a_restart():
    host = Host()
    host.script.put((503, ()))
    discovery = Discovery([host])
    sender = Traced(discovery, known=discovery.known()).ready()
    try:
        ref, _ = sender.hand_in("status")
        until(lambda: any('"delivered"' in line for line in sender.lines))
        told = list(lines.read(sender.lines))
        kinds = [type(line) for line in told if getattr(line, "ref", "") == ref]
        assert kinds.count(lines.Came) == kinds.count(lines.Answered) == 1
        assert kinds.count(lines.Called) == kinds.count(lines.CallEnded) == 2
        assert {line.where for line in told if isinstance(line, lines.Connected)} >= {"endpoint", "watch"}
        assert list(account([sender.lines]).fates) == [Fate.IN_TIME]
        host.held.clear()
        ref, _ = sender.hand_in("fee")
        until(lambda: ref in host.refs())
        before = sender.lines
        sender.restart()
        until(lambda: any('"over"' in line for line in sender.lines))
        found = account([before, sender.lines])
        assert found.fates[Fate.FAILED_RAN][0] == 1 and found.counts["found by a restart"] == 1
    finally:
        host.held.set()
        sender.close()
        host.close()
        discovery.close()
