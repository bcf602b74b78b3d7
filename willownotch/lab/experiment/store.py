"""Results in SQLite: a row a case, each in a transaction of its own, so that a kill loses no finished
case."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

import msgspec

from willownotch.lab.experiment.cases import Case
from willownotch.lab.model.ledger import Result

SCHEMA = """
create table if not exists cases (
    key text primary key, scenario text not null, load real not null, policy text not null,
    seed integer not null, version text not null, score real not null, digest text not null,
    took_s real not null, result blob not null
)
"""


class Row(msgspec.Struct, frozen=True):
    """A result that is kept."""

    scenario: str
    load: float
    policy: str
    seed: int
    version: str
    score: float
    digest: str
    took_s: float
    result: Result


class Store:
    """A database of results."""

    def __init__(self, path: str | Path) -> None:
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.execute("pragma journal_mode=wal")
        self._db.execute(SCHEMA)

    def has(self, keys: Iterable[str]) -> set[str]:
        """Those of these cases that are there."""
        known = {key for (key,) in self._db.execute("select key from cases")}
        return known & set(keys)

    def put(self, key: str, case: Case, version: str, result: Result, took_s: float) -> None:
        """Keep a case's result."""
        self._db.execute(
            "insert or replace into cases values (?,?,?,?,?,?,?,?,?,?)",
            (
                key,
                case.scenario,
                case.load,
                case.policy,
                case.seed,
                version,
                result.score,
                result.digest,
                took_s,
                msgspec.msgpack.encode(asdict(result)),
            ),
        )

    def rows(self, keys: Iterable[str]) -> list[Row]:
        """The results of these cases, in a fixed order."""
        wanted, found = set(keys), []
        for key, *fields, blob in self._db.execute(
            "select key, scenario, load, policy, seed, version, score, digest, took_s, result from cases "
            "order by scenario, load, policy, seed"
        ):
            if key in wanted:
                found.append(Row(*fields, msgspec.msgpack.decode(blob, type=Result)))
        return found

    def close(self) -> None:
        """Close it."""
        self._db.close()
