"""The availability budget of a pool: how many hosts may leave it now.

Only SERVING hosts count as usable. Hosts that are away for any reason use the
budget, and so do hosts that another planned operation of the same step drains.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import NamedTuple

from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import service
from wisteriasill.machines import host as hosts

# Entry hosts stop sending new work to a leaving host within this time.
NOTICE_SECONDS = 3.0


class Budget(NamedTuple):
    """Availability budget of a pool.

    Attributes:
        serving: Number of hosts that are SERVING.
        required: Number of hosts that have to stay SERVING.
    """

    serving: int
    required: int

    @property
    def spare(self) -> int:
        """Number of hosts that a planned operation may drain now."""
        return max(0, self.serving - self.required)

    def missing_for(self, leaving: int) -> int:
        """Returns how many more hosts must serve before `leaving` may leave."""
        return max(0, self.required + leaving - self.serving)


def budget_of(
    pool_hosts: Iterable[hosts.Host],
    contract: service.PoolContract | None,
    hosts_needed_ahead: int = 0,
) -> Budget:
    """Computes the budget of a pool.

    Args:
        pool_hosts: All hosts of the pool.
        contract: What the pool promises; None for a pool that is no longer
            configured, which promises nothing.
        hosts_needed_ahead: Hosts needed for the demand that is forecast while
            the leaving hosts are away; 0 if it is unknown.

    Returns:
        The budget.
    """
    serving = sum(
        1 for host in pool_hosts if host.state is hosts.HostState.SERVING
    )
    promised = 0 if contract is None else contract.hosts_always_usable
    return Budget(serving, max(promised, hosts_needed_ahead))


def refusal(pool: str, budget: Budget, leaving: int) -> str:
    """Explains why hosts can't leave and how many serving hosts are missing.

    Args:
        pool: The pool.
        budget: Its budget.
        leaving: Number of hosts to drain.

    Returns:
        One sentence; empty if they may leave.
    """
    missing = budget.missing_for(leaving)
    if not missing:
        return ""
    return (
        f"pool {pool} has {budget.serving} serving hosts and must keep "
        f"{budget.required}: {budget.spare} may leave now, {leaving} need "
        f"{missing} more serving"
    )


def grace_seconds(
    configuration: configurations.Configuration, pool: str
) -> float:
    """Returns how long a draining host may still have requests.

    Args:
        configuration: The configuration in force.
        pool: Pool of the host.

    Returns:
        The time until entry hosts stop sending, plus the longest deadline of
        the pool's service.
    """
    owner = configuration.services_by_name.get(pool)
    deadlines_ms = (
        []
        if owner is None
        else [request.deadline_ms for request in owner.requests]
    )
    return NOTICE_SECONDS + math.ceil(max(deadlines_ms, default=0) / 1000)
