"""Contract test cases for all implementations of the platform."""

from __future__ import annotations

from typing import Any, NamedTuple

from returns import result

from standins import faults
from standins import platform_state
from standins import task_types
from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.links import platform

HOST = "kochi-01"
KIND = errors.ErrorKind


class PlatformSetup(NamedTuple):
    """A platform under test and the state that backs it."""

    platform: platform.Platform
    state: platform_state.PlatformState
    clock: clocks.ManualClock


def order(task_id: str, epoch: int, **changes: Any) -> platform.TaskOrder:
    default_order = platform.TaskOrder(
        task_id, "job", epoch, 60.0, 8.0, 0, 20.0
    )
    return default_order._replace(**changes)


def kind_of(outcome: result.Result[Any, errors.Failure]) -> KIND | None:
    """Returns the kind of a failure; None for a success."""
    if isinstance(outcome, result.Success):
        return None
    failure: errors.Failure = outcome.failure()
    return failure.kind


def case_absent_rows(setup: PlatformSetup) -> None:
    """A missing row reads as None, and an empty scan succeeds."""
    assert setup.platform.table.read("jobs", "pool/a").unwrap() is None
    assert setup.platform.table.scan("jobs", "pool/").unwrap() == ()


def case_versions(setup: PlatformSetup) -> None:
    """Versions start at 1 and count writes; a stale version conflicts."""
    table = setup.platform.table
    absent = [platform.Condition("jobs", "pool/a b", 0)]
    first = [platform.Write("jobs", "pool/a b", {"n": 1})]
    assert table.transact(absent, first).unwrap() == (1,)
    assert kind_of(table.transact(absent, first)) is KIND.CONFLICT
    version_1 = [platform.Condition("jobs", "pool/a b", 1)]
    second = [platform.Write("jobs", "pool/a b", {"n": 2})]
    assert table.transact(version_1, second).unwrap() == (2,)
    row = platform.Row("jobs", "pool/a b", 2, {"n": 2})
    assert table.read("jobs", "pool/a b").unwrap() == row
    assert table.scan("jobs", "pool/a").unwrap() == (row,)
    assert table.scan("jobs", "poolx").unwrap() == ()


def case_all_or_nothing(setup: PlatformSetup) -> None:
    """A failed condition prevents every write of its transaction."""
    outcome = setup.platform.table.transact(
        [platform.Condition("jobs", "x", 0), platform.Condition("t", "y", 7)],
        [platform.Write("jobs", "x", {})],
    )
    assert kind_of(outcome) is KIND.CONFLICT
    assert setup.platform.table.read("jobs", "x").unwrap() is None


def case_deleted_rows(setup: PlatformSetup) -> None:
    """A row that is rewritten after a deletion gets an unused version."""
    table = setup.platform.table
    write = platform.Write("jobs", "x", {"n": 1})
    table.transact([], [write]).unwrap()
    assert table.transact([], [write._replace(value=None)]).unwrap() == (0,)
    absent = [platform.Condition("jobs", "x", 0)]
    assert table.transact(absent, [write]).unwrap() == (2,)


def case_objects(setup: PlatformSetup) -> None:
    """Objects are immutable; storing the same body again succeeds."""
    objects = setup.platform.objects
    assert objects.get("documents/a").unwrap() is None
    for _ in range(2):
        objects.put("documents/a", b"\x00\xff").unwrap()
    assert kind_of(objects.put("documents/a", b"b")) is KIND.CONFLICT
    assert objects.get("documents/a").unwrap() == b"\x00\xff"


def case_host_list(setup: PlatformSetup) -> None:
    """The host list lags behind a drain, a reboot and the return."""
    listed = {host.host_id: host for host in _list(setup)}
    assert len(listed) == 30
    assert len({host.availability_zone for host in listed.values()}) == 3
    setup.platform.host_control.drain_host(HOST).unwrap()
    assert _state(setup) is platform.ListedState.LIVE
    for _ in range(2):
        setup.clock.advance(2.0)
        _list(setup)
    assert _state(setup) is platform.ListedState.LEAVING
    setup.platform.host_control.reboot_host(HOST).unwrap()
    for _ in range(5):
        setup.clock.advance(2.0)
        _list(setup)
    assert _state(setup) is platform.ListedState.LIVE
    assert next(h for h in _list(setup) if h.host_id == HOST).boot_count == 2
    assert (
        kind_of(setup.platform.host_control.drain_host("none"))
        is KIND.NOT_FOUND
    )


def _list(setup: PlatformSetup) -> tuple[platform.ListedHost, ...]:
    return setup.platform.host_list.list_hosts().unwrap()


def _state(setup: PlatformSetup) -> platform.ListedState:
    return next(host.state for host in _list(setup) if host.host_id == HOST)


def case_task_lifecycle(setup: PlatformSetup) -> None:
    """A task runs, resumes from its checkpoint and finishes."""
    behaviour = task_types.JobBehaviour(cores=30.0, run_seconds=15.0)
    setup.state.set_behaviour({"job": behaviour})
    tasks = setup.platform.tasks
    tasks.start_task(HOST, order("t1", 1)).unwrap()
    setup.clock.advance(10.0)
    checkpoint_name = tasks.checkpoint_task("t1", 1).unwrap()
    tasks.stop_task("t1", 1).unwrap()
    tasks.stop_task("t1", 1).unwrap()
    tasks.start_task(HOST, order("t2", 2, checkpoint=checkpoint_name)).unwrap()
    setup.clock.advance(6.0)
    assert kind_of(tasks.renew_task("t2", 2, 20.0)) is KIND.NOT_FOUND
    setup.clock.advance(3.0)
    tasks.list_tasks(HOST).unwrap()
    setup.clock.advance(3.0)
    reports = tasks.list_tasks(HOST).unwrap()
    assert [report.state for report in reports] == ["stopped", "finished"]
    assert reports[0].lag_seconds > 0


def case_task_fencing(setup: PlatformSetup) -> None:
    """Orders with a stale epoch and duplicate starts are rejected."""
    tasks = setup.platform.tasks
    tasks.start_task(HOST, order("t2", 2)).unwrap()
    assert kind_of(tasks.start_task(HOST, order("t2", 2))) is KIND.CONFLICT
    assert kind_of(tasks.start_task(HOST, order("t1", 1))) is KIND.CONFLICT
    assert kind_of(tasks.renew_task("t2", 1, 9.0)) is KIND.CONFLICT
    large_order = order("t3", 1, job_id="other")
    assert kind_of(tasks.start_task(HOST, large_order)) is KIND.PLATFORM_REFUSED
    tasks.throttle_task("t2", 2, 0.0).unwrap()
    tasks.start_task(HOST, large_order).unwrap()
    assert setup.state.tasks.overlaps == 0


def case_task_lease(setup: PlatformSetup) -> None:
    """Renewing a lease extends it; an expired lease ends the task."""
    tasks = setup.platform.tasks
    tasks.start_task(HOST, order("t1", 1)).unwrap()
    setup.clock.advance(19.0)
    tasks.renew_task("t1", 1, 20.0).unwrap()
    setup.clock.advance(19.0)
    assert len(setup.state.tasks.running_of("job")) == 1
    setup.clock.advance(2.0)
    assert kind_of(tasks.renew_task("t1", 1, 20.0)) is KIND.NOT_FOUND


def case_leaving_hosts(setup: PlatformSetup) -> None:
    """A draining worker accepts no task; after a reboot it does."""
    setup.platform.host_control.drain_host(HOST).unwrap()
    refused = setup.platform.tasks.start_task(HOST, order("t1", 1))
    assert kind_of(refused) is KIND.PLATFORM_REFUSED
    setup.platform.host_control.reboot_host(HOST).unwrap()
    setup.clock.advance(5.0)
    setup.platform.tasks.start_task(HOST, order("t1", 1)).unwrap()


def case_platform_down(setup: PlatformSetup) -> None:
    """A platform that is down reports so and changes nothing."""
    setup.state.set_faults(faults.Faults(down=True))
    write = [platform.Write("jobs", "x", {})]
    outcome = setup.platform.table.transact([], write)
    assert kind_of(outcome) is KIND.STORE_UNAVAILABLE
    assert outcome.failure().executed is errors.Executed.NO
    assert (
        kind_of(setup.platform.host_list.list_hosts()) is outcome.failure().kind
    )
    setup.state.set_faults(faults.Faults())
    assert setup.platform.table.read("jobs", "x").unwrap() is None


def case_lost_answers(setup: PlatformSetup) -> None:
    """A lost response to a write that took effect is an unknown outcome.

    Guards against curl resending a request on a reused connection, which
    would turn the outcome into a conflict. With seed 1, the response to the
    first request is lost, and the response to a resent one would not be.
    """
    setup.platform.table.read("jobs", "x").unwrap()
    setup.state.set_faults(faults.Faults(lose_answers=0.5))
    outcome = setup.platform.table.transact(
        [platform.Condition("jobs", "x", 0)],
        [platform.Write("jobs", "x", {"token": "a"})],
    )
    assert kind_of(outcome) is KIND.STORE_OUTCOME_UNKNOWN
    assert outcome.failure().executed is errors.Executed.UNKNOWN
    row = setup.platform.table.read("jobs", "x").unwrap()
    assert row is not None and row.version == 1


def case_stale_reads(setup: PlatformSetup) -> None:
    """Stale reads return old rows; conditions use the current ones."""
    table = setup.platform.table
    table.transact([], [platform.Write("jobs", "x", {"n": 1})]).unwrap()
    setup.clock.advance(5.0)
    table.transact([], [platform.Write("jobs", "x", {"n": 2})]).unwrap()
    setup.state.set_faults(faults.Faults(old_reads_seconds=3.0))
    row = table.read("jobs", "x").unwrap()
    assert row is not None and row.version == 1
    stale = [platform.Condition("jobs", "x", row.version)]
    assert kind_of(table.transact(stale, [])) is KIND.CONFLICT


CASES = (
    case_absent_rows,
    case_versions,
    case_all_or_nothing,
    case_deleted_rows,
    case_objects,
    case_host_list,
    case_task_lifecycle,
    case_task_fencing,
    case_task_lease,
    case_leaving_hosts,
    case_platform_down,
    case_lost_answers,
    case_stale_reads,
)
