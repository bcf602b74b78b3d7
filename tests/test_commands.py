"""The command line: help for each command, one line and exit code 2 for mistakes, JSON for each table."""

from __future__ import annotations

import json
import subprocess
import sys

import click
import harness
import pytest
from harness import ROOT

from willownotch import commands


def command(*words, **more):
    return subprocess.run(
        [sys.executable, "-m", "willownotch", *words],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=harness.PATIENCE,
        **more,
    )


@pytest.mark.parametrize("name", sorted(commands.group.commands))
def test_every_command_tells_its_help(name, capsys):
    assert commands.run([name, "--help"]) == 0
    output = " ".join(capsys.readouterr().out.split())
    assert " ".join(commands.group.commands[name].help.split()) in output


@pytest.mark.parametrize(
    ("words", "wanted"),
    [
        (["nothing"], "willownotch: No such command 'nothing'."),
        (["usage", "--lines", "x"], "willownotch usage: "),
        (["config", "set", "data/a"], "willownotch set: Missing argument 'VALUE'."),
        (["config", "show"], "wanted: --socket PATH"),
        (["load"], "willownotch load: Missing argument 'TARGET'."),
        (["check", "--colour"], "No such option"),
        (["load", "127.0.0.1:1", "--speed", "0"], "willownotch load: Invalid value for '--speed'"),
    ],
)
def test_a_mistake_is_one_line_and_exit_2(words, wanted, capsys):
    assert commands.run(words) == 2
    output = capsys.readouterr().err
    assert wanted in output and output.count("\n") == 1


def test_what_prints_has_json():
    """Those that print a table or figures have `--json`; the others write files, run, or print a script."""
    without_json = {"serve", "member", "trace", "experiment", "completion"}
    subcommands = {
        f"{name} {word}": part
        for name, each in commands.group.commands.items()
        if isinstance(each, click.Group)
        for word, part in each.commands.items()
    }
    assert len(subcommands) == 7
    commands_alone = {
        name: e for name, e in commands.group.commands.items() if not isinstance(e, click.Group)
    }
    for name, each in (commands_alone | subcommands).items():
        options = {option for p in each.params if isinstance(p, click.Option) for option in p.opts}
        assert ("--json" in options) is (name not in without_json), name


def test_version_check_and_journal_as_json(tmp_path):
    assert json.loads(command("version", "--json").stdout)["willownotch"]
    config = tmp_path / "c.json"
    config.write_text(
        json.dumps(
            {
                "name": "t0",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "5f",
                "state": str(tmp_path),
                "limits": {"sockets": 1024, "disk_mb": 3},
                "settings": harness.SETTINGS,
            }
        )
    )
    assert json.loads(command("check", "--config", config, "--json").stdout)["slots"] == 6
    assert "room for 40 messages" in command("check", "--config", config).stdout
    (tmp_path / "journal").write_bytes(b"")
    assert command("journal", tmp_path / "none").returncode == 2


def test_completion_knows_the_commands():
    assert "complete" in command("completion", "bash").stdout
    found = command(
        env={
            "_WILLOWNOTCH_COMPLETE": "bash_complete",
            "COMP_WORDS": "willownotch us",
            "COMP_CWORD": "1",
            "PATH": "",
        }
    )
    assert found.stdout.strip() == "plain,usage"


def test_serving_without_a_command_loads_no_command_line():
    code = (
        "import sys; from willownotch import cli; cli.start = lambda *a, **k: 0; cli.main([]); "
        "print([m for m in ('click', 'argparse', 'numpy', 'willownotch.lab') if m in sys.modules])"
    )
    found = subprocess.run([sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True)
    assert found.stdout.strip() == "[]"
