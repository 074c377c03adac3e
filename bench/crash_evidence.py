"""Experiment: tasks that crash their workers, beside workers that crash alone.

A pool of workers runs tasks, most of them short. In a spell of 20 s a share of
the workers crashes every 0.6 to 2.5 s, whatever runs there; 30 s without such
crashes follow. In half of the variants twelve tasks arrive that crash each
worker that starts them. Each variant is played with ten seeds.
"""

from __future__ import annotations

import itertools

import loguru

from bench import crash_pool
from bench import report

WORKERS_BY_SITE = {"malabar": 40, "mandacaru": 20}
SHARES = (0.05, 0.1, 0.2, 0.4)
SEEDS = 10
BAD_TASKS = 12
COLUMNS = (
    "share of workers",
    "bad tasks",
    "sound tasks",
    "sound crashed",
    "sound given up",
    "sound wait max s",
    "bad given up",
    "workers per bad task max",
    "mean",
)
LIMITS = (
    report.Limit("sound_given_up", "==", 0),
    report.Limit("bad_not_found", "==", 0),
    report.Limit("workers_per_bad_task_max", "<=", 3),
)


def _row(site: str, seed: int, share: float, bad: int) -> list[report.Figure]:
    runs = [
        crash_pool.PoolRun(
            WORKERS_BY_SITE[site], share, bad, seed * SEEDS + number
        )
        for number in range(SEEDS)
    ]
    for run_ in runs:
        run_.run()
    tasks = [*itertools.chain.from_iterable(run_.tasks for run_ in runs)]
    sound = [task for task in tasks if not task.bad]
    found = [task for task in tasks if task.bad and task.given_up]
    workers = [task.crashed_workers for task in tasks if task.bad]
    return [
        share,
        bad * SEEDS,
        len(sound),
        sum(task.crashed_workers > 0 for task in sound),
        sum(task.given_up for task in sound),
        max(task.longest_wait for task in sound),
        len(found),
        max(workers, default=0),
        sum(workers) / len(workers) if workers else 0.0,
    ]


def run(site: str, seed: int) -> report.BenchResult:
    """Runs the experiment.

    Args:
        site: `malabar` or `mandacaru`.
        seed: Seed of its random numbers.

    Returns:
        One row per share of crashing workers, without and with bad tasks.
    """
    loguru.logger.remove()
    rows = [
        _row(site, seed, share, bad)
        for bad, share in itertools.product((0, BAD_TASKS), SHARES)
    ]
    figures_by_row = [dict(zip(COLUMNS, row, strict=True)) for row in rows]
    return report.BenchResult(
        "crash-evidence",
        site,
        seed,
        COLUMNS,
        rows,
        {
            "sound_given_up": _total(figures_by_row, "sound given up"),
            "bad_not_found": _total(figures_by_row, "bad tasks")
            - _total(figures_by_row, "bad given up"),
            "workers_per_bad_task_max": max(
                int(row["workers per bad task max"] or 0)
                for row in figures_by_row
            ),
        },
        LIMITS,
    )


def _total(rows: list[dict[str, report.Figure]], column: str) -> int:
    return sum(int(row[column] or 0) for row in rows)
