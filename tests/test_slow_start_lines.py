"""Log lines and counters about an endpoint that fails, returns and is warm again."""

from harness import Discovery, Host, until
from harness import Sender as SenderProcess
from helpers import Sender, sends

from willownotch.interface import CallPhase, Log, Outcome, Timer


def test_each_attempt_has_the_state_of_its_endpoint():
    sender = Sender()
    first = sends(sender.step(sender.message()))
    assert [sent.phase for sent in first] == [CallPhase.ORDINARY]
    sender.step(sender.ended(first[0], Outcome.DELIVERED))
    sender.fail()
    sender.now += 3.0  # an answer within 2 s would mean that there was no outage
    sent = []
    while not sent:
        sent = sends(sender.step(Timer(1), sender.message(), after=0.5))
    assert sent[0].phase is CallPhase.TRIAL
    out = sender.step(sender.ended(sent[0], Outcome.DELIVERED))
    while not sends(out):
        out = sender.step(Timer(1), sender.message(), after=0.5)
    assert sends(out)[0].phase is CallPhase.SLOW_START


def test_lines_on_an_endpoint_name_its_number():
    sender = Sender()
    sender.serve(3)
    sent = sends(sender.step(sender.message()))
    lines = []
    for _ in range(5):
        out = sender.step(*[sender.ended(s, Outcome.UNREACHABLE) for s in sent], after=0.1)
        lines += [action for action in out if isinstance(action, Log)]
        sent = sends(out)
    assert [line.endpoint for line in lines] == [1]
    assert "judged failing (unreachable), last answer" in lines[0].text


def test_a_process_names_the_endpoint_and_its_destination_and_counts_attempts():
    discovery = Discovery([host := Host()])
    sender = SenderProcess(discovery).ready()
    for _ in range(8):
        host.script.put((500, ()))
    try:
        sender.exchange(sender.request("POST", "/api", sender.headers("status"), b"x"))
        until(lambda: any("judged failing (error)" in line for line in sender.lines))
        line = next(line for line in sender.lines if "judged failing" in line)
        assert line.rstrip().endswith("(s-0, destination 7)")
        sender.process.terminate()
        until(lambda: any(" end: " in line for line in sender.lines))
        assert "attempt sent (trial)" in next(line for line in sender.lines if " end: " in line)
    finally:
        for thing in (sender, discovery, host):
            thing.close()
