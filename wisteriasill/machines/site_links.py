"""The platform's interfaces that a node uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wisteriasill import metrics
from wisteriasill.contracts import order_policy
from wisteriasill.links import cluster


class SiteLinks(NamedTuple):
    """The platform's interfaces that a node uses.

    Attributes:
        advice: None if the platform has no advice service.
        limits: Limits of the store.
        orders: What the orders to workers share; None for a policy of each
            pool's own.
    """

    store: cluster.RowStore
    registry: cluster.WorkerRegistry
    operators: cluster.OperatorOrders
    hosts: cluster.HostControl
    advice: cluster.AdviceLink | None
    open_worker: Callable[[cluster.WorkerEntry], cluster.WorkerLink]
    metrics: metrics.Metrics
    limits: cluster.StoreLimits = cluster.DOCUMENTED_LIMITS
    orders: order_policy.NodeOrders | None = None
