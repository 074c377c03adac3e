"""The next step in the life cycle of a host: drain, reboot, move, return, fail.

Each step follows from the host's row, the platform's list and what the holder
has observed since it first read the row, so that any new holder of the shard
continues a sequence.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

# The list lags, so one reading may be stale; two that agree are trusted.
READINGS_TO_CONFIRM = 2
# A lost reboot order is retried after this time, which exceeds the lag of the
# list.
REBOOT_RETRY_SECONDS = 60.0
# The row of a host that is no longer listed is deleted after this time.
RETIRE_SECONDS = 3600.0
DOWN_REASON = "down"


class StepKind(enum.Enum):
    """Kinds of steps that the holder of a shard takes for a host."""

    WAIT = enum.auto()
    DRAIN_WORKER = enum.auto()
    CHECKPOINT = enum.auto()
    REBOOT = enum.auto()
    WRITE = enum.auto()
    RETIRE = enum.auto()


class HostStep(NamedTuple):
    """A step; for WRITE with the row to write."""

    kind: StepKind
    host: hosts.Host | None = None


WAIT = HostStep(StepKind.WAIT)


class HostObservation(NamedTuple):
    """A holder's observations of a host since its row last changed.

    Attributes:
        version: Version of the row.
        since: Monotonic time when this holder first saw that version.
        listed: The host in the last reading; None if it was not listed.
        readings: Consecutive readings since then that agree with `listed`.
        reading: Number of the last reading.
        drained: Whether the worker was told to reject new work.
        tasks_gone: Whether the host's tasks are checkpointed or stopped.
        reboot_now: Whether this holder wrote the row itself and has not
            ordered the reboot yet.
        rebooted_at: Monotonic time of the last reboot order; None if this
            holder has not sent one.
    """

    version: int
    since: float
    listed: platform.ListedHost | None = None
    readings: int = 0
    reading: int = 0
    drained: bool = False
    tasks_gone: bool = False
    reboot_now: bool = False
    rebooted_at: float | None = None


def watch(
    before: HostObservation | None,
    version: int,
    listed: platform.ListedHost | None,
    reading: int,
    now: float,
) -> HostObservation:
    """Updates what a holder has observed of a host.

    Args:
        before: The previous observation; None if there is none.
        version: Version of the host's row.
        listed: The host in the current reading of the list.
        reading: Number of that reading; 0 if there was none yet.
        now: Monotonic time.

    Returns:
        The new observation. The reading that was current when the row
        changed is not counted.
    """
    if before is None or before.version != version:
        return HostObservation(version, now, listed, 0, reading)
    if reading == before.reading:
        return before
    same = (
        listed is not None
        and before.listed is not None
        and (listed.state, listed.boot_count)
        == (before.listed.state, before.listed.boot_count)
    ) or (listed is None and before.listed is None)
    return before._replace(
        listed=listed,
        readings=before.readings + 1 if same else 1,
        reading=reading,
    )


class StepContext(NamedTuple):
    """Times that the decision of a step depends on.

    Attributes:
        now: Monotonic time.
        wall_seconds: Unix time, written to rows for operators.
        grace_seconds: How long a draining host may still have requests.
    """

    now: float
    wall_seconds: float
    grace_seconds: float


def next_step(
    host: hosts.Host, observation: HostObservation, context: StepContext
) -> HostStep:
    """Decides the next step of one host.

    Args:
        host: The host's row.
        observation: What the holder has observed of the host.
        context: Times that the decision depends on.

    Returns:
        The step; WAIT when nothing is to be done now.
    """
    if observation.reading == 0:
        return WAIT
    listed = observation.listed
    if listed is not None and listed.boot_count < host.boot_count:
        return WAIT  # The reading is older than the last boot.
    confirmed = observation.readings >= READINGS_TO_CONFIRM
    if listed is None or listed.state is platform.ListedState.DOWN:
        if host.state is hosts.HostState.DOWN:
            return _retire(listed, context.now - observation.since)
        return _down(host, listed) if confirmed else WAIT
    if host.state is hosts.HostState.DRAINING:
        return _drain(host, listed, observation, context)
    if host.state is hosts.HostState.REBOOTING:
        return _reboot(host, listed, observation, context)
    if not confirmed:
        return WAIT
    if host.state is hosts.HostState.SERVING:
        return _serve(host, listed)
    if listed.state is not platform.ListedState.LIVE:
        return WAIT
    if host.state is hosts.HostState.JOINING:
        return _write(
            host,
            state=hosts.HostState.SERVING,
            reason="",
            wave="",
            boot_count=listed.boot_count,
        )
    return _return_down_host(host, listed, context)


def _write(host: hosts.Host, **changes: object) -> HostStep:
    return HostStep(StepKind.WRITE, host._replace(**changes))  # type: ignore[arg-type]


def _down(host: hosts.Host, listed: platform.ListedHost | None) -> HostStep:
    planned = host.state in (
        hosts.HostState.DRAINING,
        hosts.HostState.REBOOTING,
    )
    seen_as = "not listed" if listed is None else "listed as down"
    return _write(
        host,
        state=hosts.HostState.DOWN,
        reason=host.reason if planned else f"{DOWN_REASON}: {seen_as}",
    )


def _retire(
    listed: platform.ListedHost | None, down_seconds: float
) -> HostStep:
    if listed is None and down_seconds >= RETIRE_SECONDS:
        return HostStep(StepKind.RETIRE)
    return WAIT


def _serve(host: hosts.Host, listed: platform.ListedHost) -> HostStep:
    if listed.state is platform.ListedState.REBOOTING:
        return _write(
            host,
            state=hosts.HostState.DOWN,
            reason=f"{DOWN_REASON}: reboots without an order",
        )
    if listed.state is platform.ListedState.LEAVING:
        return _write(
            host,
            state=hosts.HostState.DRAINING,
            reason="the platform takes the host away",
        )
    if listed.boot_count > host.boot_count:
        return _write(host, boot_count=listed.boot_count)
    return WAIT


def _drain(
    host: hosts.Host,
    listed: platform.ListedHost,
    observation: HostObservation,
    context: StepContext,
) -> HostStep:
    if not observation.drained:
        return HostStep(StepKind.DRAIN_WORKER)
    if not observation.tasks_gone:
        return HostStep(StepKind.CHECKPOINT)
    # The boot count to compare with has to be read after the drain began.
    if (
        host.held
        or context.now - observation.since < context.grace_seconds
        or observation.readings == 0
    ):
        return WAIT
    return _write(
        host,
        state=hosts.HostState.REBOOTING,
        boot_count=listed.boot_count,
    )


def _reboot(
    host: hosts.Host,
    listed: platform.ListedHost,
    observation: HostObservation,
    context: StepContext,
) -> HostStep:
    if listed.state is platform.ListedState.REBOOTING:
        return WAIT
    if listed.boot_count > host.boot_count:
        if listed.state is platform.ListedState.LIVE:
            return joined(host, listed, context.wall_seconds)
        return WAIT
    if observation.reboot_now:
        return HostStep(StepKind.REBOOT)
    last_order_at = (
        observation.since
        if observation.rebooted_at is None
        else observation.rebooted_at
    )
    if context.now - last_order_at < REBOOT_RETRY_SECONDS:
        return WAIT
    return HostStep(StepKind.REBOOT)


def _return_down_host(
    host: hosts.Host, listed: platform.ListedHost, context: StepContext
) -> HostStep:
    """Returns a DOWN host to its pool or resumes its interrupted sequence."""
    if host.reason.startswith(DOWN_REASON):
        return _write(
            host,
            state=hosts.HostState.JOINING,
            boot_count=listed.boot_count,
        )
    if listed.boot_count > host.boot_count and not host.held:
        return joined(host, listed, context.wall_seconds)
    return _write(host, state=hosts.HostState.DRAINING)


def joined(
    host: hosts.Host, listed: platform.ListedHost, wall_seconds: float
) -> HostStep:
    """Builds the single row write that ends a reboot and changes the pool.

    Args:
        host: The host's row.
        listed: The host as listed, with a higher boot count.
        wall_seconds: Unix time.

    Returns:
        The write.
    """
    return _write(
        host,
        state=hosts.HostState.JOINING,
        pool=host.next_pool or host.pool,
        next_pool="",
        boot_count=listed.boot_count,
        maintained_at=wall_seconds,
    )
