"""Cache of one pool's job rows, kept by their only writer."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple, TypeVar

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import job_schedule
from wisteriasill.contracts import jobs
from wisteriasill.contracts import quota
from wisteriasill.contracts import service as services
from wisteriasill.links import platform

ROWS_PER_TRANSACTION = 40
NO_EPOCH_ROW = platform.Row("", "", 0, {})

T = TypeVar("T")
Outcome = result.Result[None, errors.Failure]


class _VersionedTeam(NamedTuple):
    """A team's row as last read; version 0 if there is none."""

    use: quota.TeamUse
    version: int


def _chunks(items: Sequence[T]) -> Iterator[Sequence[T]]:
    for first in range(0, len(items), ROWS_PER_TRANSACTION):
        yield items[first : first + ROWS_PER_TRANSACTION]


def _sum_by_team(pool_jobs: Iterable[jobs.Job]) -> dict[str, quota.Size]:
    held: dict[str, quota.Size] = {}
    for job in pool_jobs:
        if job_schedule.holds_resources(job):
            held[job.team] = held.get(job.team, quota.NOTHING).plus(
                job_schedule.size_of(job)
            )
    return held


class JobRows:
    """Cached job rows with conditional writes.

    Nobody else writes the pool's jobs during an epoch, so rows are read only
    after a change of holder and after a write of unknown outcome. Reads may be
    stale; therefore a transaction then checks the versions of all rows. A
    delayed write that takes effect later changes a version: the next write of
    that row fails, and the rows are read again.
    """

    def __init__(
        self, platform_: platform.Platform, token_source: Callable[[], str]
    ) -> None:
        self._table = platform_.table
        self._token_source = token_source
        self._epoch_row = NO_EPOCH_ROW
        self._is_current = False
        self._version_by_key: dict[str, int] = {}
        self._row_by_team: dict[str, _VersionedTeam] = {}
        self._cached_held_in_pool: dict[str, quota.Size] | None = None
        self.jobs_by_id: dict[str, jobs.Job] = {}
        self.revision = 0  # Increases with each change of the rows.

    @property
    def pool(self) -> str:
        """The pool of the rows."""
        return self._epoch_row.key

    def open(
        self, epoch_row: platform.Row
    ) -> result.Result[bool, errors.Failure]:
        """Loads the rows if the epoch changed or they were invalidated.

        Args:
            epoch_row: The shard's epoch row; all writes require its version.

        Returns:
            Whether another holder may have written since the last call.
        """
        taken_over = (epoch_row.key, epoch_row.version) != (
            self._epoch_row.key,
            self._epoch_row.version,
        )
        self._epoch_row = epoch_row
        if self._is_current and not taken_over:
            return result.Success(False)
        self._is_current = False
        outcome = self._table.scan(jobs.TABLE, f"{epoch_row.key}/").bind(
            self._load_rows
        )
        return outcome.map(lambda _: taken_over)

    def invalidate(self) -> None:
        """Makes the next `open` read all rows."""
        self._is_current = False

    def running(self) -> list[jobs.Job]:
        """Returns the jobs whose tasks run or are being started."""
        return [
            job
            for job in self.jobs_by_id.values()
            if job.state is jobs.JobState.RUNNING
        ]

    def held_by_team(
        self, quota_by_team: Mapping[str, services.TeamQuota]
    ) -> result.Result[dict[str, quota.Size], errors.Failure]:
        """Returns the resources that teams with quotas hold in all pools.

        Args:
            quota_by_team: Quotas by team.
        """
        loaded = self._load_teams(quota_by_team)
        if isinstance(loaded, result.Failure):
            return loaded
        if not quota_by_team:
            return result.Success({})
        held_in_pool = self._held_in_pool()
        return result.Success(
            {
                team: quota.total(
                    self._row_by_team[team]
                    .use.with_pool(
                        self.pool, held_in_pool.get(team, quota.NOTHING), ""
                    )
                    .held_by_pool.values()
                )
                for team in quota_by_team
            }
        )

    def invalidate_teams(self) -> None:
        """Makes the next use of team rows read them again."""
        self._row_by_team.clear()

    def commit(
        self,
        changes: Sequence[jobs.Job],
        quota_by_team: Mapping[str, services.TeamQuota],
    ) -> Outcome:
        """Writes job rows and the rows of teams whose use of quota changes.

        Args:
            changes: New job rows; those that equal the cached one are skipped.
            quota_by_team: Teams that have rows; without changes, only rows
                that differ from the jobs' current use are written.

        Returns:
            Nothing, or the failure of the first failed transaction; earlier
            ones took effect.
        """
        changed = [
            job for job in changes if self.jobs_by_id.get(job.job_id) != job
        ]
        team_rows_only = [()] if not changed else []
        for chunk in [*_chunks(changed), *team_rows_only]:
            outcome = self._commit_chunk(chunk, quota_by_team)
            if isinstance(outcome, result.Failure):
                return outcome
        return result.Success(None)

    def _commit_chunk(
        self,
        chunk: Sequence[jobs.Job],
        quota_by_team: Mapping[str, services.TeamQuota],
    ) -> Outcome:
        if not chunk and not quota_by_team:
            return result.Success(None)
        token = self._token_source()
        new_jobs = {job.job_id: job._replace(token=token) for job in chunk}
        all_jobs = {**self.jobs_by_id, **new_jobs}
        loaded = self._load_teams(quota_by_team)
        if isinstance(loaded, result.Failure):
            return loaded
        held_in_pool = (
            self._held_in_pool()
            if not chunk
            else _sum_by_team(all_jobs.values())
        )
        new_teams = {
            team: use
            for team in quota_by_team
            if (
                use := self._row_by_team[team].use.with_pool(
                    self.pool, held_in_pool.get(team, quota.NOTHING), token
                )
            ).held_by_pool
            != self._row_by_team[team].use.held_by_pool
        }
        if not new_jobs and not new_teams:
            return result.Success(None)
        return self._transact(new_jobs, new_teams)

    def _transact(
        self,
        new_jobs: Mapping[str, jobs.Job],
        new_teams: Mapping[str, quota.TeamUse],
    ) -> Outcome:
        conditions = [
            self._epoch_condition(),
            *map(self._job_condition, new_jobs.values()),
            *map(self._team_condition, new_teams),
        ]
        writes = [
            platform.Write(table, key, documents.encode(value))
            for table, key, value in (
                *((jobs.TABLE, job.key, job) for job in new_jobs.values()),
                *((quota.TABLE, team, use) for team, use in new_teams.items()),
            )
        ]
        outcome = self._table.transact(conditions, writes)
        if isinstance(outcome, result.Failure):
            self._invalidate_after(outcome.failure())
            return outcome
        self._replace_jobs({**self.jobs_by_id, **new_jobs})
        for write, version in zip(writes, outcome.unwrap(), strict=True):
            if write.table == jobs.TABLE:
                self._version_by_key[write.key] = version
            else:
                self._row_by_team[write.key] = _VersionedTeam(
                    new_teams[write.key], version
                )
        return result.Success(None)

    def _invalidate_after(self, failure: errors.Failure) -> None:
        if failure.kind is not errors.ErrorKind.STORE_UNAVAILABLE:
            self._is_current = False
            self._row_by_team.clear()

    def _load_rows(self, rows: tuple[platform.Row, ...]) -> Outcome:
        decoded: dict[str, jobs.Job] = {}
        for row in rows:
            outcome = documents.decode(jobs.Job, row.value)
            if isinstance(outcome, result.Failure):
                return outcome
            decoded[outcome.unwrap().job_id] = outcome.unwrap()
        for chunk in _chunks(rows):
            checked = self._table.transact(
                [
                    self._epoch_condition(),
                    *(
                        platform.Condition(row.table, row.key, row.version)
                        for row in chunk
                    ),
                ],
                [],
            )
            if isinstance(checked, result.Failure):
                return checked
        self._replace_jobs(decoded)
        self._version_by_key = {row.key: row.version for row in rows}
        self._row_by_team.clear()
        self._is_current = True
        return result.Success(None)

    def _load_teams(self, teams: Iterable[str]) -> Outcome:
        for team in set(teams) - self._row_by_team.keys():
            outcome = self._read_team(team)
            if isinstance(outcome, result.Failure):
                return outcome
        return result.Success(None)

    def _read_team(self, team: str) -> Outcome:
        outcome = self._table.read(quota.TABLE, team)
        if isinstance(outcome, result.Failure):
            return outcome
        row = outcome.unwrap()
        if row is None:
            self._row_by_team[team] = _VersionedTeam(quota.TeamUse(team, {}), 0)
            return result.Success(None)
        decoded = documents.decode(quota.TeamUse, row.value)
        if isinstance(decoded, result.Failure):
            return decoded
        self._row_by_team[team] = _VersionedTeam(decoded.unwrap(), row.version)
        return result.Success(None)

    def _replace_jobs(self, by_id: dict[str, jobs.Job]) -> None:
        self.jobs_by_id = by_id
        self.revision += 1
        self._cached_held_in_pool = None

    def _held_in_pool(self) -> dict[str, quota.Size]:
        if self._cached_held_in_pool is None:
            self._cached_held_in_pool = _sum_by_team(self.jobs_by_id.values())
        return self._cached_held_in_pool

    def _epoch_condition(self) -> platform.Condition:
        row = self._epoch_row
        return platform.Condition(row.table, row.key, row.version)

    def _team_condition(self, team: str) -> platform.Condition:
        version = self._row_by_team[team].version
        return platform.Condition(quota.TABLE, team, version)

    def _job_condition(self, job: jobs.Job) -> platform.Condition:
        return platform.Condition(
            jobs.TABLE, job.key, self._version_by_key.get(job.key, 0)
        )
