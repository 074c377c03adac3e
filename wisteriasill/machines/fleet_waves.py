"""How far the operators' waves of upkeep have come."""

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
    """Counts the hosts of each wave whose upkeep has begun.

    Args:
        operators: Where waves are reported.
    """

    def __init__(self, operators: cluster.OperatorOrders) -> None:
        self._operators = operators
        self._done_by_wave: dict[int, set[str]] = {}
        self._finished_by_wave: dict[int, bool] = {}

    def load(self, number: int, value: bytes) -> None:
        """Takes a wave's row as a former holder stored it."""
        self._done_by_wave[number] = set(cbor2.loads(value))

    def done(self, number: int) -> Collection[str]:
        """Returns the hosts of a wave whose upkeep has begun."""
        return self._done_by_wave.get(number, set())

    def is_finished(self, number: int) -> bool:
        """Whether a wave was reported as finished."""
        return self._finished_by_wave.get(number, False)

    def note(self, ask: host_moves.Ask) -> None:
        """Takes that the upkeep of a host has begun."""
        self._done_by_wave.setdefault(ask.wave, set()).add(ask.host_id)

    def writes(self, asks: Iterable[host_moves.Ask]) -> list[cluster.RowWrite]:
        """Returns the rows of the waves that asks belong to."""
        return [
            cluster.RowWrite(
                fleet_rows.TABLE,
                str(number),
                cbor2.dumps(sorted(self.done(number))),
            )
            for number in {ask.wave for ask in asks if ask.wave}
        ]

    def report(
        self,
        wave_by_number: Mapping[int, queues.WaveOrder],
        listed: Collection[str],
    ) -> None:
        """Tells operators of waves that began or ended.

        Args:
            wave_by_number: The operators' orders.
            listed: Ids of the hosts that the platform lists.
        """
        for number, wave in wave_by_number.items():
            if self.is_finished(number):
                continue
            left = ({*listed} & {*wave.host_ids}) - {*self.done(number)}
            finished = not left
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
                "A wave was reported",
                wave=number,
                left=len(left),
                hosts=len(wave.host_ids),
            )
