"""The rules that a message was taken under, as they travel with it and stand in its journal record.

Settings change while messages are open, and a process may end in between: nothing else remembers old rules.
"""

from __future__ import annotations

from dataclasses import replace
from functools import lru_cache

import msgspec

from willownotch.interface import DedupScope, Idempotency, MessageClass


class Rules(msgspec.Struct, frozen=True, array_like=True):
    """A class of message as it was then, with the attempts that it allowed."""

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
    """The present rules of a class."""
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
    """As the decision module has it. The few that are in use share one object each."""
    own = MessageClass(name, *msgspec.structs.astuple(rules)[:-1])
    return replace(own, attempts=rules.attempts)
