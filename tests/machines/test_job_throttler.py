"""Test of job throttling over the platform's task interface."""

from __future__ import annotations

from bench import controlled_site
from wisteriasill.links import platform


def throttles(site: controlled_site.ControlledSite) -> set[float]:
    return {
        report.throttle
        for host in site.hosts_of("quoting")
        for report in site.state.list_tasks(host.host_id).unwrap()
    }


def test_tasks_are_throttled_and_restored(
    controlled: controlled_site.ControlledSite,
) -> None:
    """Guards against jobs that stay throttled after a peak of requests.

    The holder is replaced during the peak, so the new one has to restore tasks
    that it has not throttled itself.
    """
    pool = controlled.hosts_of("quoting")
    for number, host in enumerate(pool):
        order = platform.TaskOrder(
            f"t{number}", f"j{number}", 1, 4.0, 8.0, 0, 1e6
        )
        controlled.platform.start_task(host.host_id, order).unwrap()
    for member in controlled.members.values():
        member.mesh.peers = frozenset({"peer"})
        for handler in member.mesh.handlers["in_flight"]:
            handler("peer", {"counts": {host.host_id: 4 for host in pool}})
    controlled.run(8)
    assert throttles(controlled) == {0.25}
    del controlled.members[controlled.holder("quoting")]
    for member in controlled.members.values():
        for handler in member.mesh.handlers["in_flight"]:
            handler("peer", {"counts": {host.host_id: 0 for host in pool}})
    controlled.run(25)
    assert throttles(controlled) == {1.0}
