"""Operators' orders, which the holder of a shard carries out."""

from __future__ import annotations

import enum
from typing import NamedTuple

TABLE = "orders"
SITE_SHARD = "site"


class OrderKind(enum.StrEnum):
    """Kind of an order."""

    DRAIN = "drain"
    RETURN = "return"
    MOVE = "move"
    PAUSE_WAVES = "pause-waves"
    RESUME_WAVES = "resume-waves"
    CANCEL_JOB = "cancel-job"


class OrderState(enum.StrEnum):
    """State of an order."""

    PENDING = "pending"
    DONE = "done"
    REJECTED = "rejected"


class Order(NamedTuple):
    """A row of the orders table; its key is `shard/order_id`.

    Attributes:
        order_id: Random id; a retried submission has the same one.
        shard: Shard whose holder carries it out, named by the pool.
        kind: Kind of the order.
        subject: Host id, pool or job id, depending on the kind.
        pool: Pool to move to, for MOVE.
        author: Operator who ordered it.
        ordered_at: Unix time, for operators to read.
        state: Whether it has been carried out.
        detail: Why it was rejected.
    """

    order_id: str
    shard: str
    kind: OrderKind
    subject: str
    author: str
    pool: str = ""
    ordered_at: float = 0.0
    state: OrderState = OrderState.PENDING
    detail: str = ""

    @property
    def key(self) -> str:
        """Key of the row."""
        return f"{self.shard}/{self.order_id}"
