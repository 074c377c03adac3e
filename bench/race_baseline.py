"""The baseline of the configuration race: the last writer wins.

Operators write the manifest they read, without a base generation, and a
reader takes over whatever the store shows.
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


class BlindResult(NamedTuple):
    """Figures of the baseline.

    Attributes:
        accepted: Changes that were confirmed.
        lost: Confirmed changes that someone undid without knowing of them.
        reverts: Times that the reader saw a service go back.
    """

    accepted: int
    lost: int
    reverts: int


def _minutes(row: platform.Row) -> dict[str, int]:
    return {
        name: int(value["pool"]["maintenance_minutes"])
        for name, value in row.value.items()
        if "pool" in value
    }


def _read(platform_: local_platform.LocalPlatform) -> platform.Row:
    row = platform_.table.read(TABLE, KEY).unwrap()
    assert row is not None
    return row


def _operate(
    platform_: local_platform.LocalPlatform, seed: int, changes: int
) -> int:
    chooser = random.Random(seed)
    pause = threading.Event()
    for _ in range(changes):
        row = _read(platform_)
        name = chooser.choice(sorted(_minutes(row)))
        value: dict[str, Any] = {
            **row.value,
            name: {
                **row.value[name],
                "pool": {
                    **row.value[name]["pool"],
                    "maintenance_minutes": _minutes(row)[name] + 1,
                },
            },
        }
        pause.wait(chooser.uniform(0, 0.02))
        platform_.table.transact([], [platform.Write(TABLE, KEY, value)])
    return changes


def _watch(
    platform_: local_platform.LocalPlatform, done: threading.Event
) -> int:
    reverts = 0
    before: dict[str, int] = {}
    while not done.wait(READ_SECONDS):
        after = _minutes(_read(platform_))
        reverts += any(after[name] < before.get(name, 0) for name in after)
        before = after
    return reverts


def race(
    first: Mapping[str, Mapping[str, object]],
    seed: int,
    operators: int,
    changes: int,
) -> BlindResult:
    """Runs the baseline.

    Args:
        first: The documents at the start.
        seed: Seed of the operators.
        operators: How many operators write at once.
        changes: How many changes they make together.

    Returns:
        What it showed.
    """
    state = platform_state.PlatformState(clocks.SystemClock(), ())
    platform_ = local_platform.LocalPlatform(state, seed)
    platform_.table.transact([], [platform.Write(TABLE, KEY, dict(first))])
    before = _minutes(_read(platform_))
    done = threading.Event()
    # Old reads must find the first row.
    done.wait(2 * OLD_READS_SECONDS)
    state.set_faults(faults.Faults(old_reads_seconds=OLD_READS_SECONDS))
    with futures.ThreadPoolExecutor(operators + 1) as executor:
        watching = executor.submit(_watch, platform_, done)
        working = [
            executor.submit(
                _operate, platform_, seed * 1000 + number, changes // operators
            )
            for number in range(operators)
        ]
        try:
            accepted = sum(work.result() for work in working)
        finally:
            state.set_faults(faults.Faults())
            done.set()
        reverts = watching.result()
    after = _minutes(_read(platform_))
    added = sum(after[name] - before[name] for name in before)
    return BlindResult(accepted, accepted - added, reverts)
