"""Reads the configuration of a sender: JSON, converted into the decision module's settings."""

from __future__ import annotations

import errno
import os
import re
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from datetime import timedelta
from math import inf
from pathlib import Path
from typing import Annotated, Any

import msgspec

from willownotch import interface as api
from willownotch.json_text import decode_json
from willownotch.net.rules import Rules, rules_of

MAX_PERIOD_S = 0.05  # between two decision rounds: a client's answer waits for one
MAX_HOST_CHARS, MAX_PORT = 253, 65535
HOST_LABEL = r"[0-9A-Za-z_]([0-9A-Za-z_-]{0,61}[0-9A-Za-z_])?"
HOST_NAME = re.compile(rf"{HOST_LABEL}(\.{HOST_LABEL})*")
IPV6_ADDRESS = re.compile(r"(?=.*:)[0-9A-Fa-f:.]{2,45}")
MAX_READ_TRIES, READ_RETRY_DELAY_S = 30, 0.05
READ_RETRY_ERRORS = {
    errno.EIO,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.EINTR,
    errno.EAGAIN,
    errno.ESTALE,
}

MAX_SETTING = 1e9  # of any number in the configuration: as seconds some thirty years
Number = Annotated[float, msgspec.Meta(ge=-MAX_SETTING, le=MAX_SETTING)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SETTING)]
Positive = Annotated[float, msgspec.Meta(ge=1e-6, le=MAX_SETTING)]
Count = Annotated[int, msgspec.Meta(ge=0, le=int(MAX_SETTING))]

Overlay = Callable[[Any], Any]  # from a file's decoded JSON to the JSON that applies


class ConfigError(ValueError):
    """The configuration is invalid; the text is one line for operators."""


class CamelCaseStruct(msgspec.Struct, rename="camel"):
    """Fields are read under camelCase names; unknown keys are ignored."""


class ClassEntry(CamelCaseStruct):
    """One class of message."""

    name: str
    credit: Number
    promise_s: Number
    hard_limit_s: Number
    idempotency: str
    late_share: Amount = 0.0
    group: str | None = "all"
    memory_span_s: Amount = 0.0
    one_at_a_time: bool = False
    aim_stretch: Amount = 0.0


class TenantEntry(CamelCaseStruct):
    """A tenant."""

    name: str
    quota_per_s: Amount = 0.0


class FamilyInfoEntry(CamelCaseStruct):
    """Settings of the kind of service."""

    slots: Count
    decay: str = "even"
    separate_routes: list[bool] = []
    kind_batch: list[Count] = []
    fee_by_zone: list[Amount] = []
    refusal_cost: Amount = 0.0


class PolicyLimitsEntry(CamelCaseStruct):
    """The limits on what a sender may do."""

    max_open: Count
    max_attempts: Count
    connect_timeout_s: Amount = 1.5
    keepalive_s: Amount | None = None
    max_retry_after_s: Amount = 0.0
    may_cancel: bool = False
    retry_after: bool = False
    second_copies: bool = False


class RulesEntry(CamelCaseStruct):
    """Parameters of the delivery rules."""

    cold_share: Positive
    cold_s: Positive
    fall_multiple: Positive
    fall_s: Positive
    grace_to_answer_s: Amount = 0.0
    key_quiet_s: Amount = 0.0
    ask_within_s: Amount = 10.0


class CostsEntry(CamelCaseStruct, frozen=True):
    """Points deducted from the result."""

    waste: Amount = 0.0
    handshake: Amount = 0.0


class CallersEntry(CamelCaseStruct, frozen=True):
    """How clients behave."""

    marks_retry: bool = False


class SettingsEntry(CamelCaseStruct):
    """The `settings` object, as the simulator gives it to a sender."""

    services: list[ClassEntry]
    models: list[str]
    family_info: FamilyInfoEntry
    policy_limits: PolicyLimitsEntry
    rules: RulesEntry
    peers_total: Count
    orgs: list[TenantEntry] = []
    costs: CostsEntry = CostsEntry()
    callers: CallersEntry = CallersEntry()
    period_s: Amount = 0.005
    discovery: str = "automatic"
    over_share_worth: Amount = 1.0
    weight_kind: str = "none"
    zones: list[str] = []


class Limits(msgspec.Struct):
    """Resource limits of the process."""

    memory_mb: Amount = 192.0
    sockets: Count = 1024
    disk_mb: Amount = 3.0


class ListedEndpoint(msgspec.Struct):
    """One endpoint in the list from discovery."""

    name: str
    address: str
    group: int
    status: str
    type: str = ""
    zone: str = ""
    weight: float = 0.0
    since_ms: int = 0


class ListUpdate(msgspec.Struct):
    """The whole list from discovery (`snapshot`), or the entries changed since the last version."""

    index: int
    snapshot: bool
    endpoints: list[ListedEndpoint]


class ConfigFile(msgspec.Struct):
    """The file named by $LB_CONFIG."""

    settings: SettingsEntry
    name: str = ""
    listen: str = ""
    discovery: str = ""
    management: str = ""
    seed: str = "0"
    state: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)
    known: ListUpdate | None = None


class Config(msgspec.Struct, frozen=True):
    """The validated configuration of a sender."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: Path
    seed: int
    limits: Limits
    known: ListUpdate | None
    settings: api.Settings
    zones: tuple[str, ...]
    connect_timeout: timedelta
    keepalive: timedelta  # not used; a process of an older version that takes over reads it
    period: timedelta
    management: tuple[str, int] | None = None  # address of the management interface; none without it
    rules: dict[str, Rules] = {}  # by class, for messages accepted from now on
    shared_discovery: bool = False  # discovery is one service for all senders, not an agent on this machine
    keys: frozenset[str] = frozenset()  # in the file; a replacing file must have them all


def read_address(text: str, what: str) -> tuple[str, int]:
    """Parse HOST:PORT. `what` names the address in the `ConfigError`.

    HOST is an address or a name in the form of RFC 1123: what a connect could not even encode is refused.
    """
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    valid = len(host) <= MAX_HOST_CHARS and (HOST_NAME.fullmatch(host) or IPV6_ADDRESS.fullmatch(host))
    if not colon or not valid or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > MAX_PORT:
        raise ConfigError(f"{what} is not HOST:PORT: {text[:MAX_HOST_CHARS]!r}")
    return host, int(port)


def module_settings(entry: SettingsEntry) -> api.Settings:
    """The decision module's settings. What the sockets do not carry (probes, peer notes) stays off."""
    family, policy, rules = entry.family_info, entry.policy_limits, entry.rules
    apart, batch = family.separate_routes, family.kind_batch
    return api.Settings(
        classes=tuple(
            api.MessageClass(
                c.name,
                c.credit,
                c.promise_s,
                c.hard_limit_s,
                c.late_share,
                api.Idempotency(c.idempotency),
                api.DedupScope(c.group or "all"),
                c.memory_span_s,
                c.one_at_a_time,
                c.aim_stretch,
            )
            for c in entry.services
        ),
        kinds=tuple(
            api.DestinationKind(name, batch[n] if n < len(batch) else 1, n < len(apart) and apart[n])
            for n, name in enumerate(entry.models)
        ),
        slots=family.slots,
        holding_room=policy.max_open,
        tenants=tuple(api.Tenant(org.name, org.quota_per_s) for org in entry.orgs),
        senders=entry.peers_total,
        max_attempts=policy.max_attempts,
        decay=api.Decay(family.decay),
        over_share_worth=entry.over_share_worth,
        zone_fees=tuple(family.fee_by_zone),
        refusal_price=family.refusal_cost,
        waste_price=entry.costs.waste,
        handshake_price=entry.costs.handshake,
        keepalive_s=policy.keepalive_s or inf,
        max_retry_after_s=policy.max_retry_after_s if policy.retry_after else 0.0,
        may_cancel=policy.may_cancel,
        second_copies=policy.second_copies,
        listed_rates=entry.weight_kind in ("nominal", "rough"),
        clients_mark_retries=entry.callers.marks_retry,
        rules=api.Rules(
            rules.grace_to_answer_s,
            rules.cold_share,
            rules.cold_s,
            rules.fall_multiple,
            rules.fall_s,
            rules.key_quiet_s,
            rules.ask_within_s,
        ),
    )


def key_paths(value: Any, depth: int = 3) -> Iterator[str]:
    """The dotted paths of all keys in decoded JSON; of objects in a list, the keys that all have."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield key
            if depth > 1 and key != "known":
                yield from (f"{key}.{name}" for name in key_paths(inner, depth - 1))
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        yield from sorted(set.intersection(*(set(item) for item in value)))


def read_config(
    text: bytes, env: Mapping[str, str], old: Config | None = None, overlay: Overlay | None = None
) -> Config:
    """Parse and check a file's text. Raises `ConfigError`.

    Environment variables take precedence, but not over the file's `discovery`: the file can be replaced while
    the process runs, and is then newer than the environment. A file that replaces `old` must have all its
    keys: a missing one would silently change a rule to its default. `overlay` applies a revision to the
    decoded file.
    """
    try:
        file = decode_json(text, ConfigFile)
        keys = frozenset(key_paths(decode_json(text)))
        if overlay is not None:
            file = msgspec.convert(overlay(decode_json(text)), ConfigFile)
    except msgspec.DecodeError as fault:
        raise ConfigError(f"the configuration cannot be read: {fault}") from None
    if old is not None and (missing := sorted(old.keys - keys)):
        raise ConfigError(f"the configuration is short of {missing[0]!r}, which it had before")
    if duplicates := sorted(
        {c.name for c in file.settings.services if [d.name for d in file.settings.services].count(c.name) > 1}
    ):
        raise ConfigError(f"the configuration has the class {duplicates[0]!r} twice")
    state = env.get("LB_STATE") or file.state
    if not state:
        raise ConfigError("no state folder: set LB_STATE or 'state'")
    if not re.fullmatch(r"[0-9a-fA-F]{1,64}", file.seed):
        raise ConfigError(f"'seed' is not a hexadecimal number: {file.seed!r}")
    if file.limits.sockets < 64 or file.limits.disk_mb <= 0:
        raise ConfigError("'limits' must allow at least 64 sockets and some disk")
    try:
        settings = module_settings(file.settings)
    except ValueError as fault:
        raise ConfigError(str(fault)) from None
    policy = file.settings.policy_limits
    management = env.get("LB_MANAGEMENT") or file.management
    return Config(
        name=env.get("LB_NAME") or file.name or "sender",
        listen=read_address(env.get("LB_LISTEN") or file.listen, "the address to listen on"),
        discovery=read_address(file.discovery or env.get("LB_DISCOVERY", ""), "discovery's address"),
        state=Path(state),
        seed=int(file.seed, 16),
        limits=file.limits,
        known=file.known,
        settings=settings,
        zones=tuple(file.settings.zones),
        connect_timeout=timedelta(seconds=policy.connect_timeout_s),
        keepalive=timedelta(seconds=policy.keepalive_s or 60.0),
        period=timedelta(seconds=min(MAX_PERIOD_S, max(0.0, file.settings.period_s))),
        management=read_address(management, "the management address") if management else None,
        shared_discovery=file.settings.discovery == "subscribe",
        keys=keys,
        rules={c.name: rules_of(c, settings.max_attempts) for c in settings.classes},
    )


def retuned(old: Config, new: Config) -> tuple[Config, list[str]]:
    """The part of a replacing configuration that applies at once, and the names of what needs a restart.

    Endpoints keep the kind and zone that they were listed with, and files keep their limits.
    """
    fixed = ("name", "listen", "state", "zones", "management")
    at_restart = [name for name in fixed if getattr(new, name) != getattr(old, name)]
    at_restart += ["kinds"] * (new.settings.kinds != old.settings.kinds)
    for name in ("disk_mb", "memory_mb"):
        at_restart += [name] * (getattr(new.limits, name) != getattr(old.limits, name))
    limits = msgspec.structs.replace(old.limits, sockets=new.limits.sockets)
    settings = replace(new.settings, kinds=old.settings.kinds)
    kept = {name: getattr(old, name) for name in (*fixed, "seed", "known")}
    return msgspec.structs.replace(new, limits=limits, settings=settings, **kept), at_restart


def load(
    path: str | None = None,
    env: Mapping[str, str] = os.environ,
    old: Config | None = None,
    overlay: Overlay | None = None,
) -> Config:
    """Read the configuration at `path`, or the one that $LB_CONFIG names. Raises `ConfigError`."""
    file_path = path or env.get("LB_CONFIG")
    if not file_path:
        raise ConfigError("no configuration: set LB_CONFIG or give --config FILE")
    try:
        text = _read_with_retries(Path(file_path))
    except OSError as fault:
        raise ConfigError(f"the configuration cannot be read: {fault}") from None
    return read_config(text, env, old, overlay)


def _read_with_retries(path: Path) -> bytes:
    """A file's bytes; reading is repeated after errors of the disk or the system that may pass."""
    for attempt in range(MAX_READ_TRIES):
        try:
            return path.read_bytes()
        except OSError as fault:
            if fault.errno not in READ_RETRY_ERRORS or attempt + 1 == MAX_READ_TRIES:
                raise
            time.sleep(READ_RETRY_DELAY_S)
    raise AssertionError("unreachable")
