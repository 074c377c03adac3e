"""The availability budget of a pool: how many hosts may leave it now.

Only SERVING hosts count as usable. Hosts that are away for any reason use up
the budget, and so do hosts that a planned act of the same step takes away.
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
    """What a pool can spare.

    Attributes:
        serving: Hosts that are SERVING.
        required: Hosts that must stay SERVING.
    """

    serving: int
    required: int

    @property
    def spare(self) -> int:
        """Hosts that a planned act may take away now."""
        return max(0, self.serving - self.required)

    def missing_for(self, leaving: int) -> int:
        """Returns how many more serving hosts it takes for some to leave."""
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
        hosts_needed_ahead: Hosts that the demand expected while the leaving
            hosts are away takes; 0 if it is not known.

    Returns:
        The budget.
    """
    serving = sum(
        1 for host in pool_hosts if host.state is hosts.HostState.SERVING
    )
    promised = 0 if contract is None else contract.hosts_always_usable
    return Budget(serving, max(promised, hosts_needed_ahead))


def refusal(pool: str, budget: Budget, leaving: int) -> str:
    """Explains why hosts can't leave, with the number that would do.

    Args:
        pool: The pool.
        budget: Its budget.
        leaving: Hosts that were to leave.

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
        The time in which entry hosts stop sending, plus the longest deadline
        of the pool's service.
    """
    owner = configuration.services_by_name.get(pool)
    deadlines_ms = (
        [] if owner is None else [item.deadline_ms for item in owner.requests]
    )
    return NOTICE_SECONDS + math.ceil(max(deadlines_ms, default=0) / 1000)
