"""The operators' page documents every setting with its default, every log line and every counter."""

from __future__ import annotations

import re
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from willownotch.controlplane import settings
from willownotch.settings.types import block_settings, format_size

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "control-plane.md").read_text(encoding="utf-8")
ON_CALL = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
PACKAGE = ROOT / "willownotch" / "controlplane"


def source(*names):
    return "\n".join((PACKAGE / f"{name}.py").read_text(encoding="utf-8") for name in names)


def format_default(name, value):
    if isinstance(value, timedelta):
        units = {"period": 1, "home": 1, "lease": 1, "patience": 1, "remember": 60}
        unit = units[name]
        return f"{value.total_seconds() / unit:g}{'min' if unit == 60 else 's'}"
    if isinstance(value, tuple):
        return "{}:{}".format(*value)
    return format_size(value) if name in ("rate", "budget") else f"{value}"


@pytest.mark.parametrize("block", [settings.MemberSettings, settings.FollowSettings])
def test_every_setting_has_its_row_with_its_default(block):
    defaults = {field.name: field.default for field in msgspec.structs.fields(block)}
    for word, (name, _) in block_settings(block).items():
        rows = [line for line in PAGE.splitlines() if re.match(rf"\| [^|]*`{word}[` ]", line)]
        default = defaults[name]
        if default in (None, (), "", {}) or default is msgspec.NODEFAULT:
            assert rows, word
        else:
            assert any(f"| `{format_default(name, default)}` |" in row for row in rows), (
                word,
                format_default(name, default),
            )


def test_every_counter_is_documented():
    text = source("commit", "voter", "writer", "catchup", "serving", "follower", "member", "sender")
    counters = set(re.findall(r"(?:counts|counters|traffic)\[\"([^\"]+)\"\]", text))
    assert len(counters) > 40
    for counter in counters:
        name = counter.removesuffix(" bytes")
        assert f"`{name}`" in PAGE or f"`{name}," in PAGE, counter


def test_every_log_event_is_documented():
    events = set(re.findall(r"say\(\s*\"([a-z]+)\"", source("member"))) | {"end", "dead", "reload"}
    assert {"agreement", "apart", "commit", "folder", "nack", "refused", "voters"} <= events
    for event in events:
        assert re.search(rf"^\| `{event}`|^\| `peers`, `{event}`", PAGE, re.M), event
    for event in events | {"follow"}:
        assert f"`{event}`" in ON_CALL, event


def test_log_sentences_of_members_and_followers_are_documented():
    sentences = re.findall(r"log_lines\.append\(f?\"([a-z ]+)", source("voter", "commit"))
    sentences += re.findall(r"self\.say\(f?\"([a-z ]{8,})", source("sender"))
    assert len(sentences) >= 8
    for text in sentences:
        assert text.strip() in PAGE, text
