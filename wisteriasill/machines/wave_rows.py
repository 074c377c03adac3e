"""Cache of a pool's maintenance wave rows, with conditional writes."""

from __future__ import annotations

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import maintenance
from wisteriasill.contracts import wave_plan
from wisteriasill.links import platform
from wisteriasill.machines import host_rows
from wisteriasill.machines import shard_context

# Waves that remain in the table for operators to read.
MAX_STORED_WAVES = 8


class WaveRows:
    """Reads and writes the rows of a pool's waves."""

    def __init__(self, context: shard_context.ShardContext) -> None:
        self._context = context
        self._rows: tuple[platform.Row, ...] | None = None
        self._wave: maintenance.Wave | None = None

    @property
    def wave(self) -> maintenance.Wave | None:
        """The wave with the highest number; None if there is none."""
        return self._wave

    def refresh(self) -> result.Result[None, errors.Failure]:
        """Reads the waves the first time and after a failed write.

        The holder of the shard is the only writer, so its cache is current.
        """
        if self._rows is not None:
            return result.Success(None)
        scanned = self._context.platform.table.scan(
            maintenance.TABLE, f"{self._context.shard}/"
        )
        if not isinstance(scanned, result.Success):
            return result.Failure(scanned.failure())
        rows = scanned.unwrap()
        if rows:
            decoded = documents.decode(maintenance.Wave, rows[-1].value)
            if not isinstance(decoded, result.Success):
                return result.Failure(decoded.failure())
            self._wave = decoded.unwrap()
        self._rows = rows
        return result.Success(None)

    def extra(self, wave: maintenance.Wave) -> host_rows.ExtraRows:
        """Builds the conditions and writes that store a wave.

        Args:
            wave: The wave; a new number adds a row and deletes the oldest
                beyond `MAX_STORED_WAVES`.

        Returns:
            Conditions and writes, to be sent alone or with host rows.
        """
        key = wave_plan.wave_key(wave)
        rows = self._rows or ()
        version = next((row.version for row in rows if row.key == key), 0)
        oldest = [row for row in rows if row.key != key][
            : -MAX_STORED_WAVES + 1
        ]
        return host_rows.ExtraRows(
            (platform.Condition(maintenance.TABLE, key, version),),
            (
                platform.Write(maintenance.TABLE, key, documents.encode(wave)),
                *(
                    platform.Write(maintenance.TABLE, row.key, None)
                    for row in oldest
                ),
            ),
        )

    def invalidate(self) -> None:
        """Makes the next refresh read the rows again."""
        self._rows = None

    def write(
        self, wave: maintenance.Wave, extra: host_rows.ExtraRows
    ) -> result.Result[None, errors.Failure]:
        """Writes a wave and other rows in one transaction.

        Args:
            wave: The wave.
            extra: Other conditions and writes of the same transaction.

        Returns:
            Success once they are written.
        """
        wave_extra = self.extra(wave)
        self.invalidate()
        written = self._context.platform.table.transact(
            (*wave_extra.conditions, *extra.conditions),
            (*wave_extra.writes, *extra.writes),
        )
        return written.bind(lambda _: self.refresh())
