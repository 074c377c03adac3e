"""All that a node reaches on the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wisteriasill import metrics
from wisteriasill.links import cluster


class SiteLinks(NamedTuple):
    """All that a node reaches on the platform."""

    store: cluster.RowStore
    registry: cluster.WorkerRegistry
    operators: cluster.OperatorOrders
    hosts: cluster.HostControl
    advice: cluster.AdviceLink | None
    open_worker: Callable[[cluster.WorkerEntry], cluster.WorkerLink]
    metrics: metrics.Metrics
