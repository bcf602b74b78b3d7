"""The entries of the document that senders can apply: their text form, their types, and the overlay. No I/O.

A key is a path. `config/...` is a path in the sender's configuration file, by the names in the file; in a
list of named objects, the name selects the object: `config/settings/services/order/credit`. The entry's value
overrides that of the file, and `null` removes a named object. `data/...` is distributed, stored and shown,
but the sender does not read it. Settings of a single machine (its name, addresses, folder, disk) cannot be
entries.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from difflib import get_close_matches
from typing import Any, get_args, get_origin

import msgspec

from willownotch.controlplane.document import MAX_KEY_BYTES, Change, Document, DocumentError, check_change
from willownotch.json_text import decode_json
from willownotch.net.config import ConfigError, ConfigFile, read_config

CONFIG, DATA = "config", "data"
MACHINE_KEYS = {  # settings of a single machine, and those that are only read at the start
    "name",
    "listen",
    "management",
    "seed",
    "state",
    "known",
    "limits/memory_mb",
    "limits/disk_mb",
    "settings/models",
    "settings/zones",
}
KEY_SEGMENT = re.compile(r"[^\s/\x00-\x1f]+")
BYTE_POSITION = re.compile(r" \(byte (\d+)\)$")


class EntriesError(ValueError):
    """All errors in a text of entries, one line each."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def _fields(kind: type[msgspec.Struct]) -> dict[str, Any]:
    return {field.encode_name: field.type for field in msgspec.structs.fields(kind)}


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _named_object(kind: Any) -> type[msgspec.Struct] | None:
    """The type of the objects if `kind` is a list of named objects, else None."""
    if get_origin(kind) is list and _is_struct(inner := get_args(kind)[0]) and "name" in _fields(inner):
        return inner
    return None


def _type_at(parts: list[str]) -> tuple[Any, bool]:
    """The type at a path in the configuration, and whether `null` removes it.

    Raises `ValueError` with the reason if the path cannot be an entry.
    """
    kind: Any = ConfigFile
    removable = False
    for at, part in enumerate(parts):
        if (named := _named_object(kind)) is not None:
            kind, removable = named, True
            continue
        if not _is_struct(kind):
            above = "/".join([CONFIG, *parts[:at]])
            raise ValueError(f"nothing lies below {above!r}, allowed: its whole value")
        fields = _fields(kind)
        path = "/".join(parts[: at + 1])
        known = [name for name in fields if "/".join([*parts[:at], name]) not in MACHINE_KEYS]
        if part not in fields:
            near = get_close_matches(part, known, 1)
            hint = f" (did you mean {near[0]!r}?)" if near else ""
            raise ValueError(f"unknown key {part!r}{hint}, allowed: {', '.join(sorted(known))}")
        if path in MACHINE_KEYS:
            raise ValueError(f"{path!r} is a setting of each machine, allowed: {', '.join(sorted(known))}")
        kind, removable = fields[part], False
    if kind is ConfigFile or (_is_struct(kind) and not removable) or _named_object(kind) is not None:
        raise ValueError("a group of keys, wanted: one of these, or a named object")
    return kind, removable


def _find_error(key: str, value: Any) -> tuple[bool, str] | None:
    """Whether the error of an entry is in its key, and the error; None if the entry is valid."""
    first, *parts = key.split("/")
    if len(key.encode()) > MAX_KEY_BYTES or not all(KEY_SEGMENT.fullmatch(part) for part in [first, *parts]):
        return True, f"invalid key, allowed: words with '/' between them, up to {MAX_KEY_BYTES} bytes"
    if first not in (CONFIG, DATA) or not parts:
        return True, f"unknown key {key!r}, allowed: {CONFIG}/... or {DATA}/..."
    if first == DATA:
        return None
    try:
        kind, removable = _type_at(parts)
    except ValueError as error:
        return True, str(error)
    if value is None and removable:
        return None
    if removable and isinstance(value, dict):
        if value.setdefault("name", parts[-1]) != parts[-1]:
            return False, f"the object is named {value['name']!r}, wanted: {parts[-1]!r} or no name"
        if unknown := sorted(set(value) - set(_fields(kind))):
            return False, f"unknown key {unknown[0]!r}, allowed: {', '.join(sorted(_fields(kind)))}"
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return False, f"{error}"
    return None


def encode(value: Any) -> bytes:
    """The canonical JSON text of a value."""
    return msgspec.json.encode(value, order="sorted")


def parse(text: str, file: str = "entries") -> dict[str, bytes]:
    """Parse a text with one entry `KEY VALUE` on each line; returns the canonical values by key.

    The value is one JSON text up to the end of the line. Lines that begin with `#` are comments. Raises
    `EntriesError` with all errors, each as `file:line:column: error, allowed`.
    """
    entries: dict[str, bytes] = {}
    lines: dict[str, int] = {}
    errors = []
    for number, line in enumerate(text.splitlines(), 1):
        content = line.strip()
        if not content or content.startswith("#"):
            continue
        column = len(line) - len(line.lstrip()) + 1
        key, _, rest = content.partition(" ") if " " in content else content.partition("\t")
        at = column + len(content) - len(rest.lstrip())
        if not rest.strip():
            errors.append(f"{file}:{number}:{column + len(key)}: no value, wanted: one JSON text after it")
            continue
        if key in lines:
            errors.append(
                f"{file}:{number}:{column}: {key!r} stands twice, allowed: once "
                f"(line {lines[key]} has it)"
            )
            continue
        lines[key] = number
        try:
            value = decode_json(rest.strip())
        except msgspec.DecodeError as error:
            message = str(error)
            position = BYTE_POSITION.search(message)
            errors.append(
                f"{file}:{number}:{at + (int(position[1]) if position else 0)}: "
                f"{BYTE_POSITION.sub('', message)}, wanted: one JSON text"
            )
            continue
        if (wrong := _find_error(key, value)) is not None:
            errors.append(f"{file}:{number}:{column if wrong[0] else at}: {wrong[1]}")
            continue
        entries[key] = encode(value)
    if errors:
        raise EntriesError(errors)
    return entries


def unparse(entries: Iterable[tuple[str, bytes]]) -> str:
    """The text of entries as `parse` reads it, in the order of their keys."""
    return "".join(f"{key} {value.decode()}\n" for key, value in sorted(entries))


def config_entries(entries: Iterable[tuple[str, bytes]]) -> dict[str, bytes]:
    """The entries that belong to a sender's configuration."""
    return {key: value for key, value in entries if key.startswith(CONFIG + "/")}


def overlay(file: Any, entries: Mapping[str, bytes]) -> Any:
    """A copy of a decoded configuration file with entries applied. The file's objects keep their order."""
    overlaid = msgspec.json.decode(msgspec.json.encode(file))
    for key in sorted(entries):
        *path, last = key.split("/")[1:]
        node = overlaid
        for part in path:
            node = _child(node, part)
        value = decode_json(entries[key])
        if not isinstance(node, dict | list):
            raise ConfigError(f"{key!r} lies below a value that is no group of keys")
        if isinstance(node, list):
            rest = [item for item in node if item.get("name") != last]
            places = [n for n, item in enumerate(node) if item.get("name") == last]
            if value is not None:
                rest.insert(places[0] if places else len(rest), value)
            node[:] = rest
        else:
            node[last] = value
    return overlaid


def _child(node: Any, part: str) -> Any:
    """The child with a name; created if it does not exist. Raises `ConfigError` if nothing lies below."""
    if not isinstance(node, dict | list):
        raise ConfigError(f"an entry lies below {part!r}, where the file has no group of keys")
    if isinstance(node, list):
        child = next((item for item in node if item.get("name") == part), None)
        if child is None:
            child = {"name": part}
            node.append(child)
        return child
    if part not in node:
        node[part] = [] if part in ("services", "orgs") else {}
    return node[part]


def check(document: Document, change: Change, reference: bytes | None = None) -> None:
    """Check a change before it is proposed; raises `DocumentError` if it is invalid.

    With `reference`, the text of a sender's configuration file, that file has to be valid with the changed
    document applied to it.
    """
    check_change(change)
    for key, text in change.sets.items():
        try:
            value = decode_json(text)
        except msgspec.DecodeError as error:
            raise DocumentError(f"the value of {key!r} is no JSON text that is taken: {error}") from None
        if (wrong := _find_error(key, value)) is not None:
            raise DocumentError(f"{key}: {wrong[1]}")
    for key in change.removes:
        if document.get(key) is None:
            raise DocumentError(f"there is no entry {key!r} to remove")
    if reference is None or not any(key.startswith(CONFIG + "/") for key in change.touched_keys()):
        return
    entries = config_entries(document.items()) | config_entries(change.sets.items())
    for key in change.removes:
        entries.pop(key, None)
    try:
        read_config(reference, {}, overlay=lambda file: overlay(file, entries))
    except ConfigError as error:
        raise DocumentError(f"with the reference configuration: {error}") from None
