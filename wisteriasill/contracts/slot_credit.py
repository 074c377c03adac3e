"""Credits: the right to use slots of a target, from its granter."""

from __future__ import annotations

import math
from typing import Literal, NamedTuple

from wisteriasill.links import peer_messages

Outgoing = list[tuple[str, peer_messages.CreditMessage]]


class Credit(NamedTuple):
    """Credits of this entry host for one target.

    Attributes:
        held: Slots held, including those in use.
        in_flight: Slots in use.
        granter: Member that granted them.
        incarnation: Incarnation of the granter.
        granted_at: Monotonic time of the last grant.
        used_at: Monotonic time of the last use.
        requested_at: Monotonic time of the unanswered request.
        denied_until: Monotonic time before which no request is repeated.
    """

    held: int = 0
    in_flight: int = 0
    granter: str = ""
    incarnation: str = ""
    granted_at: float = 0.0
    used_at: float = 0.0
    requested_at: float = -math.inf
    denied_until: float = 0.0

    @property
    def idle(self) -> int:
        """Slots held but not in use."""
        return self.held - self.in_flight


def message(
    kind: Literal["credit_request", "credit_grant", "credit_return"],
    target_id: str,
    count: int,
    incarnation: str = "",
) -> peer_messages.CreditMessage:
    """Builds a credit message for one target."""
    return {
        "type": kind,
        "target_id": target_id,
        "count": count,
        "incarnation": incarnation,
    }
