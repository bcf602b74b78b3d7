"""The command line: `serve` (the default), `check`, `journal`, `bodies`, `peers`, `usage`, `version`."""
from __future__ import annotations

import argparse
import os
import signal
import sys
import threading
import traceback
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from willownotch import __version__
from willownotch.blocks import Blocks
from willownotch.bodies.store import Bodies
from willownotch.files.layer import REAL, Files
from willownotch.net import config as configs
from willownotch.net import journal as journals
from willownotch.net import memory
from willownotch.net.clock import Clock, seconds
from willownotch.net.folder import open_folder
from willownotch.net.log import Log
from willownotch.net.north import North
from willownotch.net.owner import BodyLost, Owner, Stop, TenantParts
from willownotch.net.registry import Hosts, Notices, Platform, Registry
from willownotch.net.south import South

if TYPE_CHECKING:
    from willownotch.channel.server import Server
    from willownotch.mesh import Mesh

STACK = 256 * 1024  # bytes for each thread: nothing here recurses
STOP_AFTER = timedelta(seconds=5)  # from SIGTERM to an end of its own, where no SIGKILL has come
LAST_ANSWERS, LAST_RELAYS = timedelta(seconds=1), timedelta(seconds=20)  # to finish what runs, after that
MEGABYTE = 1_000_000
SETTINGS_VARIABLE = "WILLOWNOTCH_SETTINGS"
FAULTY, DEAD = 2, 70  # exit codes: bad configuration or command line; a thread has died


class Threads:
    """Starts threads. One that dies takes the process with it: half a sender is worse than none."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def start(self, name: str, work: Callable[[], None], forever: bool = False) -> None:
        """Run `work` on a thread; with `forever` even its return counts as a death."""
        threading.Thread(target=self._guard, args=(name, work, forever), name=name, daemon=True).start()

    def _guard(self, name: str, work: Callable[[], None], forever: bool) -> None:
        try:
            work()
            if not forever:
                return
            why = "it returned"
        except BaseException:
            why = traceback.format_exc()
        self.log.say("dead", f"thread {name} has died, so the sender ends: {why}")
        os._exit(DEAD)


def reload(path: str | None, config: configs.Config, platform: Platform, log: Log) -> None:
    """Take a replaced file, whole or not at all. Only where the platform is can change in service."""
    try:
        fresh = configs.load(path)
    except configs.ConfigError as fault:
        log.say("reload", f"the old settings stay: {fault}")
        return
    moved = platform.move(fresh.discovery)
    names = ("name", "listen", "state", "limits", "settings", "zones")
    later = [name for name in names if getattr(fresh, name) != getattr(config, name)]
    host, port = fresh.discovery
    log.say("reload", f"discovery {'is now' if moved else 'stays'} at {host}:{port}"
            + (f"; {', '.join(later)} as changed will hold from the next start" if later else ""))


def load_blocks(path: str | None) -> Blocks:
    """The settings file, if one is named; the parser is loaded only then. `SettingsError` has all
    mistakes."""
    if not path:
        return Blocks()
    from willownotch.settings.reader import load

    return load(path, Blocks)


def reload_settings(path: str | None, blocks: Blocks, bodies: Bodies, mesh: Mesh | None, log: Log) -> Blocks:
    """Take a replaced settings file, whole or not at all; the blocks that hold now."""
    if not path:
        return blocks
    later = []
    try:
        fresh = load_blocks(path)
        if mesh is not None:  # also where the file is as before: its keys may not be
            later += [mesh.reload(fresh)]
        elif fresh.peers.listen != blocks.peers.listen:
            later += ["peers listen"]
    except (ValueError, OSError) as fault:
        log.say("reload", f"the old settings stay: {fault}")
        return blocks
    later += ["journal-share"] * (fresh.bodies.journal_share != blocks.bodies.journal_share)
    later += ["control socket"] * (fresh.control != blocks.control)
    if fresh != blocks:
        bodies.configure(fresh.bodies)
        waiting = ", ".join(filter(None, later))
        log.say("reload", f"the settings of {path} hold now"
                + f"; {waiting} as changed will hold from the next start" * bool(waiting))
    return fresh


def open_mesh(config: configs.Config, blocks: Blocks, files: Files, journal: journals.Journal,
              log: Log) -> tuple[Mesh | None, Server | None]:
    """Peers and the control socket where the settings have them; nothing is loaded where they do not."""
    mesh = channel = None
    if blocks.peers.listen is not None:
        from willownotch.mesh import Mesh

        mesh = Mesh(blocks, config.name, config.state, files, journal.space, log.say)
        if mesh.counting is not None:
            journal.counting = mesh.counting.counted
            mesh.counting.tenants = tuple(t.name for t in config.settings.tenants)
            mesh.counting.classes = tuple(c.name for c in config.settings.classes)
    if blocks.control.socket is not None:
        from willownotch.channel.server import Server

        channel = Server(blocks.control.socket)
        if mesh is not None:
            mesh.answer_on(channel)
    return mesh, channel


def serve(config: configs.Config, path: str | None, blocks: Blocks, settings_path: str | None = None,
          files: Files = REAL) -> int:
    """Run the sender until it is told to stop."""
    signals = {signal.SIGTERM, signal.SIGINT}
    # Before any thread: this one takes them, and the reloading one SIGHUP, which must never end the sender.
    signal.pthread_sigmask(signal.SIG_BLOCK, {*signals, signal.SIGHUP})
    threading.stack_size(STACK)
    memory.settle()
    clock = Clock()
    log = Log(clock, config.name)
    try:
        journal, bodies, lost = open_folder(
            config.state, int(config.limits.disk_mb * MEGABYTE), files, clock, log, config.settings.classes,
            blocks.bodies, config.limits.memory_mb,
        )
        threads = Threads(log)
        hosts = Hosts(tuple(kind.name for kind in config.settings.kinds), config.zones, clock, log)
        owner = Owner(config, clock, log, journal, hosts, bodies)
        owner.lost_bodies = lost
        north = North(config, clock, log, owner, bodies, threads.start)
        mesh, channel = open_mesh(config, blocks, files, journal, log)
    except (OSError, ValueError) as fault:
        print(f"willownotch: cannot start: {fault}", file=sys.stderr)
        return FAULTY
    for fault in journal.faults:
        log.say("journal", fault)
    bodies.turned_away = owner.turned_away
    bodies.lost = lambda ref: owner.post(BodyLost(ref))
    south = South(config, clock, log, journal, bodies, hosts.by_number, owner.post, threads.start)
    platform = Platform(config.discovery)
    notices = Notices(platform, log, owner.noticed)
    owner.submit, owner.call_off, owner.close_idle = south.submit, south.call_off, south.close_idle
    owner.notify = notices.post

    def take_reloads() -> None:
        held = blocks
        while True:  # also while the sender ends: its notices follow the platform to the last
            signal.sigwait({signal.SIGHUP})
            reload(path, config, platform, log)
            held = reload_settings(settings_path, held, bodies, mesh, log)

    if mesh is not None:
        if mesh.counting is not None:
            mesh.counting.tell = lambda parts: owner.post(TenantParts(parts))
        mesh.start(lambda name, work: threads.start(name, work))
    if channel is not None:
        threads.start("control", channel.run)
    threads.start("reload", take_reloads, forever=True)
    threads.start("bodies", bodies.run, forever=True)
    threads.start("owner", owner.run, forever=True)
    threads.start("watch", Registry(config, platform, log, owner.post).run, forever=True)
    threads.start("notices", notices.run, forever=True)
    threads.start("listener", north.run, forever=True)
    log.say("start", f"listening on {config.listen[0]}:{north.port}, journal in {config.state}")
    if signal.sigwait(signals) == signal.SIGTERM:
        owner.post(Stop())
        signal.sigtimedwait(signals, seconds(STOP_AFTER))
        for number in signals:  # whoever asks a third time does not want to wait
            signal.signal(number, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)
        north.stop(LAST_ANSWERS)
        south.finish(LAST_RELAYS)
    if mesh is not None:
        mesh.stop()
    if channel is not None:
        channel.close()
    log.say("end", "ended; what is still owed stands in the journal")
    sys.stderr.flush()
    os._exit(0)


def show_journal(folder: Path) -> int:
    """Print what a journal holds, a line for each message that is not over."""
    try:
        data = (folder / journals.NAME).read_bytes()
    except OSError as fault:
        print(f"willownotch: the journal cannot be read: {fault}", file=sys.stderr)
        return FAULTY
    live, damaged = journals.replay(data)
    for entry in live.values():
        taken, runs = entry.taken, [entry.may_have_run(n) for n in range(entry.count())]
        state = f"notice unanswered ({entry.ended.outcome})" if entry.ended else "owed"
        print(f"{taken.ref} dest={taken.destination} {taken.message_class} until {taken.ends_at:%H:%M:%S.%f} "
              f"key={taken.key or '-'} relays={len(runs)} may_have_run={sum(runs)} "
              f"body={taken.body_size()} {state}")
    print(f"{len(live)} messages, {len(data)} bytes, {damaged} of them damaged")
    return 0


def show_bodies(folder: Path, as_json: bool, verify: bool) -> int:
    """Print what bodies a folder keeps; 1 if any is missing or damaged."""
    from willownotch.bodies import show

    try:
        live, _ = journals.replay((folder / journals.NAME).read_bytes())
        owed = [entry.taken for entry in live.values() if entry.ended is None]
        kept = show.look(folder, owed, Clock().now(), verify)
    except OSError as fault:
        print(f"willownotch: the folder cannot be read: {fault}", file=sys.stderr)
        return FAULTY
    print(msgspec.json.encode(kept).decode() if as_json else show.table(kept))
    return 1 if kept.damaged else 0


def ask(parsed: argparse.Namespace) -> int:
    """Ask a running sender, and print its answer as a table or as JSON."""
    from willownotch.channel import client, tables

    path = parsed.socket
    try:
        if path is None:
            path = load_blocks(parsed.settings).control.socket
        if path is None:
            print("willownotch: which sender? wanted: --socket PATH, or --settings FILE whose block control "
                  "names a socket", file=sys.stderr)
            return FAULTY
        about = {word: str(value) for word in ("tenant", "lines")
                 if (value := getattr(parsed, word, None)) is not None}
        found = client.ask(path, parsed.command, about)
    except (client.AskError, ValueError) as fault:
        print(f"willownotch: {fault}", file=sys.stderr)
        return FAULTY
    print(msgspec.json.encode(found).decode() if parsed.json else tables.TABLES[parsed.command](found))
    return 0


def parse(arguments: list[str] | None) -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser("willownotch", description="Delivers messages to partner systems.")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    for name, text in (("serve", "run the sender (the default)"), ("check", "check a configuration")):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--config", metavar="FILE", help="the configuration (else $LB_CONFIG)")
        command.add_argument("--settings", metavar="FILE", default=os.environ.get(SETTINGS_VARIABLE),
                             help=f"the settings file, if any (else ${SETTINGS_VARIABLE})")
    command = commands.add_parser("journal", help="show what a journal holds")
    command.add_argument("folder", nargs="?", default=os.environ.get("LB_STATE", "."), type=Path)
    command = commands.add_parser("bodies", help="show what bodies a folder keeps, by class and destination")
    command.add_argument("folder", nargs="?", default=os.environ.get("LB_STATE", "."), type=Path)
    command.add_argument("--json", action="store_true", help="as one JSON object")
    command.add_argument("--verify", action="store_true", help="read every body and compare its checksum")
    for name, text in (("peers", "show what a running sender knows of its peers"),
                       ("usage", "show the usage of all instances as a running sender knows it")):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--socket", metavar="PATH", help="the sender's control socket")
        command.add_argument("--settings", metavar="FILE", default=os.environ.get(SETTINGS_VARIABLE),
                             help=f"else the settings file that names it (else ${SETTINGS_VARIABLE})")
        command.add_argument("--json", action="store_true", help="as one JSON object")
        if name == "usage":
            command.add_argument("--tenant", help="of this tenant only")
            command.add_argument("--lines", type=int, help="lines at the most, the highest counts first")
    command = commands.add_parser("load", help="send messages at a sender on an open loop, and measure")
    command.add_argument("target", help="the sender's north side, ADDRESS:PORT")
    command.add_argument("--settings", metavar="FILE", help="the file with the block load")
    command.add_argument("--trace", metavar="FILE", help="send this trace, not what the block describes")
    command.add_argument("--speed", type=float, default=1.0, help="times as fast as planned")
    command.add_argument("--workers", type=int, default=1, help="processes that send")
    command.add_argument("--json", action="store_true", help="as one JSON object")
    command.add_argument("--write-trace", metavar="FILE", help="send nothing, write the plan as a trace")
    command = commands.add_parser("trace", help="write what a journal says was handed in as a trace")
    command.add_argument("folder", type=Path)
    command.add_argument("to", type=Path)
    command = commands.add_parser("play", help="play a scenario in simulated time")
    command.add_argument("scenario", nargs="?", help="the file with the block scenario; else a busy day")
    command.add_argument("--policy", default="module")
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--json", action="store_true", help="as one JSON object")
    command = commands.add_parser("experiment", help="play what an experiment lacks, write its report")
    command.add_argument("file", help="the file with the block experiment")
    command.add_argument("--database", metavar="FILE", help="where results are kept (else beside the file)")
    command.add_argument("--report", metavar="FILE", help="where the report goes (else beside the file)")
    command.add_argument("--workers", type=int, help="processes (else one a core)")
    commands.add_parser("version", help="print the version")
    parsed = parser.parse_args(arguments)
    if parsed.command is None:
        parsed.command, parsed.config = "serve", None
        parsed.settings = os.environ.get(SETTINGS_VARIABLE)
    return parsed


def main(arguments: list[str] | None = None, files: Files = REAL) -> int:
    """Carry out one command and return the exit code. A sender keeps its folder by `files`."""
    parsed = parse(arguments)
    if parsed.command == "version":
        print(f"willownotch {__version__}")
        return 0
    if parsed.command == "journal":
        return show_journal(parsed.folder)
    if parsed.command == "load":
        from willownotch.lab.load import command

        return command.main(parsed.target, parsed.settings, parsed.trace, parsed.speed, parsed.workers,
                            parsed.json, parsed.write_trace)
    if parsed.command in ("experiment", "play"):
        from willownotch.lab.experiment import command

        if parsed.command == "play":
            return command.one(parsed.scenario, parsed.policy, parsed.seed, parsed.json)
        return command.experiment(parsed.file, parsed.database, parsed.workers, parsed.report)
    if parsed.command == "trace":
        from willownotch.lab.load import command

        return command.export(parsed.folder, parsed.to)
    if parsed.command in ("peers", "usage"):
        return ask(parsed)
    if parsed.command == "bodies":
        return show_bodies(parsed.folder, parsed.json, parsed.verify)
    mistakes, config, blocks = [], None, Blocks()
    try:
        config = configs.load(parsed.config)
    except configs.ConfigError as fault:
        mistakes.append(f"willownotch: {fault}".replace("\n", " "))
    try:
        blocks = load_blocks(parsed.settings)
    except ValueError as fault:
        mistakes += str(fault).splitlines()
    if blocks.peers.keys is not None:
        from willownotch.mesh import load_keys

        try:
            load_keys(blocks.peers.keys)
        except ValueError as fault:
            mistakes.append(str(fault))
    if mistakes:
        print("\n".join(mistakes), file=sys.stderr)
        return FAULTY
    unknown = sorted(set(blocks.bodies.class_) - {c.name for c in config.settings.classes})
    if unknown:
        print(f"{parsed.settings}: block bodies names classes that the configuration does not have: "
              f"{', '.join(unknown)}, allowed: {', '.join(c.name for c in config.settings.classes)}",
              file=sys.stderr)
        return FAULTY
    if parsed.command == "check":
        print(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
              f"{len(config.settings.classes)} classes, {config.settings.slots} slots, "
              f"room for {config.settings.holding_room} messages")
        return 0
    return serve(config, parsed.config, blocks, parsed.settings, files)
