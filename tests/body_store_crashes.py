"""Runs a body store scenario in processes that die at their Nth file operation; checks the folders.

    python tests/body_store_crashes.py MODE EVERY      # MODE: die, die-torn; at every EVERYth operation

Prints JSON: the number of operations in the scenario, of deaths caused, and the errors found.
"""

import json
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

from body_store_rig import Rig, body_of  # noqa: E402

from willownotch.files.faulty import Fault, Faulty, Kind  # noqa: E402
from willownotch.journal.records import AcceptedMessage  # noqa: E402


def run_scenario(folder, files, report):
    """Hand messages in, end them, reclaim and restart, twice. `report` gets a line after each record."""
    rig = Rig(files, folder=folder, disk=220_000, destination_share=1.0, memory=9000, reclaim=0.2)
    for round_number in range(2):
        for n in range(14):
            ref, size = f"t{round_number}m{n}", 1000 + 700 * n
            if isinstance(rig.hand_in(ref, size, "fee" if n % 5 else "order"), AcceptedMessage):
                report(f"accepted {ref} {size}")
            if n % 3 == 2 and ref in rig.journal.live:
                rig.relay(ref)
                assert rig.read(ref) == body_of(ref, size)
        for n in range(14):
            if n % 4 and f"t{round_number}m{n}" in rig.journal.live:
                report(f"ending t{round_number}m{n}")
                rig.end(f"t{round_number}m{n}")
                report(f"ended t{round_number}m{n}")
        rig.work()
        assert rig.bodies.moves
        if not round_number:
            rig.restart()
    rig.restart()


def run_child(folder, faults):
    """Run the scenario in a child process; return the lines that it reported, split, and its wait status."""
    read_end, write_end = os.pipe()
    child_pid = os.fork()
    if not child_pid:
        os.close(read_end)
        try:
            files = Faulty(lambda: faults)
            run_scenario(folder, files, lambda text: os.write(write_end, f"{text}\n".encode()))
            os.write(write_end, f"operations {files.count}\n".encode())
            os._exit(0)
        except BaseException as fault:
            os.write(write_end, f"error {type(fault).__name__} {fault} {traceback.format_exc()!r}\n".encode())
            os._exit(1)
    os.close(write_end)
    with os.fdopen(read_end, encoding="utf-8") as lines:
        reported = [line.split(maxsplit=2) for line in lines]
    _, status = os.waitpid(child_pid, 0)
    return reported, status


def check(folder, reported):
    """Return what the next process finds to differ from the reported lines."""
    accepted, ending, ended = {}, set(), set()
    for word, ref, *rest in reported:
        if word == "accepted":
            accepted[ref] = int(rest[0])
        elif word == "ending":
            ending.add(ref)
        elif word == "ended":
            ended.add(ref)
    rig, found = Rig(folder=folder, disk=220_000, destination_share=1.0), []
    if rig.lost:
        found.append(f"lost {rig.lost}")
    for ref in accepted:
        if ref in ended and ref in rig.journal.live:
            found.append(f"{ref} is still live although it has ended")
        if ref not in ending and ref not in rig.journal.live:
            found.append(f"{ref} is not live")
    order = [ref for ref in rig.journal.live if ref in accepted]
    if order != [ref for ref in accepted if ref in rig.journal.live]:
        found.append(f"out of order: {order}")
    for ref, entry in rig.journal.live.items():
        size = accepted.get(ref, entry.message.place.size if entry.message.place else len(entry.message.body))
        if rig.read(ref) != body_of(ref, size):
            found.append(f"{ref} has a wrong body")
    if rig.on_disk() > rig.disk:
        found.append(f"{rig.on_disk()} bytes on the disk")
    for ref in list(rig.journal.live):
        rig.end(ref)
    rig.work()
    if (left := sorted(f.name for f in rig.folder.iterdir())) != ["journal"]:
        found.append(f"left over: {left}")
    rig.journal.close()
    return found


def main(mode, every):
    """Run the scenario with a death at each operation, and print the report."""
    with tempfile.TemporaryDirectory() as folder:
        reported, status = run_child(Path(folder), [])
        if status:
            sys.exit(f"the scenario fails without faults: {reported[-1]}")
        operations = int(reported[-1][1])
    deaths, faults = 0, []
    for number in range(1, operations + 1, every):
        with tempfile.TemporaryDirectory() as folder:
            reported, status = run_child(Path(folder), [Fault(Kind(mode), number=number)])
            deaths += os.WIFSIGNALED(status) and os.WTERMSIG(status) == signal.SIGKILL
            if os.WIFEXITED(status) and os.WEXITSTATUS(status):
                faults.append(f"operation {number}: {reported[-1]}")
            faults += [f"operation {number}: {text}" for text in check(Path(folder), reported)]
    print(json.dumps({"operations": operations, "deaths": deaths, "broken": faults}))


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
