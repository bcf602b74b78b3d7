"""Builds and runs the sender; the entry point of the command line.

Without arguments it serves, and does not load the command-line library. The sub-commands are in `commands`.
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
    LateEntriesFound,
    SettingsUpdate,
    SharedStateUpdate,
    Stop,
    TenantParts,
)
from willownotch.net.folder import open_folder
from willownotch.net.list_watch import EndpointListWatcher
from willownotch.net.listening import listen
from willownotch.net.log import Log
from willownotch.net.notices import NoticeSender
from willownotch.net.registry import Hosts, Platform
from willownotch.net.sockets import RETRIES
from willownotch.startup import RETRY_TIMEOUT, Startup

if TYPE_CHECKING:
    from willownotch.channel.server import Server
    from willownotch.controlplane.sender import FollowerThread
    from willownotch.mesh import Mesh

MAX_THREAD_TRIES, THREAD_RETRY_DELAY_S = 3, 0.01
THREAD_STACK_BYTES = 256 * 1024  # enough, since nothing here recurses
STOP_TIMEOUT = timedelta(seconds=5)  # from SIGTERM to the process's own end, if no SIGKILL comes
# From SIGTERM until clients are closed, and then for requests that are still being read. SIGKILL may come
# after `KILL_AFTER`, and by then each request that was read must be answered, which takes up to
# `client_side.DECISION_TIMEOUT`.
CLIENT_STOP_DELAY, CLIENT_STOP_GRACE = KILL_AFTER - timedelta(milliseconds=700), timedelta(milliseconds=300)
RELAY_STOP_TIMEOUT = timedelta(seconds=20)  # for calls in progress, at the end
BYTES_PER_MB = 1_000_000
CLOCK_FILES_BYTES = 2 * 4096  # of the folder's limit: the clock's origin, and a new file that replaces it
SETTINGS_VARIABLE, COMPLETE_VARIABLE = "WILLOWNOTCH_SETTINGS", "_WILLOWNOTCH_COMPLETE"
EXIT_FAULTY, EXIT_THREAD_DIED = 2, 70  # the first: bad configuration or command line


class Threads:
    """Starts threads. If one dies the process exits, since a sender without it would only look alive."""

    def __init__(self, log: Log, process: str = "sender") -> None:
        self.log, self.process = log, process

    def start(self, name: str, work: Callable[[], None], forever: bool = False) -> None:
        """Run `work` on a thread. With `forever` the process exits also if `work` returns."""
        for attempt in range(MAX_THREAD_TRIES):
            try:
                threading.Thread(
                    target=self._run_or_exit, args=(name, work, forever), name=name, daemon=True
                ).start()
                return
            except RuntimeError:  # the system cannot start another thread now
                if attempt + 1 == MAX_THREAD_TRIES:
                    raise
                time.sleep(THREAD_RETRY_DELAY_S)

    def _run_or_exit(self, name: str, work: Callable[[], None], forever: bool) -> None:
        try:
            work()
            if not forever:
                return
            why = "it returned"
        except BaseException:
            why = traceback.format_exc()
        self.log.say("dead", f"thread {name} has died, so the {self.process} ends: {why}")
        os._exit(EXIT_THREAD_DIED)


class ConfigReloader:
    """Replaces the configuration, completely or not at all: by the file on SIGHUP, or by a fleet revision.

    A revision is laid over the file's content. Any thread may call.
    """

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

    def reload_file(self) -> None:
        """Read the file again. An invalid file changes nothing."""
        with self._lock:
            try:
                self._apply(configs.load(self.path, old=self.config, overlay=self.overlay))
            except configs.ConfigError as fault:
                self.log.say("reload", f"the old settings stay: {fault}")

    def apply_overlay(self, overlay: configs.Overlay) -> configs.Config | None:
        """Read the file again and apply a revision to it. Returns the new configuration, None if it is equal.

        Raises `ConfigError`, and changes nothing, if the result is invalid.
        """
        with self._lock:
            before = self.config
            self._apply(configs.load(self.path, old=self.config, overlay=overlay))
            self.overlay = overlay
            return self.config if _settings_differ(before, self.config) else None

    def _apply(self, read: configs.Config) -> None:
        old = self.config
        new, at_restart = configs.retuned(old, read)
        moved = self.platform.move(new.discovery)
        host, port = new.discovery
        differs = _settings_differ(old, new)
        self.log.say(
            "reload",
            f"discovery {'is now' if moved else 'stays'} at {host}:{port}"
            + "; the settings differ" * differs
            + (f"; {', '.join(at_restart)} as changed will hold from the next start" if at_restart else ""),
        )
        self.config = new
        if differs:
            self.apply_settings(new)


def _settings_differ(old: configs.Config, new: configs.Config) -> bool:
    """Whether the decision loop has to be given the new configuration."""
    return (new.settings, new.rules, new.limits) != (old.settings, old.rules, old.limits)


def load_blocks(path: str | None) -> Blocks:
    """The blocks of the settings file; defaults if none is named, without loading the parser.

    Raises `SettingsError` with all mistakes in the file.
    """
    if not path:
        return Blocks()
    from willownotch.settings.reader import load

    return load(path, Blocks)


def reload_settings(
    path: str | None,
    blocks: Blocks,
    bodies: Bodies,
    mesh: Mesh | None,
    following: FollowerThread | None,
    log: Log,
) -> Blocks:
    """Apply a replaced settings file, completely or not at all. Returns the blocks now in force."""
    if not path:
        return blocks
    at_restart = []
    try:
        new = load_blocks(path)
        if mesh is not None:  # also if the file is unchanged: the key file that it names may differ
            at_restart += [mesh.reload(new)]
        elif new.peers.listen != blocks.peers.listen:
            at_restart += ["peers listen"]
        if following is not None and new.follow.enabled():
            following.reload(new.follow)
    except (ValueError, OSError) as fault:
        log.say("reload", f"the old settings stay: {fault}")
        return blocks
    at_restart += ["journal-share"] * (new.bodies.journal_share != blocks.bodies.journal_share)
    at_restart += [
        f"follow {word}"
        for word in ("folder", "listen", "name")
        if getattr(new.follow, word) != getattr(blocks.follow, word)
    ]
    at_restart += ["control socket"] * (new.control != blocks.control)
    if new != blocks:
        bodies.configure(new.bodies)
        waiting = ", ".join(filter(None, at_restart))
        log.say(
            "reload",
            f"the settings of {path} hold now"
            + f"; {waiting} as changed will hold from the next start" * bool(waiting),
        )
    return new


def open_mesh(
    config: configs.Config,
    blocks: Blocks,
    files: Files,
    journal: journals.Journal,
    log: Log,
    succeeds: bool = False,
) -> tuple[Mesh | None, Server | None]:
    """Open peers and the control socket if the settings have them; otherwise their modules are not loaded."""
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
            journal.counting = mesh.counting.count_messages
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
    reloader: ConfigReloader,
    files: Files,
    log: Log,
    lifecycle: SharedLifecycle,
    channel: Server | None,
    startup: Startup,
    timeout: timedelta | None,
) -> FollowerThread | None:
    """Follow the control plane if the settings say so; otherwise its modules are not loaded.

    `timeout` is for its address, which another process may have; None: without end.
    """
    if not blocks.follow.enabled():
        return None
    from willownotch.controlplane.sender import FollowerThread

    try:
        following = startup.attempt(
            "the address of the followed configuration",
            lambda: FollowerThread(
                blocks.follow,
                config.name,
                files,
                lambda text: log.say("follow", text),
                reloader.apply_overlay,
                lambda: lifecycle.current.handed_over,
            ),
            timeout,
        )
    except (OSError, ValueError) as fault:
        print(f"willownotch: cannot start: {fault}", file=sys.stderr)
        sys.stderr.flush()
        os._exit(EXIT_FAULTY)
    if channel is not None:
        channel.handlers["follow"] = lambda about: following.view()
    return following


def serve(
    config: configs.Config,
    path: str | None,
    blocks: Blocks,
    settings_path: str | None = None,
    files: Files = REAL,
    overlay: configs.Overlay | None = None,
) -> int:
    """Run the sender until it is told to stop. `overlay` is the fleet's revision to start with."""
    signals = {signal.SIGTERM, signal.SIGINT}
    # Before any thread starts: this thread receives the signals to stop, and the reloading thread SIGHUP,
    # which must never end the sender.
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
    write_origin: Callable[[], None] | None = None
    try:
        if config.management is not None:
            # Before anything else, so that it answers while the journal is read.
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
            write_origin = timebase.keep(clock, config.state, files, log)
            new, (config, _) = config, configs.retuned(state.config, config)
            config = msgspec.structs.replace(config, management=new.management, limits=new.limits)
        # Bound before the folder is opened: a process of a version without the lock may still be using it.
        listener = (
            inherited.listener
            if inherited
            else startup.attempt("the address for clients", lambda: listen(config.listen, BACKLOG))
        )
        if state is None:
            write_origin = startup.attempt(
                "the folder", lambda: timebase.restore(clock, config.state, files, log), None
            )
        # Without the outstanding messages the sender must not start, however long it takes to read them.
        journal, bodies, lost = startup.attempt(
            "the folder",
            lambda: open_folder(
                config.state,
                int(config.limits.disk_mb * BYTES_PER_MB)
                - CLOCK_FILES_BYTES
                - slow_start_file.RESERVED_BYTES,
                files,
                clock,
                log,
                config.settings.classes,
                blocks.bodies,
                config.limits.memory_mb,
                state.live if state else None,
                state.ended if state else (),
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
            None if inherited else RETRY_TIMEOUT,  # the process before may have them until it ends
        )
    except InterruptedError:  # SIGTERM while another process held the folder
        log.say("end", "stopped before it took anything over")
        os._exit(0)
    except (OSError, ValueError, OverflowError) as fault:
        print(f"willownotch: cannot start: {fault}", file=sys.stderr)
        sys.stderr.flush()
        os._exit(EXIT_FAULTY)  # at once: the management thread may be running already
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
    decision_loop.submit, decision_loop.cancel = endpoint_side.submit, endpoint_side.cancel
    decision_loop.notify = notices.post
    if mesh is not None and mesh.shared is not None:
        decision_loop.shared, mesh.shared.tell = (
            mesh.shared,
            lambda found: decision_loop.post(SharedStateUpdate(found)),
        )
        mesh.shared.endpoints = lambda: {h.name: h.destination for h in list(hosts.by_number.values())}
    custody_service = mesh.custody_service if mesh is not None else None
    if custody_service is not None:
        decision_loop.custody = endpoint_side.custody = custody_service
        journal.shipping, custody_service.entries, custody_service.read_body = (
            custody_service.on_written,
            journal.entries,
            bodies.read,
        )
        custody_service.on_acquired = lambda acquired: decision_loop.post(BookAcquired(acquired))
        custody_service.on_late_entries = lambda late: decision_loop.post(LateEntriesFound(late))
        custody_service.on_lost = lambda lost: decision_loop.post(BookLost(lost))
        custody_service.on_expired = lambda expired: decision_loop.post(BookExpired(expired))
        try:
            custody_service.open(journal.live, journal.finished)
        except OSError as fault:
            print(f"willownotch: cannot start: {fault}", file=sys.stderr)
            sys.stderr.flush()
            os._exit(EXIT_FAULTY)

    registry = EndpointListWatcher(config, platform, log, clock, decision_loop.post)
    if state is not None:
        endpoint_side.conditions.waits.update(state.waits)
        if state.discovery == config.discovery:  # another service counts other versions
            registry.versions.index = state.list_index
    if inherited is not None:
        predecessor_link = PredecessorLink(inherited, log, decision_loop, endpoint_side, client_side)
        decision_loop.cancel = lambda relay: (predecessor_link if relay.remote else endpoint_side).cancel(
            relay
        )

    def retuned(new: configs.Config) -> None:
        """Called by the decision loop, in the round from which the settings apply."""
        bodies.apply_settings(new.settings.classes)
        client_side.apply_settings(new)
        endpoint_side.apply_settings(new)
        if following is not None:
            following.config_applied(new)

    decision_loop.retuned, decision_loop.listed = retuned, client_side.endpoints_listed
    reloader = ConfigReloader(
        path, config, platform, log, lambda new: decision_loop.post(SettingsUpdate(new)), overlay
    )
    following = open_following(
        config,
        blocks,
        reloader,
        files,
        log,
        lifecycle,
        channel,
        startup,
        None if inherited else RETRY_TIMEOUT,
    )

    def handle_sighup() -> None:
        current_blocks = blocks
        if inherited is not None:  # the file may have changed since this process read it
            reloader.reload_file()
        while True:  # also while the sender stops: its notices go to the current platform until the end
            signal.sigwait({signal.SIGHUP})
            reloader.reload_file()
            current_blocks = reload_settings(settings_path, current_blocks, bodies, mesh, following, log)

    if mesh is not None:
        if mesh.counting is not None:
            mesh.counting.on_quota_shares = lambda parts: decision_loop.post(TenantParts(parts))
        mesh.start(threads.start)
    if channel is not None:
        threads.start("control", channel.run)
    if state is not None:
        decision_loop.adopt(state)  # at once: from here on clients may be answered
    if inherited is not None:
        threads.start("predecessor", predecessor_link.run)
    if write_origin is not None:
        threads.start("clock", write_origin)
    threads.start("reload", handle_sighup, forever=True)
    threads.start("bodies", bodies.run, forever=True)
    if following is not None:
        threads.start("follow", following.run)
    threads.start("owner", decision_loop.run, forever=True)
    threads.start("watch", registry.run, forever=True)
    threads.start("notices", notices.run, forever=True)
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
    if mesh is not None:  # the next process needs its addresses
        predecessor.release_steps.append(mesh.hand_over)
    if following is not None:
        predecessor.release_steps.append(following.stop)
    # Custody is not handed over: the next process claims it, as any other sender would.
    if custody_service is None:
        predecessor.listen()  # before readiness is answered: an upgrade may be asked for at once then
    threads.start("listener", client_side.run, forever=True)
    if custody_service is None:
        threads.start("upgrade", predecessor.run)
    log.say("start", f"listening on {config.listen[0]}:{client_side.port}, journal in {config.state}")
    received = signal.sigwait(signals)
    if received == signal.SIGTERM:
        lifecycle.tell(Event.STOP, clock.now())  # no hand-over can begin after this
    if lifecycle.wait_handed_over():  # the process ends by itself once its calls have ended
        threading.Event().wait()
    if received == signal.SIGTERM:
        endpoint_side.conditions.stopping = True
        decision_loop.post(Stop())
        received = signal.sigtimedwait(signals, seconds(CLIENT_STOP_DELAY))
        log.say("stop", "clients are let go: a kill would leave their requests without an answer")
        client_side.stop(CLIENT_STOP_GRACE)
        if received is None:  # relays continue: the more end here, the fewer are left for the next process
            signal.sigtimedwait(signals, seconds(STOP_TIMEOUT - CLIENT_STOP_DELAY))
        for number in signals:  # a third signal ends the process at once
            signal.signal(number, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)
        endpoint_side.finish(RELAY_STOP_TIMEOUT)
    if following is not None:
        following.stop()
    if mesh is not None:
        mesh.stop()
    if channel is not None:
        channel.close()
    log.say("end", f"ended; outstanding messages are kept in the journal; {log.counters.summary()}")
    sys.stderr.flush()
    os._exit(0)


class StartConfig(NamedTuple):
    """What a sender starts with. It must not start if there are mistakes, one line each."""

    config: configs.Config | None
    blocks: Blocks
    overlay: configs.Overlay | None  # the revision last in force, if the sender follows a control plane
    mistakes: list[str]


def read_files(config_path: str | None, settings_path: str | None) -> StartConfig:
    """Read both files and the revision applied to the configuration, and collect all mistakes."""
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
        from willownotch.controlplane.sender import stored_overlay
        from willownotch.controlplane.store import StoreError

        try:
            overlay = stored_overlay(blocks.follow, config.name)
        except (ValueError, OSError, StoreError) as fault:
            mistakes.append(f"willownotch: with the revision kept in {blocks.follow.folder}: {fault}")
        try:
            config = configs.load(config_path, overlay=overlay)
        except configs.ConfigError as fault:
            # Every sender that follows has this revision: none may be kept from starting by it.
            overlay = None
            print(
                f"willownotch: the revision kept in {blocks.follow.folder} is not applied: {fault}",
                file=sys.stderr,
            )
    if config is not None:
        known = [c.name for c in config.settings.classes]
        unknown = sorted(set(blocks.bodies.class_) - set(known))
        if unknown:
            mistakes.append(
                f"{settings_path}: block bodies names classes that the configuration does not "
                f"have: {', '.join(unknown)}, allowed: {', '.join(known)}"
            )
    return StartConfig(config, blocks, overlay, mistakes)


def start(config_path: str | None, settings_path: str | None, files: Files = REAL) -> int:
    """Serve if both files are valid; the exit code."""
    found = read_files(config_path, settings_path)
    if found.mistakes or found.config is None:
        print("\n".join(found.mistakes), file=sys.stderr)
        return EXIT_FAULTY
    return serve(found.config, config_path, found.blocks, settings_path, files, found.overlay)


def main(arguments: list[str] | None = None, files: Files = REAL) -> int:
    """Run one command and return the exit code. `files` is how the sender accesses its folder."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if not arguments and COMPLETE_VARIABLE not in os.environ:  # shell completion also calls without arguments
        return start(None, os.environ.get(SETTINGS_VARIABLE), files)
    from willownotch import commands

    return commands.run(arguments)
