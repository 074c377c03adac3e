"""Faults in progress at a node or at the store."""

from __future__ import annotations

import math
import threading
import time


class Disturbance:
    """Context of the faults of one part of a site; they may overlap."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._active = 0
        self._ended_at = 0.0

    @property
    def ended_at(self) -> float:
        """Monotonic time of the end of the last fault; infinite during one."""
        return math.inf if self._active else self._ended_at

    def note(self) -> None:
        """Records a fault that takes no time."""
        with self:
            pass

    def __enter__(self) -> None:
        with self._lock:
            self._active += 1

    def __exit__(self, *_: object) -> None:
        with self._lock:
            self._active -= 1
            self._ended_at = time.monotonic()
