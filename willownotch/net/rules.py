"""The rules that a message was accepted under, which are part of its journal record.

Settings may change while a message is outstanding, and the process may restart: only the record keeps them.
"""

from __future__ import annotations

from dataclasses import replace
from functools import lru_cache

import msgspec

from willownotch.interface import DedupScope, Idempotency, MessageClass


class Rules(msgspec.Struct, frozen=True, array_like=True):
    """The settings of a message's class when it was accepted, with the number of attempts allowed."""

    worth: float
    wanted_s: float
    deadline_s: float
    late_share: float
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window_s: float
    in_order: bool
    cost_hint_factor: float
    attempts: int


def rules_of(cls: MessageClass, attempts: int) -> Rules:
    """The current rules of a class."""
    return Rules(
        cls.worth,
        cls.wanted_s,
        cls.deadline_s,
        cls.late_share,
        cls.idempotency,
        cls.dedup_scope,
        cls.dedup_window_s,
        cls.in_order,
        cls.cost_hint_factor,
        attempts,
    )


@lru_cache(64)
def class_of(name: str, rules: Rules) -> MessageClass:
    """The class in the decision module's form. Cached, so that messages with equal rules share one object."""
    own = MessageClass(name, *msgspec.structs.astuple(rules)[:-1])
    return replace(own, attempts=rules.attempts)
