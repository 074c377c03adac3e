"""What a soak run consists of."""

from __future__ import annotations

from typing import NamedTuple


class RunPlan(NamedTuple):
    """What a run consists of.

    Attributes:
        fault_set: Key of `faults.FAULT_SETS`.
        seconds: Time for which faults are injected.
        loss_share: Share of packets that the links to the store lose.
        per_second: Jobs that are submitted in a second.
        series: Concurrent series of faults, so that faults overlap.
    """

    seed: int
    fault_set: str = "general"
    seconds: float = 30.0
    nodes: int = 3
    workers: int = 5
    loss_share: float = 0.0
    per_second: float = 5.0
    series: int = 2
