"""Baseline of the configuration race: last-writer-wins.

Operators write the manifest they read, without a base generation, and a
reader adopts whatever the store returns.
"""

from __future__ import annotations

from collections.abc import Mapping
from concurrent import futures
import random
import threading
from typing import Any, NamedTuple

from standins import faults
from standins import local_platform
from standins import platform_state
from wisteriasill import clock as clocks
from wisteriasill.links import platform

TABLE = "configuration"
KEY = "current"
READ_SECONDS = 0.05
OLD_READS_SECONDS = 0.1


class BaselineResult(NamedTuple):
    """Figures of the baseline.

    Attributes:
        accepted: Confirmed changes.
        lost: Confirmed changes that a later writer unknowingly overwrote.
        reverts: Number of times that the reader saw a service revert.
    """

    accepted: int
    lost: int
    reverts: int


def _maintenance_minutes(row: platform.Row) -> dict[str, int]:
    return {
        name: int(value["pool"]["maintenance_minutes"])
        for name, value in row.value.items()
        if "pool" in value
    }


def _read(platform_: local_platform.LocalPlatform) -> platform.Row:
    row = platform_.table.read(TABLE, KEY).unwrap()
    assert row is not None
    return row


def _make_changes(
    platform_: local_platform.LocalPlatform, seed: int, changes: int
) -> int:
    rng = random.Random(seed)
    pause = threading.Event()
    for _ in range(changes):
        row = _read(platform_)
        name = rng.choice(sorted(_maintenance_minutes(row)))
        value: dict[str, Any] = {
            **row.value,
            name: {
                **row.value[name],
                "pool": {
                    **row.value[name]["pool"],
                    "maintenance_minutes": _maintenance_minutes(row)[name] + 1,
                },
            },
        }
        pause.wait(rng.uniform(0, 0.02))
        platform_.table.transact([], [platform.Write(TABLE, KEY, value)])
    return changes


def _count_reverts(
    platform_: local_platform.LocalPlatform, done: threading.Event
) -> int:
    reverts = 0
    before: dict[str, int] = {}
    while not done.wait(READ_SECONDS):
        after = _maintenance_minutes(_read(platform_))
        reverts += any(after[name] < before.get(name, 0) for name in after)
        before = after
    return reverts


def run_race(
    initial_documents: Mapping[str, Mapping[str, object]],
    seed: int,
    operators: int,
    changes: int,
) -> BaselineResult:
    """Runs the baseline.

    Args:
        initial_documents: Documents before the changes.
        seed: Seed of the operators.
        operators: Number of concurrent operators.
        changes: Total number of changes.

    Returns:
        Figures of the baseline.
    """
    state = platform_state.PlatformState(clocks.SystemClock(), ())
    platform_ = local_platform.LocalPlatform(state, seed)
    platform_.table.transact(
        [], [platform.Write(TABLE, KEY, dict(initial_documents))]
    )
    before = _maintenance_minutes(_read(platform_))
    done = threading.Event()
    # Stale reads must already find the first row.
    done.wait(2 * OLD_READS_SECONDS)
    state.set_faults(faults.Faults(old_reads_seconds=OLD_READS_SECONDS))
    with futures.ThreadPoolExecutor(operators + 1) as executor:
        revert_count = executor.submit(_count_reverts, platform_, done)
        operator_runs = [
            executor.submit(
                _make_changes,
                platform_,
                seed * 1000 + number,
                changes // operators,
            )
            for number in range(operators)
        ]
        try:
            accepted = sum(
                operator_run.result() for operator_run in operator_runs
            )
        finally:
            state.set_faults(faults.Faults())
            done.set()
        reverts = revert_count.result()
    after = _maintenance_minutes(_read(platform_))
    added = sum(after[name] - before[name] for name in before)
    return BaselineResult(accepted, accepted - added, reverts)
