"""Health of targets as seen by one entry host: ejections and refusals.

A target is the worker of a host that serves requests.
"""

from __future__ import annotations

import enum
import threading
from typing import NamedTuple

from wisteriasill import clock as clocks
from wisteriasill import events

# With this weight the moving average reaches the limit after three consecutive
# failures, or for a target that fails about half of its requests.
FAILURE_WEIGHT = 0.2
EJECTION_FAILURE_SHARE = 0.45
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
# A full worker has a free slot again after about the time of one request.
REFUSAL_SECONDS = 0.02
MAX_REFUSAL_SECONDS = 5.0


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt as evidence on the health of its target.

    CONNECT_FAILED: The connection failed.
    FAILURE: The attempt failed, possibly because of the request itself.
    """

    SUCCESS = "good"
    FAILURE = "broken"
    CONNECT_FAILED = "gone"


class TargetState(NamedTuple):
    """A target's health as known to one entry host.

    Attributes:
        failure_share: Moving average of the share of failed attempts.
        ejections: Number of consecutive ejections.
        ejected_until: Monotonic time of the end of the ejection; 0 if the
            target isn't ejected.
        on_trial: Whether the single trial request is in flight.
        refused_until: Monotonic time before which no request is sent.
    """

    failure_share: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    on_trial: bool = False
    refused_until: float = 0.0

    @property
    def ejected(self) -> bool:
        """Whether the target is ejected, including a trial."""
        return self.ejected_until > 0


def after_attempt(
    state: TargetState, outcome: AttemptOutcome, may_eject: bool, now: float
) -> TargetState:
    """Returns a target's state after an attempt.

    Args:
        state: State before the attempt.
        outcome: Outcome of the attempt.
        may_eject: Whether the pool has enough targets without this one.
        now: Monotonic seconds.

    Returns:
        The new state. A successful trial readmits the target; a failed one
        doubles the ejection time.
    """
    failed = outcome is not AttemptOutcome.SUCCESS
    if state.ejected and not failed:
        return TargetState()
    share = state.failure_share + FAILURE_WEIGHT * (
        failed - state.failure_share
    )
    if state.ejected and not state.on_trial:
        # The attempt started before the ejection and doesn't extend it.
        return state
    if state.on_trial or (share >= EJECTION_FAILURE_SHARE and may_eject):
        seconds = min(
            FIRST_EJECTION_SECONDS * 2**state.ejections,
            MAX_EJECTION_SECONDS,
        )
        return TargetState(share, state.ejections + 1, now + seconds)
    return state._replace(failure_share=share)


class Targets:
    """The health of all targets; thread safe.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._states_by_host_id: dict[str, TargetState] = {}

    def state(self, host_id: str) -> TargetState:
        """Returns a target's state."""
        return self._states_by_host_id.get(host_id, TargetState())

    def is_available(self, host_id: str, trial: bool) -> bool:
        """Returns whether the target is not ejected.

        Args:
            host_id: The target.
            trial: Whether the request may be the single trial request after
                an ejection.
        """
        state = self.state(host_id)
        if not state.ejected:
            return True
        now = self._clock.monotonic()
        return trial and not state.on_trial and state.ejected_until <= now

    def is_offered(self, host_id: str, trial: bool) -> bool:
        """Returns whether a request may be sent to the target now.

        Args:
            host_id: The target.
            trial: As for `is_available`.
        """
        now = self._clock.monotonic()
        return self.state(host_id).refused_until <= now and self.is_available(
            host_id, trial
        )

    def begin(self, host_id: str) -> bool:
        """Records that an attempt starts.

        Returns:
            Whether the request may be sent; False if the target is ejected
            and its trial is not yet due or already in flight.
        """
        with self._lock:
            state = self.state(host_id)
            if not state.ejected:
                return True
            if state.on_trial or state.ejected_until > self._clock.monotonic():
                return False
            self._states_by_host_id[host_id] = state._replace(on_trial=True)
            return True

    def end(
        self, host_id: str, outcome: AttemptOutcome, pool: list[str]
    ) -> None:
        """Records the outcome of an attempt and ejects or readmits its target.

        Args:
            host_id: The target.
            outcome: Outcome of the attempt.
            pool: Host ids of the pool. At most half of them are ejected for
                failures that may be due to the requests.
        """
        with self._lock:
            before = self.state(host_id)
            ejected = sum(
                self.state(pool_host_id).ejected for pool_host_id in pool
            )
            may_eject = outcome is AttemptOutcome.CONNECT_FAILED or 2 * (
                ejected + 1
            ) <= len(pool)
            after = after_attempt(
                before, outcome, may_eject, self._clock.monotonic()
            )
            self._states_by_host_id[host_id] = after
        if after.ejections > before.ejections:
            events.log(
                events.Event.TARGET_EJECTED,
                "Target ejected after failures",
                level="WARNING",
                target=host_id,
                verdict=outcome.value,
            )
        elif before.ejected and not after.ejected:
            events.log(
                events.Event.TARGET_READMITTED,
                "Target readmitted after a trial request",
                target=host_id,
            )

    def end_trial(self, host_id: str) -> None:
        """Ends a trial without an outcome, such as a request never sent."""
        with self._lock:
            state = self.state(host_id)
            if state.on_trial:
                self._states_by_host_id[host_id] = state._replace(
                    on_trial=False
                )

    def refused(self, host_id: str, retry_after_seconds: int | None) -> None:
        """Sends no requests to a refusing target for a short time.

        Args:
            host_id: The target.
            retry_after_seconds: Delay that the target requested; None if it
                requested none.
        """
        seconds = (
            REFUSAL_SECONDS
            if retry_after_seconds is None
            else min(retry_after_seconds, MAX_REFUSAL_SECONDS)
        )
        with self._lock:
            self._states_by_host_id[host_id] = self.state(host_id)._replace(
                refused_until=self._clock.monotonic() + seconds,
                on_trial=False,
            )

    def forget(self, known: frozenset[str]) -> None:
        """Drops the states of hosts that no longer exist."""
        with self._lock:
            for host_id in self._states_by_host_id.keys() - known:
                del self._states_by_host_id[host_id]
