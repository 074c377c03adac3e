"""Experiment: no request with an idempotency key runs twice.

Callers send each key through several entry hosts and retry until they get the
reply. Meanwhile back ends lose responses, the store loses answers and fails,
and entry hosts are killed and restarted. The baseline publishes the same
requests as repeatable, so no request records are written.
"""

from __future__ import annotations

from concurrent import futures
import itertools
import random
import time
from typing import NamedTuple

from bench import entry_processes
from bench import key_load
from bench import report
from standins import backend_records
from standins import balancer as balancers
from standins import demo_load
from standins import faults as fault_switches
from wisteriasill.contracts import service as services
from wisteriasill.contracts import service_file

_KEYS = 3200
_BASELINE_KEYS = 800
_KEYS_PER_SECOND = 64.0
_SETTLE_SECONDS = 5.0
_BEFORE_KILL_SECONDS = 1.0
_DOWN_SECONDS = 1.5
_FAULTY_BACKENDS = 3  # One of this many has the faults of the phase.
LIMITS = (
    report.Limit("keys", ">=", 3000),
    report.Limit("executed_twice", "==", 0),
    report.Limit("false_no", "==", 0),
    report.Limit("no_after_run", "==", 0),
    report.Limit("wrong_replies", "==", 0),
    report.Limit("replays_incomplete", "==", 0),
    report.Limit("kills", ">=", 3),
    report.Limit("replays_checked", ">=", 1),
)


class _Phase(NamedTuple):
    """Faults of one part of the run.

    Attributes:
        name: Name in the output.
        store: Faults of the platform.
        backends: Faults of a third of the back ends.
        kill: Whether an entry host is killed and restarted.
    """

    name: str
    store: fault_switches.Faults = fault_switches.Faults()
    backends: backend_records.Faults = backend_records.NO_FAULTS
    kill: bool = False


_PHASES = (
    _Phase("no fault"),
    _Phase("duplicates, kill -9", kill=True),
    _Phase(
        "responses lost", backends=backend_records.Faults(truncate="length")
    ),
    _Phase("store answers lost", fault_switches.Faults(lose_answers=0.3)),
    _Phase("store down", fault_switches.Faults(down=True)),
    _Phase(
        "store answers lost, kill -9",
        fault_switches.Faults(lose_answers=0.3),
        kill=True,
    ),
    _Phase("store slow", fault_switches.Faults(slow_seconds=0.3)),
    _Phase(
        "all at once",
        fault_switches.Faults(lose_answers=0.2, slow_seconds=0.1),
        backend_records.Faults(truncate="chunk"),
        kill=True,
    ),
)


def _as_repeatable(service: services.Service) -> services.Service:
    return service._replace(
        requests=tuple(
            request_class._replace(repeat=services.Repeat.SAFE)
            for request_class in service.requests
        )
    )


class _Run:
    """Run of one variant: the site, its load and the faults."""

    def __init__(
        self, site: str, seed: int, keys: int, keeps_records: bool
    ) -> None:
        """Builds the run.

        Args:
            site: Name of the site.
            seed: Seed of the load and the faults.
            keys: Number of keys.
            keeps_records: Whether request records are written; False for the
                baseline.
        """
        self._random = random.Random(seed)
        self._seed = seed
        self._keeps_records = keeps_records
        self._seconds = keys / _KEYS_PER_SECOND
        self._site = entry_processes.ProductSite(
            site,
            seed,
            (lambda service: service) if keeps_records else _as_repeatable,
        )
        self._calls = _build_calls(site, keys)
        self.kills: list[key_load.Kill] = []

    def measure(self) -> key_load.KeyCounts:
        """Runs load and faults and compares callers with back ends."""
        load = key_load.KeyLoad(self._site.balancer)
        with self._site.running(), futures.ThreadPoolExecutor(1) as pool:
            faults = pool.submit(self._inject_faults)
            load.run(key_load.plan(self._calls, self._seconds, self._seed))
            faults.result()
            attempts = load.join()
            self._site.wait(
                "all entry hosts are ready again",
                lambda: self._site.has_ready_entries(
                    entry_processes.ENTRY_HOSTS
                ),
            )
            time.sleep(_SETTLE_SECONDS)
            replayed = self._calls if self._keeps_records else []
            replays = load.replay(replayed, _KEYS_PER_SECOND)
            load.close()
            reports = self._site.fleet.reports_by_host().values()
            return key_load.count(attempts, replays, self.kills, reports)

    def _inject_faults(self) -> None:
        phase_seconds = self._seconds / len(_PHASES)
        for phase in _PHASES:
            started_at = time.monotonic()
            self._set_faults(phase)
            if phase.kill:
                self._kill_and_restart()
            time.sleep(max(0.0, started_at + phase_seconds - time.monotonic()))
        self._set_faults(_Phase("end"))

    def _set_faults(self, phase: _Phase) -> None:
        self._site.fleet.state.set_faults(phase.store)
        for index, backend in enumerate(
            self._site.fleet.backends_by_host.values()
        ):
            if index % _FAULTY_BACKENDS == 0:
                backend.faults = phase.backends

    def _kill_and_restart(self) -> None:
        entry_index = self._random.randrange(entry_processes.ENTRY_HOSTS)
        time.sleep(_BEFORE_KILL_SECONDS)
        entry = self._site.entries[entry_index]
        entry.kill()
        self.kills.append(key_load.Kill(entry.ports.caller, time.monotonic()))
        time.sleep(_DOWN_SECONDS)
        self._site.start_entry(entry_index)


def _build_calls(site: str, keys: int) -> list[balancers.Call]:
    parsed = service_file.read_directory(entry_processes.EXAMPLES / site)
    non_repeatable = [
        template
        for template in demo_load.templates(parsed.services_by_name)
        if template.never_repeat
    ]
    return [
        balancers.Call(
            template.method,
            template.path,
            demo_load.CALLERS[index % len(demo_load.CALLERS)],
            f"order {index}".encode() * _body_repeats(index),
            f"key-{index}",
            template.deadline_ms,
        )
        for index, template in zip(
            range(keys), itertools.cycle(non_repeatable), strict=False
        )
    ]


def _body_repeats(index: int) -> int:
    """Makes one of 50 bodies, and so its reply, too long for the record."""
    return 4000 if index % 50 == 0 else 1


def run(site: str, seed: int) -> report.BenchResult:
    """Measures the request records and the baseline without them.

    Args:
        site: Name of the site.
        seed: Seed of the load and the faults.

    Returns:
        Figures of the run with request records.
    """
    baseline = _Run(site, seed, _BASELINE_KEYS, keeps_records=False).measure()
    record_run = _Run(site, seed, _KEYS, keeps_records=True)
    counts = record_run.measure()
    return report.BenchResult(
        name="at-most-once",
        site=site,
        seed=seed,
        columns=("variant", *key_load.KeyCounts._fields),
        rows=[
            ("no records (baseline)", *baseline),
            ("records *", *counts),
        ],
        figures={**counts._asdict(), "kills": len(record_run.kills)},
        limits=LIMITS,
    )
