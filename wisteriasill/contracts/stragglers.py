"""Decides what to do about stragglers: tasks slower than others of their step.

Load pattern: a few workers become six times slower, or stall for seconds,
while they report good health.
"""

from __future__ import annotations

from collections.abc import Sequence
import enum

# Task times vary by a third around the mean of their step, so twice the longest
# is well outside that range.
COPY_FACTOR = 2.0
# A move discards work, so it needs a longer overrun than a speculative copy.
MOVE_FACTOR = 3.0
# Declared times are wrong by a factor of up to ten, so without finished tasks
# only a long overrun counts.
DECLARED_FACTOR = 8.0
# A task that is slow on another worker as well may just take that long, so
# each move multiplies the limit for the next one.
MOVE_BACKOFF = 8.0
# Added to each limit, for the time that starts, reports and writes take.
SLACK_SECONDS = 0.5
# Share of a step's tasks that must be done before their times are the
# reference for the others.
DONE_SHARE = 0.4


class Action(enum.Enum):
    """Action on a running task."""

    WAIT = enum.auto()
    COPY = enum.auto()
    MOVE = enum.auto()


def judge(
    age_seconds: float,
    done_seconds: Sequence[float],
    tasks: int,
    usual_seconds: float,
    copies: bool,
    former_moves: int = 0,
) -> Action:
    """Compares a running task with the finished tasks of its step.

    Args:
        age_seconds: Time since its start.
        done_seconds: Run times of the finished tasks of its step.
        tasks: Number of tasks of the step.
        usual_seconds: Mean run time of the queue's tasks; 0 if unknown.
        copies: Whether a speculative copy may run beside it.
        former_moves: How often the task has been moved as a straggler.

    Returns:
        The action on it.
    """
    has_reference = len(done_seconds) >= max(1.0, DONE_SHARE * tasks)
    if has_reference:
        reference = max(done_seconds)
        copy_at = COPY_FACTOR * reference
        move_at = MOVE_FACTOR * reference
    elif usual_seconds:
        copy_at = move_at = DECLARED_FACTOR * usual_seconds
    else:
        return Action.WAIT
    if copies:
        late = age_seconds > copy_at + SLACK_SECONDS
        return Action.COPY if late else Action.WAIT
    limit_seconds = (move_at + SLACK_SECONDS) * MOVE_BACKOFF**former_moves
    late = age_seconds > limit_seconds
    return Action.MOVE if late else Action.WAIT
