"""Reads a settings file: a lark grammar for one line, then nested blocks, then typed values.

The format is line-based, so each line is parsed on its own: a line that cannot be parsed does not hide the
errors of other lines, and all errors are reported together.
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
MAX_LINES = 10_000
TOKEN_DESCRIPTIONS = {
    "WORD": "a word",
    "STRING": "a text in quotes",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "$END": "the end of the line",
    "<END-OF-FILE>": "the end of the line",
}
_parser = lark.Lark(GRAMMAR, parser="lalr")


class SettingsError(ValueError):
    """All errors of a settings file, one line each."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


@dataclass
class Setting:
    """A line `word value ...` with its position; lines and columns count from 1."""

    line: int
    column: int
    word: str
    values: list[tuple[int, str]]  # column and text


@dataclass
class Block:
    """A block: its opening line, the settings in it and the blocks nested in it."""

    head: Setting
    settings: list[Setting] = field(default_factory=list)
    blocks: list[Block] = field(default_factory=list)


class Reader:
    """Reads one file. Errors do not stop it: `errors` collects them as (line, column, text)."""

    def __init__(self) -> None:
        self.errors: list[tuple[int, int, str]] = []

    def add_error(self, line: int, column: int, text: str) -> None:
        """Records an error at a position."""
        self.errors.append((line, column, text))

    def parse(self, text: str) -> Block:
        """Parses a file's text into a root block that holds the top-level settings and blocks."""
        root = Block(Setting(1, 1, "", []))
        stack = [root]
        lines = text.splitlines()
        if len(lines) > MAX_LINES:
            self.add_error(MAX_LINES + 1, 1, f"too long, allowed: {MAX_LINES} lines")
        for number, line in enumerate(lines[:MAX_LINES], 1):
            self._parse_line(number, line, stack)
        for block in stack[1:]:
            head = block.head
            self.add_error(head.line, head.column, f"block '{head.word}' is not closed, wanted: '}}'")
        return root

    def _parse_line(self, number: int, line: str, stack: list[Block]) -> None:
        """Adds a line to the innermost open block, the last of `stack`, or opens or closes a block."""
        try:
            found = _parser.parse(line).children
        except lark.UnexpectedToken as error:
            expected = " or ".join(sorted(TOKEN_DESCRIPTIONS.get(name, name) for name in error.expected))
            self.add_error(
                number, max(1, error.column), f"unexpected {str(error.token)!r}, allowed: {expected}"
            )
            return
        except lark.UnexpectedCharacters as error:
            self.add_error(
                number,
                max(1, error.column),
                f"unexpected {line[error.column - 1]!r}, "
                "allowed: words, or a text in quotes that is closed",
            )
            return
        except lark.UnexpectedEOF:
            self.add_error(
                number, len(line) + 1, "unexpected end of the line, allowed: a word with its values"
            )
            return
        if not found:
            return
        kind, parts = found[0].data, found[0].children
        if kind == "closing":
            if len(stack) == 1:
                self.add_error(number, 1, "'}' without an open block, allowed: a word with its values")
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

    def build(self, block: Block, struct_type: type[msgspec.Struct]) -> Any:
        """Builds the struct for a block from its values; a missing or invalid value leaves the default."""
        allowed, given, positions = block_settings(struct_type), {}, {}
        for setting in block.settings:
            name, value_type = self._field(setting, allowed, positions)
            if name is None:
                continue
            if isinstance(value_type, NestedBlock | NamedBlocks):
                self.add_error(
                    setting.line, setting.column, f"'{setting.word}' is a block, wanted: '{{' after it"
                )
            elif isinstance(value_type, ListType) and setting.values:
                given[name] = tuple(
                    self._value(setting, value_type.item, position) for position in setting.values
                )
            elif len(setting.values) != 1:
                self.add_error(
                    setting.line,
                    setting.column,
                    f"'{setting.word}' has {len(setting.values)} values, allowed: {value_type.allowed()}",
                )
            else:
                given[name] = self._value(setting, value_type, setting.values[0])
        for nested in block.blocks:
            self._build_nested(nested, allowed, positions, given)
        built = struct_type(**{name: value for name, value in given.items() if value is not None})
        # A struct may check its values against each other: it names the field, and the error is reported at
        # the line of that field, or at the block's first line where the field is not set.
        for name, text in getattr(built, "faults", list)():
            line, column = positions.get(name, (block.head.line, block.head.column))
            self.add_error(line, column, text)
        return built

    def _value(self, setting: Setting, value_type: Any, position: tuple[int, str]) -> Any:
        """Converts one value; returns None and records an error if it is invalid."""
        column, text = position
        try:
            return value_type.read(text)
        except InvalidValueError:
            self.add_error(
                setting.line, column, f"'{setting.word}' cannot be {text!r}, allowed: {value_type.allowed()}"
            )
            return None

    def _build_nested(self, nested: Block, allowed: dict, positions: dict, given: dict[str, Any]) -> None:
        """Builds a nested block into `given`: as its field, or by its own name in the field's dict."""
        head = nested.head
        named = allowed.get(head.word, (None, None))[1]
        if isinstance(named, NamedBlocks):
            name = allowed[head.word][0]
            if len(head.values) != 1:
                self.add_error(head.line, head.column, f"'{head.word}' needs one name before '{{'")
                return
            by_name = given.setdefault(name, {})
            if head.values[0][1] in by_name:
                self.add_error(
                    head.line,
                    head.values[0][0],
                    f"{head.word} '{head.values[0][1]}' appears twice, allowed: once",
                )
            by_name[head.values[0][1]] = self.build(nested, named.block)
            return
        name, value_type = self._field(head, allowed, positions)
        if name is None:
            return
        if not isinstance(value_type, NestedBlock):
            self.add_error(
                head.line, head.column, f"'{head.word}' is not a block, allowed: {value_type.allowed()}"
            )
        elif head.values:
            self.add_error(head.line, head.values[0][0], f"block '{head.word}' takes no name, allowed: '{{'")
        else:
            given[name] = self.build(nested, value_type.block)

    def _field(self, setting: Setting, allowed: dict, positions: dict) -> tuple[str | None, Any]:
        """Returns a word's field and value type; (None, None) if the word is unknown or repeated."""
        if setting.word not in allowed:
            near = get_close_matches(setting.word, allowed, 1)
            hint = f" (did you mean '{near[0]}'?)" if near else ""
            self.add_error(
                setting.line,
                setting.column,
                f"unknown word '{setting.word}'{hint}, "
                f"allowed: {', '.join(sorted(allowed)) or 'nothing'}",
            )
            return None, None
        name, value_type = allowed[setting.word]
        if name in positions:
            self.add_error(
                setting.line,
                setting.column,
                f"'{setting.word}' appears twice, allowed: once (first in line {positions[name][0]})",
            )
            return None, None
        positions[name] = (setting.line, setting.column)
        return name, value_type


def _text(token: lark.Token) -> str:
    """Returns a token's text; a string without its quotes, with `\\"` and `\\\\` unescaped."""
    if token.type != "STRING":
        return str(token)
    return str(token)[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def read(text: str, struct_type: type[msgspec.Struct], file: str = "settings") -> Any:
    """Reads a file's text into a struct; `SettingsError` with a line for each error, in the file's order."""
    reader = Reader()
    built = reader.build(reader.parse(text), struct_type)
    if reader.errors:
        errors = sorted(reader.errors)
        raise SettingsError([f"{file}:{line}:{column}: {what}" for line, column, what in errors])
    return built


def load(path: str | Path, struct_type: type[msgspec.Struct]) -> Any:
    """Reads the file at a path into a struct; `SettingsError` also if it cannot be read or decoded."""
    try:
        text = Path(path).read_bytes().decode("utf-8")
    except OSError as error:
        what = f"cannot be read ({error.strerror}), wanted: a readable file"
        raise SettingsError([f"{path}:1:1: {what}"]) from None
    except UnicodeDecodeError as error:
        line = Path(path).read_bytes()[: error.start].count(b"\n") + 1
        raise SettingsError([f"{path}:{line}:1: is not UTF-8, wanted: text"]) from None
    return read(text, struct_type, str(path))
