"""Settings files: every mistake with its place, all in one go, and every legal value as it was meant."""

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

MISTAKES = [  # the text of block bodies, and where and how each mistake is told
    ("memroy 3MB", ["2:1: unknown word 'memroy' (did you mean 'memory'?), allowed: class,"]),
    ("memory", ["2:1: 'memory' has 0 values, allowed: a size"]),
    ("memory 1 2", ["2:1: 'memory' has 2 values"]),
    ("memory -3", ["2:8: 'memory' cannot be '-3', allowed: a size such as 64KB"]),
    ("memory 3XB", ["2:8: 'memory' cannot be '3XB'"]),
    ("segment 1KB", ["2:9: 'segment' cannot be '1KB', allowed: a size such as 64KB, 4MB or 1GiB, 4096B at"]),
    ("memory 3MB\nmemory 4MB", ["3:1: 'memory' stands twice, allowed: once (line 2 has it)"]),
    ("write-patience 5", ["2:16: 'write-patience' cannot be '5', allowed: a time with its unit"]),
    ("write-patience 3h", ["2:16: 'write-patience' cannot be '3h'"]),
    ("destination-share 120%", ["2:19: 'destination-share' cannot be '120%', allowed: a share from 1% to"]),
    ("inline 1KB\ninline-low 2KB", ["3:1: 'inline-low' is above 'inline', allowed: up to 1000B"]),
    ("class {\n}", ["2:1: 'class' wants one name"]),
    ("class a b {\n}", ["2:1: 'class' wants one name"]),
    ("class a {\n}\nclass a {\n}", ["4:7: class 'a' stands twice"]),
    ("class a {\ndrop maybe\n}", ["3:6: 'drop' cannot be 'maybe', allowed: one of yes, no"]),
    ("class a {\nshare 60%\n}\nclass b {\nshare 60%\n}", ["1:1: the shares of all classes are over 100%"]),
    ("class a", ["2:1: 'class' is a block, wanted: '{'"]),
    ("memory {\n}", ["2:1: 'memory' is no block, allowed: a size"]),
    ('class "a {', ["2:7: unexpected '\"', allowed: words, or a text in quotes that is closed"]),
    ("class a { share 1%\n}", ["2:11: unexpected 'share', allowed: the end of the line"]),
    ("memory x\ninline y\nnonsense", ["2:8:", "3:8:", "4:1:"]),
]


@pytest.mark.parametrize(("text", "told"), MISTAKES)
def test_each_mistake_is_told_with_its_place(text, told):
    with pytest.raises(SettingsError) as caught:
        read(f"bodies {{\n{text}\n}}\n", Blocks, "f.conf")
    found = caught.value.mistakes
    for line, start in zip(found, told, strict=False):
        assert line.startswith(f"f.conf:{start}"), found
    assert len(found) >= len(told)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("bodies {", "1:1: block 'bodies' is not closed, wanted: '}'"),
        ("}", "1:1: '}' closes nothing"),
        ("bodies x {\n}", "1:8: block 'bodies' takes no name"),
        ("bodies {\n}\nbodies {\n}", "3:1: 'bodies' stands twice"),
        ("{", "1:1: unexpected '{', allowed: "),
    ],
)
def test_blocks_that_do_not_fit(text, told):
    with pytest.raises(SettingsError) as caught:
        read(text, Blocks, "f.conf")
    assert caught.value.mistakes[0].startswith(f"f.conf:{told}")


def test_values_comments_quotes_and_units():
    made = read(
        """
    # all of it
    bodies {   # a comment behind
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
    assert (made.memory, made.inline, made.destination_share) == (1_500_000, 1024, 0.125)
    assert made.write_patience == timedelta(milliseconds=150)
    assert made.class_ == {"slot status": ClassBodies(at_limit=AtLimit.ONE_TRY, drop=Flag.NO)}
    assert read("", Blocks) == Blocks()


def test_what_a_class_does_follows_from_its_repeats_unless_it_is_set():
    settings = BodiesSettings(class_={"a": ClassBodies(drop=Flag.NO, share=0.3)})
    table = [
        ("a", Idempotency.SAFE, (0.3, AtLimit.ONE_TRY, Flag.NO)),
        ("b", Idempotency.SAFE, (0.0, AtLimit.ONE_TRY, Flag.YES)),
        ("b", Idempotency.KEYED, (0.2, AtLimit.REFUSE, Flag.NO)),
        ("b", Idempotency.UNSAFE, (0.2, AtLimit.REFUSE, Flag.NO)),
    ]
    for name, effect, wanted in table:
        own = for_class(settings, name, effect)
        assert (own.share, own.at_limit, own.drop) == wanted


@given(st.text(max_size=200))
def test_no_text_is_anything_but_settings_or_mistakes_with_places(text):
    try:
        read(text, Blocks, "f")
    except SettingsError as fault:
        assert fault.mistakes
        assert all(line.startswith("f:") and line.split(":")[1].isdigit() for line in fault.mistakes)


def run(*arguments, **more):
    return subprocess.run(
        [sys.executable, "-m", "willownotch", *arguments],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=30,
        **more,
    )


def test_check_and_serve_tell_all_mistakes_and_exit_2(tmp_path):
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


def test_the_files_that_come_with_the_project_are_sound():
    for file in ("deploy/walvis-slots.conf", "examples/willownotch.conf"):
        assert run("check", "--config", "examples/config.json", "--settings", file).returncode == 0


def test_the_parser_is_loaded_only_when_a_file_is_named():
    code = "import sys, willownotch.cli; print([m for m in ('lark', 'xxhash') if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], cwd=Path(ROOT), text=True, capture_output=True)
    assert done.stdout.strip() == "[]"
