"""Experiment: placement of jobs with wrong declared sizes, under faults.

Five pools of six hosts have more work than fits. Declared sizes are wrong by
up to a factor of ten. Some jobs fit on no host and some fail on every host.
Two hosts fail every task for a while, and one is partitioned while its tasks
keep running. Two bursts cancel a third of a pool's jobs each, and every
controller is replaced once. One in a hundred answers to writes is lost. Each
platform call takes 3 ms.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import loguru

from bench import placement_load
from bench import placement_run
from bench import report
from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement

COLUMNS = (
    "variant",
    "useful core-hours",
    "urgent max s",
    "urgent not started",
    "at once",
    "orphans",
    "wrongly quarantined",
    "broken running",
    "memory kills",
    "transactions/s",
)
NOT_STARTED_SECONDS = 1e6  # Start time of a job that did not start.
FIGURES = (
    "useful_core_hours",
    "urgent_start_max_seconds",
    "urgent_not_started",
    "concurrent_runs",
    "orphan_tasks",
    "wrongly_quarantined",
    "broken_not_quarantined",
    "memory_kills",
    "transactions_per_second",
)
LIMITS = (
    report.Limit("urgent_start_max_seconds", "<=", 2.9),
    report.Limit("useful_work_share", ">=", 0.85),
    report.Limit("concurrent_runs", "==", 0),
    report.Limit("orphan_tasks", "==", 0),
    report.Limit("wrongly_quarantined", "==", 0),
    report.Limit("broken_not_quarantined", "==", 0),
    report.Limit("impossible_without_reason", "==", 0),
)


class _ExactSizePlacement(placement.SpreadPlacement):
    """Placement without size correction, as declared sizes are exact."""

    corrects_sizes = False


VARIANTS = (
    placement_run.Variant(
        "first fit, declared sizes", placement.FirstFitPlacement(), False
    ),
    placement_run.Variant("exact sizes known", _ExactSizePlacement(), True),
    placement_run.Variant(
        "corrected sizes (kept)", placement.SpreadPlacement(), False
    ),
)


def _figures(
    run_: placement_run.PlacementRun, load: placement_load.Load
) -> dict[str, report.Figure]:
    row_by_id = {job.job_id: job for job in run_.rows()}
    quarantined = _in_state(row_by_id, jobs.JobState.QUARANTINED)
    tasks = run_.state.tasks
    return {
        "useful_core_hours": run_.useful_core_hours(),
        "urgent_start_max_seconds": max(
            run_.started_at.get(job.job_id, NOT_STARTED_SECONDS)
            - job.arrives_at
            for job in load.urgent
        ),
        "urgent_not_started": _count(
            job.job_id not in run_.started_at for job in load.urgent
        ),
        "concurrent_runs": tasks.overlaps,
        "orphan_tasks": run_.orphans(),
        "wrongly_quarantined": _count(
            job.job_id in quarantined for job in (*load.regular, *load.urgent)
        ),
        "broken_not_quarantined": _count(
            job.job_id not in quarantined for job in load.broken
        ),
        "memory_kills": tasks.memory_kills,
        "transactions_per_second": run_.transactions_per_second(),
        "impossible_without_reason": _count_without_reason(row_by_id, load),
    }


def _in_state(
    row_by_id: Mapping[str, jobs.Job], state: jobs.JobState
) -> set[str]:
    return {job_id for job_id, job in row_by_id.items() if job.state is state}


def _count_without_reason(
    row_by_id: Mapping[str, jobs.Job], load: placement_load.Load
) -> int:
    return _count(
        "the largest host has" not in row_by_id[job.job_id].reason
        for job in load.impossible
    )


def _count(conditions: Iterable[bool]) -> int:
    return sum(conditions)


def run(site: str, seed: int) -> report.BenchResult:
    """Runs the experiment.

    Args:
        site: `malabar` or `mandacaru`.
        seed: Seed of its random numbers.

    Returns:
        One row per variant, the one in use last.
    """
    loguru.logger.remove()
    load = placement_load.build(
        site, seed, placement_run.POOLS, placement_run.DURATION_SECONDS
    )
    figures_by_variant: dict[str, dict[str, report.Figure]] = {}
    for variant in VARIANTS:
        run_ = placement_run.PlacementRun(site, seed, variant, load)
        run_.run()
        figures_by_variant[variant.name] = _figures(run_, load)
    measured = dict(figures_by_variant[VARIANTS[-1].name])
    exact = figures_by_variant[VARIANTS[1].name]["useful_core_hours"]
    useful = measured["useful_core_hours"]
    assert isinstance(exact, float) and isinstance(useful, float)
    measured["useful_work_share"] = useful / exact
    return report.BenchResult(
        "placement",
        site,
        seed,
        COLUMNS,
        [
            [name, *(figures[key] for key in FIGURES)]
            for name, figures in figures_by_variant.items()
        ],
        measured,
        LIMITS,
    )
