"""Plays what is missing of an experiment, on all cores."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait

from willownotch.lab.experiment.cases import Case, cases, version
from willownotch.lab.experiment.settings import Experiment
from willownotch.lab.experiment.store import Store
from willownotch.lab.model.ledger import Result
from willownotch.lab.model.story import play

AHEAD = 4  # cases handed to the workers beyond those that they play


def work(case: Case) -> tuple[Result, float]:
    """Play one case."""
    began = time.perf_counter()
    result = play(case.settings, case.policy, case.seed)
    return result, time.perf_counter() - began


def run(experiment: Experiment, store: Store, workers: int, progress: Callable[[int], None]) -> list[str]:
    """Play what the store lacks; the keys of all cases. `progress` hears of each that is there."""
    code = version()
    wanted = {case.key(code): case for case in cases(experiment)}
    there = store.has(wanted)
    progress(len(there))
    missing = iter([(key, case) for key, case in wanted.items() if key not in there])
    with ProcessPoolExecutor(workers) as pool:
        running = {}
        while True:
            while len(running) < workers + AHEAD:
                key, case = next(missing, (None, None))
                if key is None:
                    break
                running[pool.submit(work, case)] = key, case
            if not running:
                return list(wanted)
            for future in wait(running, return_when=FIRST_COMPLETED).done:
                key, case = running.pop(future)
                store.put(key, case, code, *future.result())
                progress(1)
