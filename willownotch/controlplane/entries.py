"""The entries of the document that senders can apply: their text, types, how they lie over a file. No I/O.

A key is a path. `config/...` is a place in the sender's configuration by the names of the file, where a list
of named objects is entered by the names: `config/settings/services/order/credit`. Its value is what stands
there, and holds before the file; `null` takes a named object out. `data/...` is carried, kept and shown, and
nothing of the sender reads it. What belongs to one machine (its name, addresses, folder, disk) is no entry.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from difflib import get_close_matches
from typing import Any, get_args, get_origin

import msgspec

from willownotch.controlplane.document import KEY_MOST, Change, Document, DocumentError, check_change
from willownotch.net.config import ConfigError, ConfigFile, read_config

CONFIG, DATA = "config", "data"
OWN = {  # of each machine, or read at a start only
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
SEGMENT = re.compile(r"[^\s/\x00-\x1f]+")
PLACE = re.compile(r" \(byte (\d+)\)$")


class EntriesError(ValueError):
    """All mistakes of a text of entries, a line each."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


def _fields(kind: type[msgspec.Struct]) -> dict[str, Any]:
    return {field.encode_name: field.type for field in msgspec.structs.fields(kind)}


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _named(kind: Any) -> type[msgspec.Struct] | None:
    """The object of a list of named ones."""
    if get_origin(kind) is list and _is_struct(inner := get_args(kind)[0]) and "name" in _fields(inner):
        return inner
    return None


def _type_at(parts: list[str]) -> tuple[Any, bool]:
    """The type of a place in the configuration, and whether `null` takes it out; `ValueError` says why there
    is none."""
    kind: Any = ConfigFile
    removable = False
    for at, part in enumerate(parts):
        if (named := _named(kind)) is not None:
            kind, removable = named, True
            continue
        if not _is_struct(kind):
            above = "/".join([CONFIG, *parts[:at]])
            raise ValueError(f"nothing lies below {above!r}, allowed: its whole value")
        fields = _fields(kind)
        path = "/".join(parts[: at + 1])
        known = [name for name in fields if "/".join([*parts[:at], name]) not in OWN]
        if part not in fields:
            near = get_close_matches(part, known, 1)
            hint = f" (did you mean {near[0]!r}?)" if near else ""
            raise ValueError(f"unknown key {part!r}{hint}, allowed: {', '.join(sorted(known))}")
        if path in OWN:
            raise ValueError(f"{path!r} is each machine's own, allowed: {', '.join(sorted(known))}")
        kind, removable = fields[part], False
    if kind is ConfigFile or (_is_struct(kind) and not removable) or _named(kind) is not None:
        raise ValueError("a part with keys of its own, wanted: one of these, or a named object")
    return kind, removable


def _fault(key: str, value: Any) -> tuple[bool, str] | None:
    """What is wrong with an entry, and whether it is the key; None if nothing is."""
    first, *parts = key.split("/")
    if len(key.encode()) > KEY_MOST or not all(SEGMENT.fullmatch(part) for part in [first, *parts]):
        return True, f"no key, allowed: words with '/' between them, up to {KEY_MOST} bytes"
    if first not in (CONFIG, DATA) or not parts:
        return True, f"unknown key {key!r}, allowed: {CONFIG}/... or {DATA}/..."
    if first == DATA:
        return None
    try:
        kind, removable = _type_at(parts)
    except ValueError as fault:
        return True, str(fault)
    if value is None and removable:
        return None
    if removable and isinstance(value, dict):
        if value.setdefault("name", parts[-1]) != parts[-1]:
            return False, f"the object is named {value['name']!r}, wanted: {parts[-1]!r} or no name"
        if unknown := sorted(set(value) - set(_fields(kind))):
            return False, f"unknown key {unknown[0]!r}, allowed: {', '.join(sorted(_fields(kind)))}"
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as fault:
        return False, f"{fault}"
    return None


def encode(value: Any) -> bytes:
    """A value as its one JSON text."""
    return msgspec.json.encode(value, order="sorted")


def parse(text: str, file: str = "entries") -> dict[str, bytes]:
    """A text with an entry a line, `KEY VALUE`, the value one JSON text to the line's end; a line that begins
    with `#` is a comment. `EntriesError` has all mistakes, each as `file:line:column: what, allowed`."""
    found: dict[str, bytes] = {}
    lines: dict[str, int] = {}
    mistakes = []
    for number, line in enumerate(text.splitlines(), 1):
        content = line.strip()
        if not content or content.startswith("#"):
            continue
        column = len(line) - len(line.lstrip()) + 1
        key, _, rest = content.partition(" ") if " " in content else content.partition("\t")
        at = column + len(content) - len(rest.lstrip())
        if not rest.strip():
            mistakes.append(f"{file}:{number}:{column + len(key)}: no value, wanted: one JSON text after it")
            continue
        if key in lines:
            mistakes.append(
                f"{file}:{number}:{column}: {key!r} stands twice, allowed: once "
                f"(line {lines[key]} has it)"
            )
            continue
        lines[key] = number
        try:
            value = msgspec.json.decode(rest.strip())
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            said = str(fault)
            place = PLACE.search(said)
            mistakes.append(
                f"{file}:{number}:{at + (int(place[1]) if place else 0)}: "
                f"{PLACE.sub('', said)}, wanted: one JSON text"
            )
            continue
        if (wrong := _fault(key, value)) is not None:
            mistakes.append(f"{file}:{number}:{column if wrong[0] else at}: {wrong[1]}")
            continue
        found[key] = encode(value)
    if mistakes:
        raise EntriesError(mistakes)
    return found


def unparse(entries: Iterable[tuple[str, bytes]]) -> str:
    """Entries as a text that `parse` reads, in the order of their keys."""
    return "".join(f"{key} {value.decode()}\n" for key, value in sorted(entries))


def config_entries(entries: Iterable[tuple[str, bytes]]) -> dict[str, bytes]:
    """Those that a sender's configuration is made of."""
    return {key: value for key, value in entries if key.startswith(CONFIG + "/")}


def overlay(file: Any, entries: Mapping[str, bytes]) -> Any:
    """A configuration file's decoded text with entries over it. The file's own objects keep their order."""
    made = msgspec.json.decode(msgspec.json.encode(file))
    for key in sorted(entries):
        *path, last = key.split("/")[1:]
        here = made
        for part in path:
            here = _below(here, part)
        value = msgspec.json.decode(entries[key])
        if isinstance(here, list):
            rest = [item for item in here if item.get("name") != last]
            places = [n for n, item in enumerate(here) if item.get("name") == last]
            if value is not None:
                rest.insert(places[0] if places else len(rest), value)
            here[:] = rest
        else:
            here[last] = value
    return made


def _below(here: Any, part: str) -> Any:
    """What lies under a name; made where it is not there yet."""
    if isinstance(here, list):
        found = next((item for item in here if item.get("name") == part), None)
        if found is None:
            found = {"name": part}
            here.append(found)
        return found
    if part not in here:
        here[part] = [] if part in ("services", "orgs") else {}
    return here[part]


def check(document: Document, change: Change, reference: bytes | None = None) -> None:
    """What a member asks of a change before it is proposed; `DocumentError` says what is wrong with it.

    With a `reference`, a sender's configuration file, that file with the document over it has to be sound.
    """
    check_change(change)
    for key, text in change.sets.items():
        try:
            value = msgspec.json.decode(text)
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise DocumentError(f"the value of {key!r} is no JSON text") from None
        if (wrong := _fault(key, value)) is not None:
            raise DocumentError(f"{key}: {wrong[1]}")
    for key in change.removes:
        if document.get(key) is None:
            raise DocumentError(f"there is no entry {key!r} to remove")
    if reference is None or not any(key.startswith(CONFIG + "/") for key in change.touched()):
        return
    entries = config_entries(document.items()) | config_entries(change.sets.items())
    for key in change.removes:
        entries.pop(key, None)
    try:
        read_config(reference, {}, overlay=lambda file: overlay(file, entries))
    except ConfigError as fault:
        raise DocumentError(f"with the reference configuration: {fault}") from None
