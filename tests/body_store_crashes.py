"""Plays a story of the body store in children that die at their Nth file operation; checks what is left.

    python tests/dying.py MODE EVERY      # MODE: die, die-torn; at every EVERYth operation

Prints JSON: the operations of the whole story, the deaths caused, the promises broken.
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


def story(folder, files, say):
    """Hand-ins, ends, reclaiming, a restart, the same again. A promise is said once it is on record."""
    rig = Rig(files, folder=folder, disk=220_000, destination_share=1.0, memory=9000, reclaim=0.2)
    for turn in range(2):
        for n in range(14):
            ref, size = f"t{turn}m{n}", 1000 + 700 * n
            if isinstance(rig.hand_in(ref, size, "fee" if n % 5 else "order"), AcceptedMessage):
                say(f"owed {ref} {size}")
            if n % 3 == 2 and ref in rig.journal.live:
                rig.relay(ref)
                assert rig.read(ref) == body_of(ref, size)
        for n in range(14):
            if n % 4 and f"t{turn}m{n}" in rig.journal.live:
                say(f"ending t{turn}m{n}")
                rig.end(f"t{turn}m{n}")
                say(f"ended t{turn}m{n}")
        rig.work()
        assert rig.bodies.moves
        if not turn:
            rig.restart()
    rig.restart()


def play(folder, faults):
    """The story in a child; what it said, how it ended, and its operations where it lived."""
    reading, writing = os.pipe()
    child = os.fork()
    if not child:
        os.close(reading)
        try:
            files = Faulty(lambda: faults)
            story(folder, files, lambda text: os.write(writing, f"{text}\n".encode()))
            os.write(writing, f"operations {files.count}\n".encode())
            os._exit(0)
        except BaseException as fault:
            os.write(writing, f"error {type(fault).__name__} {fault} {traceback.format_exc()!r}\n".encode())
            os._exit(1)
    os.close(writing)
    with os.fdopen(reading, encoding="utf-8") as lines:
        said = [line.split(maxsplit=2) for line in lines]
    _, status = os.waitpid(child, 0)
    return said, status


def broken(folder, said):
    """What the next process does not find as it was promised."""
    owed, ending, ended = {}, set(), set()
    for word, ref, *rest in said:
        if word == "owed":
            owed[ref] = int(rest[0])
        elif word == "ending":
            ending.add(ref)
        elif word == "ended":
            ended.add(ref)
    rig, found = Rig(folder=folder, disk=220_000, destination_share=1.0), []
    if rig.lost:
        found.append(f"lost {rig.lost}")
    for ref in owed:
        if ref in ended and ref in rig.journal.live:
            found.append(f"{ref} is owed though it has ended")
        if ref not in ending and ref not in rig.journal.live:
            found.append(f"{ref} is not owed")
    order = [ref for ref in rig.journal.live if ref in owed]
    if order != [ref for ref in owed if ref in rig.journal.live]:
        found.append(f"out of order: {order}")
    for ref, entry in rig.journal.live.items():
        size = owed.get(ref, entry.message.place.size if entry.message.place else len(entry.message.body))
        if rig.read(ref) != body_of(ref, size):
            found.append(f"{ref} has another body")
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
    """All deaths, and the report."""
    with tempfile.TemporaryDirectory() as folder:
        said, status = play(Path(folder), [])
        if status:
            sys.exit(f"the story does not end by itself: {said[-1]}")
        operations = int(said[-1][1])
    deaths, faults = 0, []
    for number in range(1, operations + 1, every):
        with tempfile.TemporaryDirectory() as folder:
            said, status = play(Path(folder), [Fault(Kind(mode), number=number)])
            deaths += os.WIFSIGNALED(status) and os.WTERMSIG(status) == signal.SIGKILL
            if os.WIFEXITED(status) and os.WEXITSTATUS(status):
                faults.append(f"operation {number}: {said[-1]}")
            faults += [f"operation {number}: {text}" for text in broken(Path(folder), said)]
    print(json.dumps({"operations": operations, "deaths": deaths, "broken": faults}))


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
