"""Reads a settings file: lark's grammar for a line, then blocks, then typed values. No mistake hides another.

The format is line-based, so each line is parsed by itself: a line that cannot be read costs only itself, and
all that is wrong is told in one go.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from difflib import get_close_matches
from pathlib import Path
from typing import Any

import lark
import msgspec

from willownotch.settings.types import InvalidValueError, ListType, NamedBlocks, NestedBlock, block_settings

GRAMMAR = r"""
start: (opening | closing | setting)?
opening: WORD value* "{"
closing: "}"
setting: WORD value*
value: WORD | STRING
WORD: /[^\s#{}"]+/
STRING: /"(?:[^"\\]|\\.)*"/
COMMENT: /#.*/
%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""
MOST_LINES = 10_000
EXPECTED = {
    "WORD": "a word",
    "STRING": "a text in quotes",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "$END": "the end of the line",
    "<END-OF-FILE>": "the end of the line",
}
_parser = lark.Lark(GRAMMAR, parser="lalr")


class SettingsError(ValueError):
    """All mistakes of a file, a line each."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


@dataclass
class Setting:
    """A line `word value ...`, and where it stands."""

    line: int
    column: int
    word: str
    values: list[tuple[int, str]]  # column and text


@dataclass
class Block:
    """An open block: its own line, and what it holds."""

    head: Setting
    settings: list[Setting] = field(default_factory=list)
    blocks: list[Block] = field(default_factory=list)


class Reader:
    """One file being read; `mistakes` collects (line, column, text)."""

    def __init__(self) -> None:
        self.mistakes: list[tuple[int, int, str]] = []

    def fault(self, line: int, column: int, text: str) -> None:
        """Note a mistake."""
        self.mistakes.append((line, column, text))

    def blocks(self, text: str) -> Block:
        """The file's lines as nested blocks."""
        root = Block(Setting(1, 1, "", []))
        stack = [root]
        lines = text.splitlines()
        if len(lines) > MOST_LINES:
            self.fault(MOST_LINES + 1, 1, f"too long, allowed: {MOST_LINES} lines")
        for number, line in enumerate(lines[:MOST_LINES], 1):
            self._line(number, line, stack)
        for block in stack[1:]:
            head = block.head
            self.fault(head.line, head.column, f"block '{head.word}' is not closed, wanted: '}}'")
        return root

    def _line(self, number: int, line: str, stack: list[Block]) -> None:
        try:
            found = _parser.parse(line).children
        except lark.UnexpectedToken as fault:
            wanted = " or ".join(sorted(EXPECTED.get(name, name) for name in fault.expected))
            self.fault(number, max(1, fault.column), f"unexpected {str(fault.token)!r}, allowed: {wanted}")
            return
        except lark.UnexpectedCharacters as fault:
            self.fault(
                number,
                max(1, fault.column),
                f"unexpected {line[fault.column - 1]!r}, "
                "allowed: words, or a text in quotes that is closed",
            )
            return
        except lark.UnexpectedEOF:
            self.fault(number, len(line) + 1, "the line breaks off, allowed: a word with its values")
            return
        if not found:
            return
        kind, parts = found[0].data, found[0].children
        if kind == "closing":
            if len(stack) == 1:
                self.fault(number, 1, "'}' closes nothing, allowed: a word with its values")
            else:
                stack.pop()
            return
        values = [(v.children[0].column, _text(v.children[0])) for v in parts[1:]]
        setting = Setting(number, parts[0].column, str(parts[0]), values)
        if kind == "opening":
            block = Block(setting)
            stack[-1].blocks.append(block)
            stack.append(block)
        else:
            stack[-1].settings.append(setting)

    def fill(self, block: Block, kind: type[msgspec.Struct]) -> Any:
        """A block's values, typed; what is missing has its default."""
        allowed, given, places = block_settings(kind), {}, {}
        for setting in block.settings:
            name, reader = self._known(setting, allowed, places)
            if name is None:
                continue
            if isinstance(reader, NestedBlock | NamedBlocks):
                self.fault(
                    setting.line, setting.column, f"'{setting.word}' is a block, wanted: '{{' after it"
                )
            elif isinstance(reader, ListType) and setting.values:
                given[name] = tuple(self._value(setting, reader.of, place) for place in setting.values)
            elif len(setting.values) != 1:
                self.fault(
                    setting.line,
                    setting.column,
                    f"'{setting.word}' has {len(setting.values)} values, allowed: {reader.allowed()}",
                )
            else:
                given[name] = self._value(setting, reader, setting.values[0])
        for inner in block.blocks:
            self._inner(inner, allowed, places, given)
        made = kind(**{name: value for name, value in given.items() if value is not None})
        # Checks across values are the block's own; they name a field, the mistake stands at its line.
        for name, text in getattr(made, "faults", list)():
            line, column = places.get(name, (block.head.line, block.head.column))
            self.fault(line, column, text)
        return made

    def _value(self, setting: Setting, reader: Any, place: tuple[int, str]) -> Any:
        """One value, typed; None, and a mistake noted, where it cannot be read."""
        column, text = place
        try:
            return reader.read(text)
        except InvalidValueError:
            self.fault(
                setting.line, column, f"'{setting.word}' cannot be {text!r}, allowed: {reader.allowed()}"
            )
            return None

    def _inner(self, inner: Block, allowed: dict, places: dict, given: dict[str, Any]) -> None:
        head = inner.head
        named = allowed.get(head.word, (None, None))[1]
        if isinstance(named, NamedBlocks):
            name = allowed[head.word][0]
            if len(head.values) != 1:
                self.fault(head.line, head.column, f"'{head.word}' wants one name before '{{'")
                return
            own = given.setdefault(name, {})
            if head.values[0][1] in own:
                self.fault(
                    head.line,
                    head.values[0][0],
                    f"{head.word} '{head.values[0][1]}' stands twice, " "allowed: once",
                )
            own[head.values[0][1]] = self.fill(inner, named.block)
            return
        name, reader = self._known(head, allowed, places)
        if name is None:
            return
        if not isinstance(reader, NestedBlock):
            self.fault(head.line, head.column, f"'{head.word}' is no block, allowed: {reader.allowed()}")
        elif head.values:
            self.fault(head.line, head.values[0][0], f"block '{head.word}' takes no name, allowed: '{{'")
        else:
            given[name] = self.fill(inner, reader.block)

    def _known(self, setting: Setting, allowed: dict, places: dict) -> tuple[str | None, Any]:
        """The field that a word stands for, once."""
        if setting.word not in allowed:
            near = get_close_matches(setting.word, allowed, 1)
            hint = f" (did you mean '{near[0]}'?)" if near else ""
            self.fault(
                setting.line,
                setting.column,
                f"unknown word '{setting.word}'{hint}, "
                f"allowed: {', '.join(sorted(allowed)) or 'nothing'}",
            )
            return None, None
        name, reader = allowed[setting.word]
        if name in places:
            self.fault(
                setting.line,
                setting.column,
                f"'{setting.word}' stands twice, allowed: once (line {places[name][0]} has it)",
            )
            return None, None
        places[name] = (setting.line, setting.column)
        return name, reader


def _text(token: lark.Token) -> str:
    if token.type != "STRING":
        return str(token)
    return str(token)[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def read(text: str, kind: type[msgspec.Struct], file: str = "settings") -> Any:
    """The text of a file as `kind`, or `SettingsError` with a line for each mistake, in the file's order."""
    reader = Reader()
    made = reader.fill(reader.blocks(text), kind)
    if reader.mistakes:
        mistakes = sorted(reader.mistakes)
        raise SettingsError([f"{file}:{line}:{column}: {what}" for line, column, what in mistakes])
    return made


def load(path: str | Path, kind: type[msgspec.Struct]) -> Any:
    """The file at a path as `kind`; a file that cannot be read is a mistake like any other."""
    try:
        text = Path(path).read_bytes().decode("utf-8")
    except OSError as fault:
        what = f"cannot be read ({fault.strerror}), wanted: a readable file"
        raise SettingsError([f"{path}:1:1: {what}"]) from None
    except UnicodeDecodeError as fault:
        line = Path(path).read_bytes()[: fault.start].count(b"\n") + 1
        raise SettingsError([f"{path}:{line}:1: is not UTF-8, wanted: text"]) from None
    return read(text, kind, str(path))
