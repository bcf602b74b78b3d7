"""Each process that plays a soak has ports of its own for its senders."""

import multiprocessing

from willownotch.lab.soak import processes


def claim(number, answers, done):
    processes.os.getpid = lambda: number
    answers.put(processes.claim_part())
    done.wait()


def test_two_processes_that_play_have_no_port_in_common():
    """With process ids alike they shared theirs, and clients met the sender of the other run."""
    context = multiprocessing.get_context("spawn")
    answers, done = context.Queue(), context.Event()
    players = [context.Process(target=claim, args=(4242, answers, done)) for _ in range(3)]
    for player in players:
        player.start()
    parts = {answers.get(timeout=20.0) for _ in players}
    done.set()
    for player in players:
        player.join()
    assert len(parts) == len(players)
