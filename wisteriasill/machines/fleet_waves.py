"""Progress of the operators' maintenance waves, for the fleet controller."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import cbor2
from returns import result

from wisteriasill import events
from wisteriasill.contracts import host_moves
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import fleet_rows


class FleetWaves:
    """Counts the hosts of each wave whose maintenance has begun.

    Args:
        operators: Receives reports on waves.
    """

    def __init__(self, operators: cluster.OperatorOrders) -> None:
        self._operators = operators
        self._started_by_wave: dict[int, set[str]] = {}
        self._finished_by_wave: dict[int, bool] = {}

    def load(self, number: int, value: bytes) -> None:
        """Loads the row of a wave that a former holder stored."""
        self._started_by_wave[number] = set(cbor2.loads(value))

    def started_hosts(self, number: int) -> Collection[str]:
        """Returns the hosts of a wave whose maintenance has begun."""
        return self._started_by_wave.get(number, set())

    def is_finished(self, number: int) -> bool:
        """Whether a wave was reported as finished."""
        return self._finished_by_wave.get(number, False)

    def record_start(self, request: host_moves.DrainRequest) -> None:
        """Records that the maintenance of a host has begun."""
        self._started_by_wave.setdefault(request.wave, set()).add(
            request.host_id
        )

    def row_writes(self, numbers: Iterable[int]) -> list[cluster.RowWrite]:
        """Returns writes with the progress of waves."""
        return [
            cluster.RowWrite(
                fleet_rows.TABLE,
                str(number),
                cbor2.dumps(sorted(self.started_hosts(number))),
            )
            for number in numbers
        ]

    def report(
        self,
        wave_by_number: Mapping[int, queues.WaveOrder],
        present_ids: Collection[str],
    ) -> None:
        """Reports waves that started or finished to the operators.

        Args:
            wave_by_number: The waves that operators ordered.
            present_ids: Ids of the hosts that have not left the platform.
        """
        for number, wave in wave_by_number.items():
            if self.is_finished(number):
                continue
            remaining_ids = ({*present_ids} & {*wave.host_ids}) - {
                *self.started_hosts(number)
            }
            finished = not remaining_ids
            if self._finished_by_wave.get(number) == finished:
                continue
            reported = self._operators.report_wave(number, finished)
            if not isinstance(reported, result.Success):
                continue
            self._finished_by_wave[number] = finished
            events.log(
                events.Event.WAVE_FINISHED
                if finished
                else events.Event.WAVE_STARTED,
                "The state of a maintenance wave was reported",
                wave=number,
                left=len(remaining_ids),
                hosts=len(wave.host_ids),
            )
