"""Predicts how long tasks run from declared times and from earlier tasks.

Load pattern: callers declare times that are off by factors of two to five, and
more for wide jobs. At a peak, jobs that look short take room from jobs that
are, and jobs that look too late are given up although they could be in time.
"""

from __future__ import annotations

import math

# Steps that have to end before the declared times are corrected in full.
CONFIDENT_STEPS = 12.0
# Memory of the statistics in steps; a queue may change its programs.
MEMORY_STEPS = 200.0
MIN_SECONDS = 0.01  # Lower bound of times, so that logarithms stay finite.
# Each correction stays within this factor of the declared time.
MAX_FACTOR = 20.0


class RunTimeModel:
    """Linear regression of measured on declared times, both as logarithms.

    With precise declarations the slope is 1 and predictions follow them; with
    arbitrary ones it is 0 and each prediction is the mean of the queue.
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._declared_mean = 0.0
        self._measured_mean = 0.0
        self._declared_variance = 0.0
        self._covariance = 0.0

    def record(self, declared_seconds: float, measured_seconds: float) -> None:
        """Records the typical time of the tasks of one step.

        Args:
            declared_seconds: Time that the caller declared for each task.
            measured_seconds: Time that its tasks took.
        """
        declared, measured = _log(declared_seconds), _log(measured_seconds)
        self._weight = min(self._weight + 1.0, MEMORY_STEPS)
        share = 1.0 / self._weight
        declared_error = declared - self._declared_mean
        measured_error = measured - self._measured_mean
        self._declared_mean += share * declared_error
        self._measured_mean += share * measured_error
        self._declared_variance = (1 - share) * (
            self._declared_variance + share * declared_error**2
        )
        self._covariance = (1 - share) * (
            self._covariance + share * declared_error * measured_error
        )

    def predict(self, declared_seconds: float) -> float:
        """Returns the expected time of a task in seconds.

        Args:
            declared_seconds: Time that the caller declared.
        """
        if not self._weight:
            return declared_seconds
        declared = _log(declared_seconds)
        slope = (
            min(1.0, max(0.0, self._covariance / self._declared_variance))
            if self._declared_variance > 0
            else 1.0
        )
        fitted = self._measured_mean + slope * (declared - self._declared_mean)
        confidence = min(1.0, self._weight / CONFIDENT_STEPS)
        correction = confidence * (fitted - declared)
        limit = math.log(MAX_FACTOR)
        return math.exp(declared + min(limit, max(-limit, correction)))


def _log(seconds: float) -> float:
    return math.log(max(seconds, MIN_SECONDS))
