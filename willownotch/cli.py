"""The sender put together, and the way into the command line.

Without any argument the sender is served, and nothing of the command line's library is loaded: `commands` has
the sub-commands.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
import traceback
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from willownotch.blocks import Blocks
from willownotch.bodies.store import Bodies
from willownotch.files.layer import REAL, Files
from willownotch.handover.lock import FolderLock
from willownotch.handover.predecessor import Predecessor
from willownotch.handover.successor import PredecessorLink, Successor
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.management import server as management
from willownotch.management.calls import Calls
from willownotch.net import config as configs
from willownotch.net import journal as journals
from willownotch.net import memory, slow_start_file, timebase
from willownotch.net.client_side import BACKLOG, ClientSide
from willownotch.net.clock import Clock, seconds
from willownotch.net.decision_loop import KILL_AFTER, DecisionLoop
from willownotch.net.endpoint_side import EndpointSide
from willownotch.net.events import (
    BodyLost,
    BookAcquired,
    BookExpired,
    BookLost,
    SettingsUpdate,
    SharedStateUpdate,
    Stop,
    TenantParts,
)
from willownotch.net.folder import open_folder
from willownotch.net.listening import listen
from willownotch.net.log import Log
from willownotch.net.registry import EndpointListWatcher, Hosts, NoticeSender, Platform
from willownotch.net.sockets import RETRIES
from willownotch.startup import Startup

if TYPE_CHECKING:
    from willownotch.channel.server import Server
    from willownotch.controlplane.sender import Following
    from willownotch.mesh import Mesh

THREAD_TRIES, THREAD_PAUSE_S = 3, 0.01
THREAD_STACK_BYTES = 256 * 1024  # bytes for each thread: nothing here recurses
STOP_AFTER = timedelta(seconds=5)  # from SIGTERM to an end of its own, where no SIGKILL has come
# From SIGTERM, and for what is being read then: SIGKILL may come `KILL_AFTER` on, and what has been read by
# then is to have its answer, which takes `client_side.PATIENCE` at the most.
CLIENT_STOP_DELAY, CLIENT_STOP_GRACE = KILL_AFTER - timedelta(milliseconds=700), timedelta(milliseconds=300)
LAST_RELAYS = timedelta(seconds=20)  # to finish what runs, at the end
MEGABYTE = 1_000_000
CLOCK_BYTES = 2 * 4096  # of the folder's limit: the origin of times, and a new one beside it
SETTINGS_VARIABLE, COMPLETE_VARIABLE = "WILLOWNOTCH_SETTINGS", "_WILLOWNOTCH_COMPLETE"
EXIT_FAULTY, DEAD = 2, 70  # exit codes: bad configuration or command line; a thread has died


class Threads:
    """Starts threads. One that dies takes the process with it: half a sender is worse than none."""

    def __init__(self, log: Log, process: str = "sender") -> None:
        self.log, self.process = log, process

    def start(self, name: str, work: Callable[[], None], forever: bool = False) -> None:
        """Run `work` on a thread; with `forever` even its return counts as a death."""
        for attempt in range(THREAD_TRIES):
            try:
                threading.Thread(
                    target=self._guard, args=(name, work, forever), name=name, daemon=True
                ).start()
                return
            except RuntimeError:  # the machine has no thread to give for the moment
                if attempt + 1 == THREAD_TRIES:
                    raise
                time.sleep(THREAD_PAUSE_S)

    def _guard(self, name: str, work: Callable[[], None], forever: bool) -> None:
        try:
            work()
            if not forever:
                return
            why = "it returned"
        except BaseException:
            why = traceback.format_exc()
        self.log.say("dead", f"thread {name} has died, so the {self.process} ends: {why}")
        os._exit(DEAD)


class Reloads:
    """The configuration that holds now, and what takes its place, whole or not at all: the file on SIGHUP, a
    revision of the fleet's that lies over it. Any thread may call."""

    def __init__(
        self,
        path: str | None,
        config: configs.Config,
        platform: Platform,
        log: Log,
        apply_settings: Callable[[configs.Config], None],
        overlay: configs.Overlay | None = None,
    ) -> None:
        self.path, self.config, self.platform, self.log = path, config, platform, log
        self.apply_settings, self.overlay = apply_settings, overlay
        self._lock = threading.Lock()

    def read_file(self) -> None:
        """Take the file as it is now; one that is not sound changes nothing."""
        with self._lock:
            try:
                self._take(configs.load(self.path, old=self.config, overlay=self.overlay))
            except configs.ConfigError as fault:
                self.log.say("reload", f"the old settings stay: {fault}")

    def lay_over(self, overlay: configs.Overlay) -> configs.Config | None:
        """Take a revision over the file as it is now; `ConfigError`, and nothing changed, if it is not sound.

        The configuration that `retune` was called with, or None if the settings are as before.
        """
        with self._lock:
            before = self.config
            self._take(configs.load(self.path, old=self.config, overlay=overlay))
            self.overlay = overlay
            return self.config if _differs(before, self.config) else None

    def _take(self, read: configs.Config) -> None:
        old = self.config
        fresh, later = configs.retuned(old, read)
        moved = self.platform.move(fresh.discovery)
        host, port = fresh.discovery
        differs = _differs(old, fresh)
        self.log.say(
            "reload",
            f"discovery {'is now' if moved else 'stays'} at {host}:{port}"
            + "; the settings differ" * differs
            + (f"; {', '.join(later)} as changed will hold from the next start" if later else ""),
        )
        self.config = fresh
        if differs:
            self.apply_settings(fresh)


def _differs(old: configs.Config, fresh: configs.Config) -> bool:
    """Whether the owner has to take the other one."""
    return (fresh.settings, fresh.rules, fresh.limits) != (old.settings, old.rules, old.limits)


def load_blocks(path: str | None) -> Blocks:
    """The settings file, if one is named; the parser is loaded only then. `SettingsError` has all
    mistakes."""
    if not path:
        return Blocks()
    from willownotch.settings.reader import load

    return load(path, Blocks)


def reload_settings(
    path: str | None, blocks: Blocks, bodies: Bodies, mesh: Mesh | None, following: Following | None, log: Log
) -> Blocks:
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
        if following is not None and fresh.follow.enabled():
            following.reload(fresh.follow)
    except (ValueError, OSError) as fault:
        log.say("reload", f"the old settings stay: {fault}")
        return blocks
    later += ["journal-share"] * (fresh.bodies.journal_share != blocks.bodies.journal_share)
    later += [
        f"follow {word}"
        for word in ("folder", "listen", "name")
        if getattr(fresh.follow, word) != getattr(blocks.follow, word)
    ]
    later += ["control socket"] * (fresh.control != blocks.control)
    if fresh != blocks:
        bodies.configure(fresh.bodies)
        waiting = ", ".join(filter(None, later))
        log.say(
            "reload",
            f"the settings of {path} hold now"
            + f"; {waiting} as changed will hold from the next start" * bool(waiting),
        )
    return fresh


def open_mesh(
    config: configs.Config,
    blocks: Blocks,
    files: Files,
    journal: journals.Journal,
    log: Log,
    succeeds: bool = False,
) -> tuple[Mesh | None, Server | None]:
    """Peers and the control socket where the settings have them; nothing is loaded where they do not."""
    mesh = channel = None
    if blocks.peers.listen is not None:
        from willownotch.mesh import Mesh

        mesh = Mesh(
            blocks,
            config.name,
            config.state,
            files,
            journal.space,
            log.say,
            log.clock.now,
            config.settings.senders,
        )
        if mesh.counting is not None:
            journal.counting = mesh.counting.counted
            mesh.counting.tenants = tuple(t.name for t in config.settings.tenants)
            mesh.counting.classes = tuple(c.name for c in config.settings.classes)
    if blocks.control.socket is not None:
        from willownotch.channel.server import Server

        channel = Server(blocks.control.socket, replace=succeeds)
        channel.handlers["counters"] = lambda about: {
            "process": os.getpid(),
            "counters": log.counters.snapshot(),
            "retries": RETRIES.snapshot(),
        }
        if mesh is not None:
            mesh.register_handlers(channel)
    return mesh, channel


def open_following(
    config: configs.Config,
    blocks: Blocks,
    reloads: Reloads,
    files: Files,
    log: Log,
    lifecycle: SharedLifecycle,
    channel: Server | None,
    startup: Startup,
) -> Following | None:
    """The side that follows the control plane, where the settings have it; nothing is loaded where not."""
    if not blocks.follow.enabled():
        return None
    from willownotch.controlplane.sender import Following

    try:
        made = startup.attempt(
            "the address of the followed configuration",
            lambda: Following(
                blocks.follow,
                config.name,
                files,
                lambda text: log.say("follow", text),
                reloads.lay_over,
                lambda: lifecycle.current.handed_over,
            ),
        )
    except (OSError, ValueError) as fault:
        print(f"willownotch: cannot start: {fault}", file=sys.stderr)
        sys.stderr.flush()
        os._exit(EXIT_FAULTY)
    if channel is not None:
        channel.handlers["follow"] = lambda about: made.view()
    return made


def serve(
    config: configs.Config,
    path: str | None,
    blocks: Blocks,
    settings_path: str | None = None,
    files: Files = REAL,
    overlay: configs.Overlay | None = None,
) -> int:
    """Run the sender until it is told to stop. `overlay` is the revision of the fleet's that it starts on."""
    signals = {signal.SIGTERM, signal.SIGINT}
    # Before any thread: this one takes them, and the reloading one SIGHUP, which must never end the sender.
    signal.pthread_sigmask(signal.SIG_BLOCK, {*signals, signal.SIGHUP})
    threading.stack_size(THREAD_STACK_BYTES)
    memory.configure_malloc()
    clock = Clock()
    timebase.restore_early(clock, config.state, files)
    log = Log(clock, config.name)
    lifecycle, threads, inherited = SharedLifecycle(), Threads(log), None
    lifecycle.on_change = lambda before, after, event: log.say(
        "state", f"{before.value} to {after.value}: {event.value}, process {os.getpid()}"
    )
    calls = Calls(lifecycle, clock, log)
    startup = Startup(log, lambda: signal.sigtimedwait(signals, 0) is not None)
    origin_unwritten: Callable[[], None] | None = None
    try:
        if config.management is not None:
            # First of all: it answers while the journal is read, too.
            address = startup.attempt(
                "the management address", lambda: listen(config.management, management.BACKLOG)
            )
            operators = management.Server(address, clock, log, calls.table)
            threads.start("management", operators.run, forever=True)
            log.say("start", f"operators are answered at {config.management[0]}:{operators.port}")
        lock = startup.attempt("the folder's lock", lambda: FolderLock(config.state))
        successor = Successor(config.state, lock, clock, log)
        inherited = startup.attempt("the folder's lock", lambda: successor.take(startup.stopped))
        state = inherited.state if inherited else None
        if state is not None:
            clock.adopt(state.clock)
            origin_unwritten = timebase.keep(clock, config.state, files, log)
            fresh, (config, _) = config, configs.retuned(state.config, config)
            config = msgspec.structs.replace(config, management=fresh.management, limits=fresh.limits)
        # Bound before the folder is touched: a process of a version without the lock may still serve there.
        listener = (
            inherited.listener
            if inherited
            else startup.attempt("the address for clients", lambda: listen(config.listen, BACKLOG))
        )
        if state is None:
            origin_unwritten = startup.attempt(
                "the folder", lambda: timebase.restore(clock, config.state, files, log), None
            )
        # Without what is owed there is nothing to start on, however long that takes.
        journal, bodies, lost = startup.attempt(
            "the folder",
            lambda: open_folder(
                config.state,
                int(config.limits.disk_mb * MEGABYTE) - CLOCK_BYTES - slow_start_file.RESERVED_BYTES,
                files,
                clock,
                log,
                config.settings.classes,
                blocks.bodies,
                config.limits.memory_mb,
                state.live if state else None,
            ),
            None,
        )
        hosts = Hosts(tuple(kind.name for kind in config.settings.kinds), config.zones, clock, log)
        decision_loop = DecisionLoop(
            config, clock, log, journal, hosts, bodies, lifecycle, bool(blocks.shared.judgements)
        )
        decision_loop.lost_bodies = lost
        decision_loop.slow_starts = slow_start_file.SlowStartFile(config.state, files, clock, log)
        client_side = ClientSide(
            config, clock, log, decision_loop, bodies, threads.start, lifecycle, listener
        )
        mesh, channel = startup.attempt(
            "addresses of the mesh",
            lambda: open_mesh(config, blocks, files, journal, log, succeeds=inherited is not None),
        )
    except InterruptedError:  # SIGTERM while another process held the folder: nothing was begun
        log.say("end", "ended before anything was taken over")
        os._exit(0)
    except (OSError, ValueError, OverflowError) as fault:
        print(f"willownotch: cannot start: {fault}", file=sys.stderr)
        sys.stderr.flush()
        # Operators may be answered already, and a thread of theirs is no reason to stay
        os._exit(EXIT_FAULTY)
    calls.empty = lambda: threads.start("drain", client_side.close_idle_while_draining)
    for fault in journal.faults:
        log.say("journal", fault)
    bodies.would_reject = decision_loop.would_reject
    bodies.lost = lambda ref: decision_loop.post(BodyLost(ref))
    endpoint_side = EndpointSide(
        config, clock, log, journal, bodies, hosts.by_number, decision_loop.post, threads.start
    )
    platform = Platform(config.discovery)
    notices = NoticeSender(platform, log, decision_loop.notices_answered)
    decision_loop.submit, decision_loop.cancel, decision_loop.close_idle = (
        endpoint_side.submit,
        endpoint_side.cancel,
        endpoint_side.close_idle,
    )
    decision_loop.notify = notices.post
    if mesh is not None and mesh.shared is not None:
        decision_loop.shared, mesh.shared.tell = (
            mesh.shared,
            lambda found: decision_loop.post(SharedStateUpdate(found)),
        )
        mesh.shared.endpoints = lambda: {h.name: h.destination for h in list(hosts.by_number.values())}
    keeper = mesh.keeper if mesh is not None else None
    if keeper is not None:
        decision_loop.custody = endpoint_side.custody = keeper
        journal.shipping, keeper.entries, keeper.read_body = keeper.wrote, journal.entries, bodies.read
        keeper.won = lambda won: decision_loop.post(BookAcquired(won))
        keeper.lost = lambda book: decision_loop.post(BookLost(book))
        keeper.expired = lambda expired: decision_loop.post(BookExpired(expired))
        try:
            keeper.open(journal.live)
        except OSError as fault:
            print(f"willownotch: cannot start: {fault}", file=sys.stderr)
            sys.stderr.flush()
            os._exit(EXIT_FAULTY)

    registry = EndpointListWatcher(config, platform, log, clock, decision_loop.post)
    if state is not None:
        endpoint_side.adopt(state.waits, inherited.idle)
        if state.discovery == config.discovery:  # else its versions say nothing
            registry.index = state.list_index
    if inherited is not None:
        predecessor_link = PredecessorLink(inherited, log, decision_loop, endpoint_side, client_side)
        decision_loop.cancel = lambda relay: (predecessor_link if relay.remote else endpoint_side).cancel(
            relay
        )

    def retuned(fresh: configs.Config) -> None:
        """By the owner, in the round from which the settings hold."""
        bodies.apply_settings(fresh.settings.classes)
        client_side.apply_settings(fresh)
        endpoint_side.apply_settings(fresh)
        if following is not None:
            following.holds(fresh)

    decision_loop.retuned = retuned
    reloads = Reloads(
        path, config, platform, log, lambda fresh: decision_loop.post(SettingsUpdate(fresh)), overlay
    )
    following = open_following(config, blocks, reloads, files, log, lifecycle, channel, startup)

    def take_reloads() -> None:
        held = blocks
        if inherited is not None:  # the file may have changed after this process had read it
            reloads.read_file()
        while True:  # also while the sender ends: its notices follow the platform to the last
            signal.sigwait({signal.SIGHUP})
            reloads.read_file()
            held = reload_settings(settings_path, held, bodies, mesh, following, log)

    if mesh is not None:
        if mesh.counting is not None:
            mesh.counting.tell = lambda parts: decision_loop.post(TenantParts(parts))
        mesh.start(threads.start)
    if channel is not None:
        threads.start("control", channel.run)
    if state is not None:
        decision_loop.adopt(state)  # at once: clients may be answered from here on
    if inherited is not None:
        threads.start("predecessor", predecessor_link.run)
    if origin_unwritten is not None:
        threads.start("clock", origin_unwritten)
    threads.start("reload", take_reloads, forever=True)
    threads.start("bodies", bodies.run, forever=True)
    if following is not None:
        threads.start("follow", following.run)
    threads.start("owner", decision_loop.run, forever=True)
    threads.start("watch", registry.run, forever=True)
    threads.start("notices", notices.run, forever=True)
    threads.start("listener", client_side.run, forever=True)
    predecessor = Predecessor(
        config.state,
        lock,
        clock,
        log,
        lifecycle,
        decision_loop,
        endpoint_side,
        client_side,
        bodies,
        threads.start,
    )
    if inherited is not None:
        predecessor.predecessor_gone = predecessor_link.gone.is_set
    if mesh is not None:  # its addresses are the next process's
        predecessor.release_steps.append(mesh.stop)
    if following is not None:
        predecessor.release_steps.append(following.stop)
    # Custody stays with a process: the next one claims it, as any other sender would.
    if keeper is None:
        threads.start("upgrade", predecessor.run)
    log.say("start", f"listening on {config.listen[0]}:{client_side.port}, journal in {config.state}")
    told = signal.sigwait(signals)
    if told == signal.SIGTERM:
        lifecycle.tell(Event.STOP, clock.now())  # no hand-over begins from now on
    if lifecycle.wait_handed_over():  # it ends by itself, once its calls have
        threading.Event().wait()
    if told == signal.SIGTERM:
        endpoint_side.stopping = True
        decision_loop.post(Stop())
        told = signal.sigtimedwait(signals, seconds(CLIENT_STOP_DELAY))
        log.say("stop", "clients are let go, before a kill leaves their requests without an answer")
        client_side.stop(CLIENT_STOP_GRACE)
        if told is None:  # what is held goes on: the longer, the less is left for the next process
            signal.sigtimedwait(signals, seconds(STOP_AFTER - CLIENT_STOP_DELAY))
        for number in signals:  # whoever asks a third time does not want to wait
            signal.signal(number, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)
        endpoint_side.finish(LAST_RELAYS)
    if following is not None:
        following.stop()
    if mesh is not None:
        mesh.stop()
    if channel is not None:
        channel.close()
    log.say("end", f"ended; what is still owed stands in the journal; {log.counters.summary()}")
    sys.stderr.flush()
    os._exit(0)


class Found(NamedTuple):
    """What there is to start on. With a mistake, a line each, nothing may be started."""

    config: configs.Config | None
    blocks: Blocks
    overlay: configs.Overlay | None  # the revision that was in force last, where members are followed
    mistakes: list[str]


def read_files(config_path: str | None, settings_path: str | None) -> Found:
    """Both files, the revision that lies over the configuration, and all that is wrong with them."""
    mistakes, config, blocks, overlay = [], None, Blocks(), None
    try:
        config = configs.load(config_path)
    except configs.ConfigError as fault:
        mistakes.append(f"willownotch: {fault}".replace("\n", " "))
    try:
        blocks = load_blocks(settings_path)
    except ValueError as fault:
        mistakes += str(fault).splitlines()
    for keys in filter(None, {blocks.peers.keys, blocks.follow.keys}):
        from willownotch.peers.keys import load_keys

        try:
            load_keys(keys)
        except ValueError as fault:
            mistakes.append(str(fault))
    if config is not None and blocks.follow.enabled():
        from willownotch.controlplane.sender import kept_overlay
        from willownotch.controlplane.store import StoreError

        try:
            overlay = kept_overlay(blocks.follow, config.name)
            config = configs.load(config_path, overlay=overlay)
        except (ValueError, OSError, StoreError) as fault:
            mistakes.append(f"willownotch: with the revision kept in {blocks.follow.folder}: {fault}")
    if config is not None:
        known = [c.name for c in config.settings.classes]
        unknown = sorted(set(blocks.bodies.class_) - set(known))
        if unknown:
            mistakes.append(
                f"{settings_path}: block bodies names classes that the configuration does not "
                f"have: {', '.join(unknown)}, allowed: {', '.join(known)}"
            )
    return Found(config, blocks, overlay, mistakes)


def start(config_path: str | None, settings_path: str | None, files: Files = REAL) -> int:
    """Serve, if both files are sound; the exit code."""
    found = read_files(config_path, settings_path)
    if found.mistakes or found.config is None:
        print("\n".join(found.mistakes), file=sys.stderr)
        return EXIT_FAULTY
    return serve(found.config, config_path, found.blocks, settings_path, files, found.overlay)


def main(arguments: list[str] | None = None, files: Files = REAL) -> int:
    """Carry out one command and return the exit code. A sender keeps its folder by `files`."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if not arguments and COMPLETE_VARIABLE not in os.environ:  # a shell that completes gives none either
        return start(None, os.environ.get(SETTINGS_VARIABLE), files)
    from willownotch import commands

    return commands.run(arguments)
