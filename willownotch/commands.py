"""The sub-commands, built with click. Each calls its subsystem, which is imported only then."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from willownotch import __version__
from willownotch.cli import COMPLETE_VARIABLE, EXIT_FAULTY, SETTINGS_VARIABLE, load_blocks, read_files, start

if TYPE_CHECKING:
    from willownotch.controlplane.operator_client import ProposedChange

CONFIG_OPTION = click.option("--config", metavar="FILE", help="The configuration (else $LB_CONFIG).")
SETTINGS_OPTION = click.option(
    "--settings",
    metavar="FILE",
    envvar=SETTINGS_VARIABLE,
    help=f"The settings file, if any (else ${SETTINGS_VARIABLE}).",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
FOLDER_ARGUMENT = click.argument("folder", type=click.Path(path_type=Path), envvar="LB_STATE", default=".")


def print_result(found: Any, as_json: bool, table) -> None:
    """Print `found` as JSON, or as the text that `table` makes of it."""
    click.echo(msgspec.json.encode(found).decode() if as_json else table(found))


def input_error(text: object) -> int:
    """Report an input error on one line; the exit code 2."""
    click.echo(f"willownotch: {text}", err=True)
    return EXIT_FAULTY


@click.group("willownotch", context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """Delivers messages to partner systems; without a command it serves."""


@group.command()
@CONFIG_OPTION
@SETTINGS_OPTION
def serve(config: str | None, settings: str | None) -> int:
    """Run the sender (the default)."""
    return start(config, settings)


@group.command()
@CONFIG_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def check(config: str | None, settings: str | None, as_json: bool) -> int:
    """Say whether the sender would start, or all that is wrong with its files."""
    read = read_files(config, settings)
    if read.mistakes or (found := read.config) is None:
        click.echo("\n".join(read.mistakes), err=True)
        return EXIT_FAULTY
    view = {
        "name": found.name,
        "listen": f"{found.listen[0]}:{found.listen[1]}",
        "classes": len(found.settings.classes),
        "slots": found.settings.slots,
        "holding_room": found.settings.holding_room,
    }
    print_result(
        view,
        as_json,
        lambda v: f"{v['name']}: listens on {v['listen']}, {v['classes']} classes, "
        f"{v['slots']} slots, room for {v['holding_room']} messages",
    )
    return 0


@group.command()
@FOLDER_ARGUMENT
@JSON_OPTION
def journal(folder: Path, as_json: bool) -> int:
    """Show what a journal holds, one line for each message that has not ended."""
    from willownotch.journal.records import replay
    from willownotch.net import journal as journals

    try:
        data = (folder / journals.NAME).read_bytes()
    except OSError as fault:
        return input_error(f"the journal cannot be read: {fault}")
    live, damaged = replay(data)
    rows = []
    for entry in live.values():
        message, may_have_run = entry.message, [entry.may_have_run(n) for n in range(entry.count())]
        rows.append(
            {
                "ref": message.ref,
                "destination": message.destination,
                "class": message.message_class,
                "until": message.ends_at,
                "key": message.key,
                "relays": len(may_have_run),
                "may_have_run": sum(may_have_run),
                "body": message.body_size(),
                "ended": entry.ended.outcome if entry.ended else None,
            }
        )

    def line(row: dict[str, Any]) -> str:
        state = f"notice unanswered ({row['ended']})" if row["ended"] else "owed"
        return (
            f"{row['ref']} dest={row['destination']} {row['class']} until {row['until']:%H:%M:%S.%f} "
            f"key={row['key'] or '-'} relays={row['relays']} may_have_run={row['may_have_run']} "
            f"body={row['body']} {state}"
        )

    found = {"messages": rows, "bytes": len(data), "damaged": damaged}
    print_result(
        found,
        as_json,
        lambda f: "\n".join(
            [*map(line, rows), (f"{len(rows)} messages, {len(data)} bytes, {damaged} of them damaged")]
        ),
    )
    return 0


@group.command()
@FOLDER_ARGUMENT
@JSON_OPTION
@click.option("--verify", is_flag=True, help="Read every body and compare its checksum.")
def bodies(folder: Path, as_json: bool, verify: bool) -> int:
    """Show what bodies a folder keeps, by class and destination; exit 1 if any is missing or damaged."""
    from willownotch.bodies import show
    from willownotch.journal.records import replay
    from willownotch.net import journal as journals
    from willownotch.net.clock import Clock

    try:
        live, _ = replay((folder / journals.NAME).read_bytes())
        outstanding = [entry.message for entry in live.values() if entry.ended is None]
        kept = show.look(folder, outstanding, Clock().now(), verify)
    except OSError as fault:
        return input_error(f"the folder cannot be read: {fault}")
    print_result(kept, as_json, show.table)
    return 1 if kept.damaged else 0


def control_socket(socket: str | None, settings: str | None) -> str:
    """The path of the control socket to ask. Raises `ValueError` if neither option gives one."""
    path = socket or load_blocks(settings).control.socket
    if path is None:
        raise ValueError(
            "no control socket, wanted: --socket PATH, or --settings FILE whose block control names a socket"
        )
    return path


def ask(question: str, socket: str | None, settings: str | None, as_json: bool, **parameters: object) -> int:
    """Ask a running sender and print its answer as a table or as JSON; the exit code."""
    from willownotch.channel import client, tables

    try:
        path = control_socket(socket, settings)
        arguments_by_name = {word: str(value) for word, value in parameters.items() if value is not None}
        found = client.ask(path, question, arguments_by_name)
    except (client.AskError, ValueError) as fault:
        return input_error(fault)
    print_result(found, as_json, tables.TABLES[question])
    return 0


SOCKET_OPTION = click.option("--socket", metavar="PATH", help="The sender's control socket.")


@group.command()
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def counters(socket: str | None, settings: str | None, as_json: bool) -> int:
    """Show what a running sender has counted since it began, by event and reason."""
    return ask("counters", socket, settings, as_json)


@group.command()
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def peers(socket: str | None, settings: str | None, as_json: bool) -> int:
    """Show what a running sender knows of its peers."""
    return ask("peers", socket, settings, as_json)


@group.command()
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def replica(socket: str | None, settings: str | None, as_json: bool) -> int:
    """Show what a running sender holds with whom, what it holds for others, and how far they lag."""
    return ask("replica", socket, settings, as_json)


@group.command()
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def leases(socket: str | None, settings: str | None, as_json: bool) -> int:
    """Show who holds which duty, its token and the time left, as a running sender knows it."""
    return ask("leases", socket, settings, as_json)


@group.command()
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def follow(socket: str | None, settings: str | None, as_json: bool) -> int:
    """Show which member of the control plane a running sender follows, and what it has in force."""
    return ask("follow", socket, settings, as_json)


@group.command()
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def shared(socket: str | None, settings: str | None, as_json: bool) -> int:
    """Show a running sender's shares of budgets, and what senders have found out about endpoints."""
    return ask("shared", socket, settings, as_json)


@group.command()
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
@click.option("--tenant", help="Show this tenant only.")
@click.option("--lines", type=click.IntRange(0), help="At most so many lines, the highest counts first.")
def usage(
    socket: str | None, settings: str | None, as_json: bool, tenant: str | None, lines: int | None
) -> int:
    """Show the usage of all instances as a running sender knows it."""
    return ask("usage", socket, settings, as_json, tenant=tenant, lines=lines)


@group.command()
@SETTINGS_OPTION
@click.option(
    "--bootstrap",
    is_flag=True,
    help="For the first start ever: accept an empty folder as a new one, not as one that was lost.",
)
def member(settings: str | None, bootstrap: bool) -> int:
    """Run a member of the control plane."""
    from willownotch.controlplane import member as members

    return members.main(settings, bootstrap)


@group.group()
def config() -> None:
    """Show and change the configuration that the control plane holds, at any member."""


EXPECT_OPTION = click.option(
    "--expect",
    metavar="REVISION",
    type=click.IntRange(0),
    help="The revision that the change is based on (else the last); it loses to newer changes of its keys.",
)
ID_OPTION = click.option(
    "--id", "change_id", metavar="ID", help="Repeat a change whose outcome is not known."
)


def run_at_member(socket: str | None, settings: str | None, action: Callable[[str], int]) -> int:
    """Call `action` with the member's socket. Exit code 1 if the member refuses, 2 if it cannot be asked."""
    from willownotch.channel.client import AnswerError, AskError

    try:
        return action(control_socket(socket, settings))
    except AnswerError as fault:
        click.echo(f"willownotch config: {fault}", err=True)
        return 1
    except (AskError, ValueError, OSError) as fault:
        return input_error(fault)


def submit_change(path: str, change_id: str | None, wanted: ProposedChange, as_json: bool) -> int:
    """Submit a change, if there is one, and print its outcome; the exit code."""
    from willownotch.controlplane import operator_client

    if not wanted:
        print_result(
            {"outcome": "nothing to change", "revision": wanted.base},
            as_json,
            lambda found: f"nothing to change: revision {wanted.base} has it so",
        )
        return operator_client.EXIT_DONE
    found = operator_client.submit(path, change_id or operator_client.new_change_id(), wanted)
    code = operator_client.EXIT_CODES.get(found["outcome"], operator_client.EXIT_UNKNOWN)
    if code == operator_client.EXIT_DONE or as_json:
        print_result(found, as_json, lambda found: operator_client.outcome(found, wanted))
    else:
        click.echo(f"willownotch config: {operator_client.outcome(found, wanted)}", err=True)
    return code


@config.command("put")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--merge", is_flag=True, help="Remove nothing.")
@EXPECT_OPTION
@ID_OPTION
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def config_put(
    file: Path,
    merge: bool,
    expect: int | None,
    change_id: str | None,
    socket: str | None,
    settings: str | None,
    as_json: bool,
) -> int:
    """Replace all entries by those of FILE; entries that it does not name are removed."""
    from willownotch.controlplane import entries, operator_client

    def action(path: str) -> int:
        wanted = entries.parse(file.read_text(encoding="utf-8"), str(file))
        return submit_change(
            path,
            change_id,
            operator_client.changes_toward(operator_client.fetch_entries(path, expect), wanted, merge),
            as_json,
        )

    return run_at_member(socket, settings, action)


@config.command("set")
@click.argument("key")
@click.argument("value")
@EXPECT_OPTION
@ID_OPTION
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def config_set(
    key: str,
    value: str,
    expect: int | None,
    change_id: str | None,
    socket: str | None,
    settings: str | None,
    as_json: bool,
) -> int:
    """Set the entry KEY to VALUE, a JSON text."""
    from willownotch.controlplane import entries, operator_client

    def action(path: str) -> int:
        wanted = entries.parse(f"{key} {value}", "KEY VALUE")
        found = operator_client.fetch_entries(path, expect, key)
        return submit_change(
            path, change_id, operator_client.changes_toward(found, wanted, merge=True), as_json
        )

    return run_at_member(socket, settings, action)


@config.command("unset")
@click.argument("key")
@EXPECT_OPTION
@ID_OPTION
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def config_unset(
    key: str,
    expect: int | None,
    change_id: str | None,
    socket: str | None,
    settings: str | None,
    as_json: bool,
) -> int:
    """Remove the entry KEY."""
    from willownotch.controlplane import operator_client

    def action(path: str) -> int:
        found = operator_client.fetch_entries(path, expect, key)
        if not found["entries"]:
            click.echo(f"willownotch config: revision {found['revision']} has no entry {key!r}", err=True)
            return operator_client.EXIT_REFUSED
        return submit_change(path, change_id, operator_client.changes_toward(found, {}), as_json)

    return run_at_member(socket, settings, action)


@config.command("rollback")
@click.argument("revision", type=click.IntRange(0))
@EXPECT_OPTION
@ID_OPTION
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def config_rollback(
    revision: int,
    expect: int | None,
    change_id: str | None,
    socket: str | None,
    settings: str | None,
    as_json: bool,
) -> int:
    """Restore the entries of an earlier REVISION, as a new revision."""
    from willownotch.controlplane import operator_client

    def action(path: str) -> int:
        found, earlier = (
            operator_client.fetch_entries(path, expect),
            operator_client.fetch_entries(path, revision),
        )
        return submit_change(
            path,
            change_id,
            operator_client.changes_toward(found, operator_client.encoded_entries(earlier)),
            as_json,
        )

    return run_at_member(socket, settings, action)


@config.command("show")
@click.argument("key", required=False)
@click.option("--revision", type=click.IntRange(0), help="An earlier revision.")
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def config_show(
    key: str | None, revision: int | None, socket: str | None, settings: str | None, as_json: bool
) -> int:
    """Print all entries, as `put` reads them, or the value of KEY."""
    from willownotch.controlplane import entries, operator_client

    def action(path: str) -> int:
        found = operator_client.fetch_entries(path, revision, key)
        if key is not None and key not in found["entries"]:
            click.echo(f"willownotch config: revision {found['revision']} has no entry {key!r}", err=True)
            return operator_client.EXIT_REFUSED
        kept = operator_client.encoded_entries(found)
        print_result(
            found,
            as_json,
            lambda found: kept[key].decode()
            if key is not None
            else (
                f"# revision {found['revision']}, {len(kept)} entries, digest {found['digest'] or '-'}\n"
                + entries.unparse(kept.items())
            ).rstrip("\n"),
        )
        return operator_client.EXIT_DONE

    return run_at_member(socket, settings, action)


@config.command("status")
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def config_status(socket: str | None, settings: str | None, as_json: bool) -> int:
    """Show the members, how many senders have which revision in force, and who lags or has refused one."""
    from willownotch.channel import client
    from willownotch.controlplane import operator_tables

    def action(path: str) -> int:
        print_result(client.ask(path, "status"), as_json, operator_tables.status)
        return 0

    return run_at_member(socket, settings, action)


@config.command("history")
@click.option("--last", type=click.IntRange(1), default=20, show_default=True, help="Number of commits.")
@SOCKET_OPTION
@SETTINGS_OPTION
@JSON_OPTION
def config_history(last: int, socket: str | None, settings: str | None, as_json: bool) -> int:
    """Show the last commits: revision, author, keys."""
    from willownotch.channel import client
    from willownotch.controlplane import operator_tables

    def action(path: str) -> int:
        print_result(client.ask(path, "history", {"last": str(last)}), as_json, operator_tables.history)
        return 0

    return run_at_member(socket, settings, action)


@group.command()
@click.argument("target")
@click.option("--settings", metavar="FILE", help="The file with the block load.")
@click.option("--trace", metavar="FILE", help="Send this trace, not what the block describes.")
@click.option(
    "--speed",
    type=click.FloatRange(0, min_open=True),
    default=1.0,
    show_default=True,
    help="Speed, as a multiple of the planned one.",
)
@click.option(
    "--workers", type=click.IntRange(1, 255), default=1, show_default=True, help="Processes that send."
)
@click.option("--write-trace", metavar="FILE", help="Send nothing, write the plan as a trace.")
@JSON_OPTION
def load(
    target: str,
    settings: str | None,
    trace: str | None,
    speed: float,
    workers: int,
    write_trace: str | None,
    as_json: bool,
) -> int:
    """Send messages to the sender at TARGET (ADDRESS:PORT) in an open loop, and measure."""
    from willownotch.lab.load import command

    return command.main(target, settings, trace, speed, workers, as_json, write_trace)


@group.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("to", type=click.Path(path_type=Path))
def trace(folder: Path, to: Path) -> int:
    """Write the hand-ins recorded in a journal as a trace."""
    from willownotch.lab.load import command

    return command.export(folder, to)


@group.command()
@click.argument("scenario", required=False)
@click.option("--policy", default="module", show_default=True, help="The policy that decides.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--sockets", is_flag=True, help="In real time, with real senders and stand-ins on loopback.")
@JSON_OPTION
def play(scenario: str | None, policy: str, seed: int, sockets: bool, as_json: bool) -> int:
    """Play a SCENARIO file in simulated time, or a busy day without one; exit 4 if a rule was broken."""
    from willownotch.lab.experiment import command

    return command.one(scenario, policy, seed, as_json, sockets)


@group.command()
@click.argument("file")
@click.option("--database", metavar="FILE", help="Where results are kept (else beside the file).")
@click.option("--report", metavar="FILE", help="Where the report goes (else beside the file).")
@click.option("--workers", type=click.IntRange(1), help="Processes (else one a core).")
def experiment(file: str, database: str | None, report: str | None, workers: int | None) -> int:
    """Play the missing parts of the experiment in FILE, and write its report."""
    from willownotch.lab.experiment import command

    return command.experiment(file, database, workers, report)


@group.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> int:
    """Print a script that completes commands and options in a shell."""
    from click.shell_completion import get_completion_class

    kind = get_completion_class(shell)
    click.echo(kind(group, {}, "willownotch", COMPLETE_VARIABLE).source())
    return 0


@group.command()
@JSON_OPTION
def version(as_json: bool) -> int:
    """Print the version."""
    print_result({"willownotch": __version__}, as_json, lambda v: f"willownotch {__version__}")
    return 0


def run(arguments: list[str]) -> int:
    """Run one command; its exit code. A mistake on the command line gives one line, and exit code 2."""
    if COMPLETE_VARIABLE in os.environ:
        group.main(arguments, prog_name="willownotch", complete_var=COMPLETE_VARIABLE)  # exits
    try:
        return group.main(arguments, prog_name="willownotch", standalone_mode=False) or 0
    except click.exceptions.NoArgsIsHelpError as fault:
        fault.show()
        return EXIT_FAULTY
    except click.ClickException as fault:
        context = fault.ctx if isinstance(fault, click.UsageError) else None
        command = f" {context.info_name}" if context is not None and context.parent is not None else ""
        print(f"willownotch{command}: {fault.format_message()}", file=sys.stderr)
        return EXIT_FAULTY
    except click.Abort:
        return 130
