"""Jobs and faults of the placement experiment."""

from __future__ import annotations

from collections.abc import Mapping
import random
from typing import NamedTuple

from standins import sites
from standins import task_types
from wisteriasill.contracts import service as services

JOBS_PER_POOL = 70
BROKEN_PER_POOL = 2
IMPOSSIBLE_PER_POOL = 2
CHECKPOINTABLE_SHARE = 0.8
MAX_SIZE_ERROR = 10.0  # Factor by which declared sizes can be wrong.
URGENT_RUN_SECONDS = 120.0


class SimulatedJob(NamedTuple):
    """A job with its real behaviour and its declared contract."""

    pool: str
    contract: services.JobContract
    behaviour: task_types.JobBehaviour
    arrives_at: float = 0.0

    @property
    def job_id(self) -> str:
        """Id of the only copy."""
        return f"{self.pool}.{self.contract.name}.1"

    def with_declared_cores(self, cores: float) -> SimulatedJob:
        """Returns the job with other declared cores."""
        return self._replace(contract=self.contract._replace(cores=cores))

    def with_exact_size(self) -> SimulatedJob:
        """Returns the job with its real size declared."""
        behaviour = self.behaviour
        assert behaviour.cores is not None
        assert behaviour.memory_gib is not None
        return self._replace(
            contract=self.contract._replace(
                cores=behaviour.cores, memory_gib=behaviour.memory_gib
            )
        )


class Load(NamedTuple):
    """All jobs and cancellations of a run.

    Attributes:
        regular: Jobs whose useful work is measured.
        urgent: Jobs whose time to start is measured.
        broken: Jobs that fail on every host.
        impossible: Jobs that fit on no host.
        cancelled_at: Time of cancellation by job id.
    """

    regular: tuple[SimulatedJob, ...]
    urgent: tuple[SimulatedJob, ...]
    broken: tuple[SimulatedJob, ...]
    impossible: tuple[SimulatedJob, ...]
    cancelled_at: Mapping[str, float]

    @property
    def all_jobs(self) -> tuple[SimulatedJob, ...]:
        """All jobs of the load."""
        return self.regular + self.urgent + self.broken + self.impossible


def _wrong_size(
    rng: random.Random, true_amount: float, largest: float
) -> float:
    factor: float = MAX_SIZE_ERROR ** rng.uniform(-1, 1)
    return min(max(true_amount * factor, 0.05), largest)


def _job(
    rng: random.Random,
    size: sites.SiteSize,
    pool: str,
    name: str,
    share: tuple[float, float],
) -> SimulatedJob:
    cores = size.cores * rng.uniform(*share)
    memory_gib = size.memory_gib * rng.uniform(*share)
    checkpoints = rng.random() < CHECKPOINTABLE_SHARE
    contract = services.JobContract(
        name=name,
        cores=_wrong_size(rng, cores, size.cores),
        memory_gib=_wrong_size(rng, memory_gib, size.memory_gib),
        expected_hours=1.0,
        checkpoint_minutes=int(checkpoints),
    )
    behaviour = task_types.JobBehaviour(
        cores, memory_gib, rng.uniform(150.0, 1100.0)
    )
    return SimulatedJob(pool, contract, behaviour)


def _urgent(
    rng: random.Random, size: sites.SiteSize, pool: str, arrives_at: float
) -> SimulatedJob:
    job = _job(rng, size, pool, f"urgent-{arrives_at:.0f}", (0.05, 0.3))
    contract = job.contract._replace(
        cores=min(job.contract.cores, size.cores / 2),
        memory_gib=min(job.contract.memory_gib, size.memory_gib / 2),
        urgent=True,
    )
    behaviour = job.behaviour._replace(run_seconds=URGENT_RUN_SECONDS)
    return job._replace(
        contract=contract, behaviour=behaviour, arrives_at=arrives_at
    )


def build(
    site: str, seed: int, pools: tuple[str, ...], duration_seconds: float
) -> Load:
    """Builds the load, which is the same for all variants.

    Args:
        site: `malabar` or `mandacaru`.
        seed: Seed of the random numbers.
        pools: Names of the pools.
        duration_seconds: Length of the run.

    Returns:
        The load; two bursts cancel a third of a pool's jobs each.
    """
    rng = random.Random(seed)
    size = sites.SIZES_BY_SITE[site]
    regular = tuple(
        _job(rng, size, pool, f"job-{number}", (0.02, 0.2))
        for pool in pools
        for number in range(JOBS_PER_POOL)
    )
    broken = _small_jobs(rng, size, pools, "broken", BROKEN_PER_POOL)
    impossible = _small_jobs(
        rng, size, pools, "impossible", IMPOSSIBLE_PER_POOL
    )
    urgent = tuple(
        _urgent(rng, size, rng.choice(pools), at + rng.random())
        for at in range(60, int(duration_seconds) - 60, 30)
    )
    bursts = {
        pools[0]: duration_seconds / 3,
        pools[1]: duration_seconds / 2,
    }
    return Load(
        regular,
        urgent,
        tuple(map(_failing_on_every_host, broken)),
        tuple(job.with_declared_cores(1.5 * size.cores) for job in impossible),
        _choose_cancelled(rng, regular, bursts),
    )


def _small_jobs(
    rng: random.Random,
    size: sites.SiteSize,
    pools: tuple[str, ...],
    name: str,
    count: int,
) -> list[SimulatedJob]:
    return [
        _job(rng, size, pool, f"{name}-{number}", (0.02, 0.1))
        for pool in pools
        for number in range(count)
    ]


def _failing_on_every_host(job: SimulatedJob) -> SimulatedJob:
    behaviour = job.behaviour._replace(fails_after_seconds=3.0)
    return job._replace(behaviour=behaviour)


def _choose_cancelled(
    rng: random.Random,
    regular: tuple[SimulatedJob, ...],
    time_by_pool: Mapping[str, float],
) -> dict[str, float]:
    return {
        job.job_id: at
        for pool, at in time_by_pool.items()
        for job in rng.sample(
            [job for job in regular if job.pool == pool], JOBS_PER_POOL // 3
        )
    }
