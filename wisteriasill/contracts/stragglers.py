"""What to do about a task that takes longer than its like.

The load pattern it answers: a few workers turn six times slower or stand
still for seconds while they report good health.
"""

from __future__ import annotations

from collections.abc import Sequence
import enum

# A task of a step varies by a third around the step's mean; twice the longest
# is well beyond it.
COPY_FACTOR = 2.0
# A move throws work away, so it needs a clearer case than a copy.
MOVE_FACTOR = 3.0
# The declared time is off by up to ten times; only a long overrun counts.
DECLARED_FACTOR = 8.0
# Time beyond the factors, for starts, reports and storing.
SLACK_SECONDS = 0.5
# Share of a step's tasks that must be done to judge the others by them.
DONE_SHARE = 0.4


class Action(enum.Enum):
    """What to do about a task."""

    WAIT = enum.auto()
    COPY = enum.auto()
    MOVE = enum.auto()


def judge(
    age_seconds: float,
    done_seconds: Sequence[float],
    tasks: int,
    usual_seconds: float,
    copies: bool,
) -> Action:
    """Judges a running task by those of its step that are done.

    Args:
        age_seconds: Time since its start.
        done_seconds: Times that done tasks of its step took.
        tasks: Number of tasks of the step.
        usual_seconds: Mean time of tasks of its queue; 0 if unknown.
        copies: Whether a copy may run beside it.

    Returns:
        What to do about it.
    """
    enough = len(done_seconds) >= max(1.0, DONE_SHARE * tasks)
    if enough:
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
    late = age_seconds > move_at + SLACK_SECONDS
    return Action.MOVE if late else Action.WAIT
