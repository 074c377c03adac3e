"""What a member holds of a target's lent slots."""

from __future__ import annotations

import math
from typing import Literal, NamedTuple

from wisteriasill.links import peer_messages

Outgoing = list[tuple[str, peer_messages.CreditMessage]]


class Credit(NamedTuple):
    """What this entry host holds of one target.

    Attributes:
        held: Slots held, those in use included.
        in_flight: Slots in use.
        lender: Member that lent them.
        incarnation: Its incarnation.
        granted_at: Monotonic time of the last grant.
        used_at: Monotonic time of the last use.
        asked_at: Monotonic time of a request without an answer.
        denied_until: Monotonic time before which asking is no use.
    """

    held: int = 0
    in_flight: int = 0
    lender: str = ""
    incarnation: str = ""
    granted_at: float = 0.0
    used_at: float = 0.0
    asked_at: float = -math.inf
    denied_until: float = 0.0

    @property
    def idle(self) -> int:
        """Slots that are not in use."""
        return self.held - self.in_flight


def message(
    kind: Literal["credit_request", "credit_grant", "credit_return"],
    target_id: str,
    count: int,
    incarnation: str = "",
) -> peer_messages.CreditMessage:
    """Builds a message about slots of one target."""
    return {
        "type": kind,
        "target_id": target_id,
        "count": count,
        "incarnation": incarnation,
    }
