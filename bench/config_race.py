"""Experiment: twenty operators publish 1,400 changes concurrently.

Meanwhile entry hosts are replaced, reads of the store are stale and answers
of the store are lost. The baseline uses last-writer-wins.
"""

from __future__ import annotations

from collections.abc import Iterator
from concurrent import futures
import contextlib
import math
import pathlib
import random
import threading
import time
from typing import NamedTuple

from bench import race_baseline
from bench import race_entry
from bench import race_operators
from bench import race_verdict
from bench import report
from standins import faults
from standins import local_platform
from standins import platform_state
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import configuration_reader
from wisteriasill.contracts import configuration_store
from wisteriasill.contracts import publication
from wisteriasill.contracts import service_file

OPERATORS = 20
CHANGES = 1400
ENTRY_HOSTS = 7
RESTART_SECONDS = 4.0
SETTLE_SECONDS = 10.0
# Fewer changes are enough to show that the baseline loses some.
BASELINE_CHANGES = 200
FAULTS = (
    faults.Faults(),
    faults.Faults(old_reads_seconds=1.0),
    faults.Faults(lose_answers=0.1),
    faults.Faults(old_reads_seconds=2.0, lose_answers=0.05),
)
FAULT_SECONDS = 1.5


class _EntryFleet:
    """Entry hosts that are replaced one after the other."""

    def __init__(self, platform_: local_platform.LocalPlatform) -> None:
        self._platform = platform_
        self._lock = threading.Lock()
        self.running = [self._start(number) for number in range(ENTRY_HOSTS)]
        self.incarnations = list(self.running)

    def _start(self, number: int) -> race_entry.RaceEntry:
        return race_entry.RaceEntry(f"entry-{number}", self._platform)

    def pick_url(self, rng: random.Random) -> str:
        """Returns the URL of a running entry host."""
        with self._lock:
            return rng.choice(self.running).url

    def replace(self, number: int) -> None:
        """Stops an entry host and starts a new incarnation."""
        with self._lock:
            old = self.running[number]
            self.running[number] = self.running[number - 1]
        old.stop()
        started = self._start(number)
        with self._lock:
            self.running[number] = started
            self.incarnations.append(started)

    def stop(self) -> None:
        """Stops all entry hosts."""
        for incarnation in self.running:
            incarnation.stop()


class RaceResult(NamedTuple):
    """Result of one race."""

    verdict: race_verdict.Verdict
    conflicts: int
    restarts: int
    seconds: float


def _inject_faults(
    state: platform_state.PlatformState,
    fleet: _EntryFleet,
    seed: int,
    done: threading.Event,
) -> int:
    """Changes faults and replaces entry hosts; returns the replacements."""
    rng = random.Random(seed)
    restarts = 0
    restart_at = time.monotonic() + RESTART_SECONDS
    while not done.wait(FAULT_SECONDS):
        state.set_faults(rng.choice(FAULTS))
        if time.monotonic() >= restart_at:
            fleet.replace(restarts % ENTRY_HOSTS)
            restarts += 1
            restart_at = time.monotonic() + RESTART_SECONDS
    state.set_faults(faults.Faults())
    return restarts


def _initial_documents(site: str) -> dict[str, dict[str, object]]:
    folder = pathlib.Path(__file__).parents[1] / "examples" / site
    parsed = service_file.read_directory(folder)
    return {
        configurations.SITE_DOCUMENT: documents.encode(parsed.site),
        **documents.encode(parsed.services_by_name),
    }


def _maintenance_minutes(
    platform_: local_platform.LocalPlatform,
) -> dict[str, int]:
    manifest, _ = configuration_reader.read_manifest(platform_).unwrap()
    loaded = configuration_store.load(
        platform_, manifest, configurations.NO_CONFIGURATION
    ).unwrap()
    return {
        name: service.pool.maintenance_minutes
        for name, service in loaded.services_by_name.items()
    }


def _read_publications(
    platform_: local_platform.LocalPlatform,
) -> list[publication.Publication]:
    rows = platform_.table.scan(configurations.TABLE, "generation/").unwrap()
    return [
        documents.decode(publication.Publication, row.value).unwrap()
        for row in rows
    ]


@contextlib.contextmanager
def _running(platform_: local_platform.LocalPlatform) -> Iterator[_EntryFleet]:
    fleet = _EntryFleet(platform_)
    try:
        yield fleet
    finally:
        fleet.stop()


def run_race(site: str, seed: int) -> RaceResult:
    """Runs the race against the product.

    Args:
        site: `malabar` or `mandacaru`.
        seed: Seed of the operators, the faults and the platform.

    Returns:
        The evaluated result.
    """
    state = platform_state.PlatformState(clocks.SystemClock(), ())
    platform_ = local_platform.LocalPlatform(state, seed)
    change = configuration_store.Change(_initial_documents(site), "first", 0)
    configuration_store.publish(platform_, change).unwrap()
    before = _maintenance_minutes(platform_)
    done = threading.Event()
    started_at = time.monotonic()
    with (
        futures.ThreadPoolExecutor(OPERATORS + 1) as executor,
        _running(platform_) as fleet,
    ):
        fault_injection = executor.submit(
            _inject_faults, state, fleet, seed, done
        )
        operator_runs = [
            executor.submit(
                race_operators.Operator(
                    f"operator-{number}",
                    number,
                    seed * 1000 + number,
                    fleet.pick_url,
                ).run,
                sorted(before),
                CHANGES // OPERATORS,
            )
            for number in range(OPERATORS)
        ]
        try:
            outcomes = [
                outcome
                for operator_run in operator_runs
                for outcome in operator_run.result()
            ]
        finally:
            done.set()
        seconds = time.monotonic() - started_at
        restarts = fault_injection.result()
        _settle(platform_, fleet)
        after = _maintenance_minutes(platform_)
        added = {name: after[name] - before[name] for name in before}
        verdict = race_verdict.evaluate(
            outcomes, _read_publications(platform_), added, fleet.incarnations
        )
    conflicts = sum(outcome.conflicts for outcome in outcomes)
    return RaceResult(verdict, conflicts, restarts, seconds)


def _settle(
    platform_: local_platform.LocalPlatform, fleet: _EntryFleet
) -> None:
    """Waits until the last generation is in force, for a bounded time."""
    manifest, _ = configuration_reader.read_manifest(platform_).unwrap()
    wait_until = time.monotonic() + SETTLE_SECONDS
    pause = threading.Event()
    while time.monotonic() < wait_until and any(
        incarnation.generation < manifest.generation
        for incarnation in fleet.running
    ):
        pause.wait(0.05)


def run(site: str, seed: int) -> report.BenchResult:
    """Runs the race and its baseline.

    Args:
        site: `malabar` or `mandacaru`.
        seed: Seed of all random choices.

    Returns:
        The figures.
    """
    baseline = race_baseline.run_race(
        _initial_documents(site), seed, OPERATORS, BASELINE_CHANGES
    )
    measured = run_race(site, seed)
    verdict = measured.verdict
    p100 = verdict.in_force_p100_seconds
    rows: list[tuple[report.Figure, ...]] = [
        (
            "last writer wins",
            baseline.accepted,
            0,
            baseline.lost,
            baseline.reverts,
            "-",
        ),
        (
            "base generation (kept)",
            verdict.accepted,
            measured.conflicts,
            verdict.lost,
            verdict.reverts,
            round(p100, 3),
        ),
    ]
    return report.BenchResult(
        "config-race",
        site,
        seed,
        ("variant", "accepted", "conflicts", "lost", "reverts", "p100 s"),
        rows,
        {
            "changes_accepted": verdict.accepted,
            "changes_unconfirmed": verdict.unconfirmed,
            "conflicts": measured.conflicts,
            "restarts": measured.restarts,
            "changes_lost": verdict.lost,
            "changes_doubled": verdict.doubled,
            "reverts": verdict.reverts,
            "in_force_p100_seconds": None if math.isinf(p100) else p100,
            "race_seconds": round(measured.seconds, 1),
            "baseline_changes_lost": baseline.lost,
        },
        (
            report.Limit("changes_accepted", "==", CHANGES),
            report.Limit("changes_lost", "==", 0),
            report.Limit("changes_doubled", "==", 0),
            report.Limit("reverts", "==", 0),
            report.Limit("in_force_p100_seconds", "<=", 6),
        ),
    )
