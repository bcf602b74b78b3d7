"""Settings files: all errors are reported together with their positions, and valid values are read."""

import subprocess
import sys
from datetime import timedelta
from pathlib import Path

import pytest
from harness import ROOT
from hypothesis import given
from hypothesis import strategies as st

from willownotch.blocks import Blocks
from willownotch.bodies.settings import AtLimit, BodiesSettings, ClassBodies, for_class
from willownotch.interface import Idempotency
from willownotch.settings.reader import SettingsError, read
from willownotch.settings.types import Flag

ERRORS = [  # the text of a `bodies` block, and the start of each error that is reported
    ("memroy 3MB", ["2:1: unknown word 'memroy' (did you mean 'memory'?), allowed: class,"]),
    ("memory", ["2:1: 'memory' has 0 values, allowed: a size"]),
    ("memory 1 2", ["2:1: 'memory' has 2 values"]),
    ("memory -3", ["2:8: 'memory' cannot be '-3', allowed: a size such as 64KB"]),
    ("memory 3XB", ["2:8: 'memory' cannot be '3XB'"]),
    ("segment 1KB", ["2:9: 'segment' cannot be '1KB', allowed: a size such as 64KB, 4MB or 1GiB, 4096B at"]),
    ("memory 3MB\nmemory 4MB", ["3:1: 'memory' appears twice, allowed: once (first in line 2)"]),
    ("write-patience 5", ["2:16: 'write-patience' cannot be '5', allowed: a time with its unit"]),
    ("write-patience 3h", ["2:16: 'write-patience' cannot be '3h'"]),
    ("destination-share 120%", ["2:19: 'destination-share' cannot be '120%', allowed: a share from 1% to"]),
    ("inline 1KB\ninline-low 2KB", ["3:1: 'inline-low' is above 'inline', allowed: up to 1000B"]),
    ("class {\n}", ["2:1: 'class' needs one name"]),
    ("class a b {\n}", ["2:1: 'class' needs one name"]),
    ("class a {\n}\nclass a {\n}", ["4:7: class 'a' appears twice"]),
    ("class a {\ndrop maybe\n}", ["3:6: 'drop' cannot be 'maybe', allowed: one of yes, no"]),
    ("class a {\nshare 60%\n}\nclass b {\nshare 60%\n}", ["1:1: the shares of all classes are over 100%"]),
    ("class a", ["2:1: 'class' is a block, wanted: '{'"]),
    ("memory {\n}", ["2:1: 'memory' is not a block, allowed: a size"]),
    ('class "a {', ["2:7: unexpected '\"', allowed: words, or a text in quotes that is closed"]),
    ("class a { share 1%\n}", ["2:11: unexpected 'share', allowed: the end of the line"]),
    ("memory x\ninline y\nnonsense", ["2:8:", "3:8:", "4:1:"]),
]


@pytest.mark.parametrize(("text", "expected"), ERRORS)
def test_each_error_is_reported_with_its_position(text, expected):
    with pytest.raises(SettingsError) as caught:
        read(f"bodies {{\n{text}\n}}\n", Blocks, "f.conf")
    found = caught.value.errors
    for line, start in zip(found, expected, strict=False):
        assert line.startswith(f"f.conf:{start}"), found
    assert len(found) >= len(expected)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("bodies {", "1:1: block 'bodies' is not closed, wanted: '}'"),
        ("}", "1:1: '}' without an open block"),
        ("bodies x {\n}", "1:8: block 'bodies' takes no name"),
        ("bodies {\n}\nbodies {\n}", "3:1: 'bodies' appears twice"),
        ("{", "1:1: unexpected '{', allowed: "),
    ],
)
def test_misplaced_and_unclosed_blocks_are_reported(text, expected):
    with pytest.raises(SettingsError) as caught:
        read(text, Blocks, "f.conf")
    assert caught.value.errors[0].startswith(f"f.conf:{expected}")


def test_values_comments_quotes_and_units():
    settings = read(
        """
    # every kind of value
    bodies {   # a comment after a brace
        memory 1.5MB
        inline 1KiB
        write-patience 150ms
        destination-share 12.5%
        class "slot status" {
            at-limit one-try
            drop no
        }
    }
    """,
        Blocks,
    ).bodies
    assert (settings.memory, settings.inline, settings.destination_share) == (1_500_000, 1024, 0.125)
    assert settings.write_patience == timedelta(milliseconds=150)
    assert settings.class_ == {"slot status": ClassBodies(at_limit=AtLimit.ONE_TRY, drop=Flag.NO)}
    assert read("", Blocks) == Blocks()


def test_a_class_without_settings_follows_its_idempotency():
    settings = BodiesSettings(class_={"a": ClassBodies(drop=Flag.NO, share=0.3)})
    table = [
        ("a", Idempotency.SAFE, (0.3, AtLimit.ONE_TRY, Flag.NO)),
        ("b", Idempotency.SAFE, (0.0, AtLimit.ONE_TRY, Flag.YES)),
        ("b", Idempotency.KEYED, (0.2, AtLimit.REFUSE, Flag.NO)),
        ("b", Idempotency.UNSAFE, (0.2, AtLimit.REFUSE, Flag.NO)),
    ]
    for name, idempotency, expected in table:
        class_settings = for_class(settings, name, idempotency)
        assert (class_settings.share, class_settings.at_limit, class_settings.drop) == expected


@given(st.text(max_size=200))
def test_any_text_gives_settings_or_errors_with_positions(text):
    try:
        read(text, Blocks, "f")
    except SettingsError as error:
        assert error.errors
        assert all(line.startswith("f:") and line.split(":")[1].isdigit() for line in error.errors)


def run(*arguments, **options):
    return subprocess.run(
        [sys.executable, "-m", "willownotch", *arguments],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=30,
        **options,
    )


def test_check_and_serve_report_all_errors_and_exit_2(tmp_path):
    file = tmp_path / "w.conf"
    file.write_text("bodies {\nmemory x\nclass y {\n}\n}\nz\n", encoding="utf-8")
    for command in ("check", "serve"):
        done = run(command, "--config", "examples/config.json", "--settings", str(file))
        assert done.returncode == 2
        assert [line.split(":")[1] for line in done.stderr.splitlines()] == ["2", "6"]
    file.write_text("bodies {\nclass y {\n}\n}\n", encoding="utf-8")
    done = run("check", "--config", "examples/config.json", "--settings", str(file))
    assert (done.returncode, "does not have: y" in done.stderr) == (2, True)
    missing = run("check", "--config", "examples/config.json", "--settings", str(tmp_path / "none"))
    assert (missing.returncode, missing.stderr.count("\n")) == (2, 1)


def test_the_settings_files_of_the_project_are_valid():
    for file in ("deploy/walvis-slots.conf", "examples/willownotch.conf"):
        assert run("check", "--config", "examples/config.json", "--settings", file).returncode == 0


def test_the_parser_is_loaded_only_for_a_settings_file():
    code = "import sys, willownotch.cli; print([m for m in ('lark', 'xxhash') if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], cwd=Path(ROOT), text=True, capture_output=True)
    assert done.stdout.strip() == "[]"
