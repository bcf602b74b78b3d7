"""What may end no process, and none again after its restart: real processes over loopback."""

import signal

from harness import Discovery, Host, Sender, until

ROUNDS = 20  # of hand-ins, each a round of the decision loop


def hand_in_rounds(sender):
    for _ in range(ROUNDS):
        assert sender.hand_in(dest=7, left=15000)[1].status in (202, 503)
        assert sender.process.poll() is None, "".join(sender.lines)


def test_a_destination_that_loses_its_last_endpoint_ends_no_process_and_none_after_a_restart():
    hung, hung_too, failing = Host(), Host(), Host()
    hung.held.clear()
    hung_too.held.clear()
    for _ in range(50):
        failing.script.put((500, ()))
    discovery = Discovery()
    discovery.entries = [
        discovery.entry(0, hung),
        discovery.entry(1, hung_too, group=9),
        discovery.entry(2, failing, group=8),
    ]
    sender = Sender(discovery)
    try:
        sender.ready()
        assert sender.hand_in(dest=8, left=20000)[1].status == 202
        until(lambda: failing.calls)
        discovery.entries = discovery.entries[:2]
        discovery.change(2, failing, "Gone", group=8)
        for dest in (7, 9, 7, 9, 7, 9, 7, 9):
            sender.hand_in(dest=dest, left=20000)
        until(lambda: len(hung.calls) + len(hung_too.calls) >= 6)  # all slots
        hand_in_rounds(sender)
        sender.restart(signal.SIGKILL)
        hand_in_rounds(sender)
    finally:
        sender.close()
        discovery.close()
