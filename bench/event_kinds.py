"""Events of callers, holders, workers and the network at a simulated pool."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import random
from typing import NamedTuple

from bench import event_workers
from bench import event_world
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster

MAX_HOLDERS = 3
NEED = job_spec.Resources(1000, 100, 0)
SPECS = (
    job_spec.JobSpec("one task", (job_spec.StepSpec(1, NEED, 1.0),)),
    job_spec.JobSpec(
        "lasting",
        (job_spec.StepSpec(2, NEED, 1.0, lasting=True, may_be_away=1),),
    ),
    job_spec.JobSpec(
        "chain",
        (
            job_spec.StepSpec(1, NEED, 1.0, saves=True),
            job_spec.StepSpec(2, NEED, 1.0, after=(0,)),
        ),
    ),
    job_spec.JobSpec("gang", (job_spec.StepSpec(2, NEED, 1.0, gang=True),)),
)


class EventKind(NamedTuple):
    """A kind of event.

    Attributes:
        weight: How often it is drawn.
        apply: Applies it; it does nothing where it doesn't fit.
    """

    weight: int
    apply: Callable[[event_world.World, random.Random], None]


def run_calmly(world: event_world.World) -> None:
    """Lets the present holder do what it has to do, without faults."""
    if not world.holders:
        world.take_over(releases=False)
    holder = world.holders[-1]
    world.read_registry(holder, world.worker_by_id)
    world.read_records(holder)
    for worker in holder.workers():
        if holder.controller.pool.may_renew():
            worker.poll_once()
    world.run_round(holder)
    for worker in holder.workers():
        while worker.send_once():
            pass


def _holder(
    world: event_world.World, rng: random.Random
) -> event_world.Holder | None:
    """Chooses a holder, mostly the present one."""
    if not world.holders:
        return None
    return rng.choice([*world.holders, *[world.holders[-1]] * 4])


def _at_holder(
    apply: Callable[
        [event_world.World, event_world.Holder, random.Random], None
    ],
) -> Callable[[event_world.World, random.Random], None]:
    def apply_at_holder(world: event_world.World, rng: random.Random) -> None:
        if holder := _holder(world, rng):
            apply(world, holder, rng)

    return apply_at_holder


def _submit(world: event_world.World, rng: random.Random) -> None:
    number = rng.randrange(2 * len(SPECS))
    world.submit(f"{number:016x}", SPECS[number % len(SPECS)])


def _cancel(world: event_world.World, rng: random.Random) -> None:
    if world.accepted:
        world.cancel(rng.choice([*world.accepted]))


def _poll(
    world: event_world.World, holder: event_world.Holder, rng: random.Random
) -> None:
    known = holder.workers()
    if not known or not holder.controller.pool.may_renew():
        return
    world.faults = rng.choices(
        (
            event_workers.CallFault.NONE,
            event_workers.CallFault.ANSWER_LOST,
            event_workers.CallFault.LOST,
        ),
        (5, 1, 1),
    )
    rng.choice(known).poll_once()
    world.faults.clear()


def _order(
    world: event_world.World, holder: event_world.Holder, rng: random.Random
) -> None:
    known = holder.workers()
    if not known:
        return
    worker = rng.choice(known)
    for _ in range(rng.randrange(1, 4)):
        # A call without an answer may be repeated at once.
        world.faults = rng.choices(
            [*event_workers.CallFault], (6, 1, 1, 1, 1), k=2
        )
        worker.send_once()
    world.faults.clear()


def _read_registry(
    world: event_world.World, holder: event_world.Holder, rng: random.Random
) -> None:
    ids = [*world.worker_by_id]
    world.read_registry(holder, rng.sample(ids, rng.randrange(1, len(ids) + 1)))


def _work_with_one_worker(
    world: event_world.World, holder: event_world.Holder, rng: random.Random
) -> None:
    """Has a holder plan for a worker while it doesn't know the others."""
    worker_id = rng.choice([*world.worker_by_id])
    world.read_registry(holder, [worker_id])
    worker = holder.controller.pool.worker_by_id.get(worker_id)
    if worker is None or not holder.controller.pool.may_renew():
        return
    worker.poll_once()
    world.run_round(holder)
    while worker.send_once():
        pass


def _round(
    world: event_world.World, holder: event_world.Holder, rng: random.Random
) -> None:
    if rng.random() < 0.1:
        world.store.fault_after = rng.random() < 0.5
    world.store.lost_answers = rng.random() < 0.1
    world.run_round(holder)
    world.store.fault_after = None
    world.store.lost_answers = 0


def _take_over(world: event_world.World, rng: random.Random) -> None:
    if len(world.holders) < MAX_HOLDERS:
        world.take_over(rng.random() < 0.5)


def _kill_holder(world: event_world.World, rng: random.Random) -> None:
    if len(world.holders) > 1:
        world.holders.pop(rng.randrange(len(world.holders) - 1))


def _finish(world: event_world.World, rng: random.Random) -> None:
    running = [
        (worker, task)
        for worker in world.worker_by_id.values()
        for task in worker.running
    ]
    if not running:
        return
    worker, task = rng.choice(running)
    lasting = world.accepted[task.job_id].lasting
    fails = lasting or rng.random() < 0.1
    if fails and rng.random() < 0.7:
        return
    worker.finish(
        task, cluster.RunEndKind.FAILED if fails else cluster.RunEndKind.DONE
    )


def _fail(world: event_world.World, rng: random.Random) -> None:
    """Fails most finite runs at work."""
    for worker in world.worker_by_id.values():
        for task in worker.running:
            if not world.accepted[task.job_id].lasting and rng.random() < 0.7:
                worker.finish(task, cluster.RunEndKind.FAILED)


def _lose_connections(
    world: event_world.World, holder: event_world.Holder, rng: random.Random
) -> None:
    for link in holder.links:
        if rng.random() < 0.5:
            link.lose_connection()


def _crash(world: event_world.World, rng: random.Random) -> None:
    worker = rng.choice([*world.worker_by_id.values()])
    if not worker.is_down:
        worker.crash()


def _restart(world: event_world.World, rng: random.Random) -> None:
    for worker in world.worker_by_id.values():
        if worker.is_down:
            world.register(worker)


def _restart_unseen(
    world: event_world.World, holder: event_world.Holder, rng: random.Random
) -> None:
    """Restarts a worker under its id while a holder goes on without a poll.

    The list of hosts is read in between, and may be used later. No run has
    just started there, so that the crash is no evidence against its task.
    """
    worker = rng.choice([*world.worker_by_id.values()])
    known = holder.controller.pool.worker_by_id.get(worker.worker_id)
    if known is None or not holder.controller.pool.may_renew():
        return
    known.poll_once()
    if known.has_unproven_run():
        return
    if not worker.is_down:
        worker.crash()
    world.list_down_workers()
    world.register(worker)
    _submit(world, rng)
    world.read_records(holder)
    world.run_round(holder)
    while known.send_once():
        pass
    if rng.random() < 0.5:
        world.read_down_workers(holder)


def _cut(
    world: event_world.World, holder: event_world.Holder, rng: random.Random
) -> None:
    if holder.links:
        link = rng.choice(holder.links)
        link.is_cut = not link.is_cut


def _execute_late(world: event_world.World, rng: random.Random) -> None:
    if world.late_calls:
        world.execute_late(rng.choice(world.late_calls))


def _advance(world: event_world.World, rng: random.Random) -> None:
    world.clock.advance(rng.choice((0.1, 0.3, 1.0, 3.0)))


EVENT_BY_NAME: Mapping[str, EventKind] = {
    "submit": EventKind(4, _submit),
    "cancel": EventKind(2, _cancel),
    "calm step": EventKind(8, lambda world, rng: run_calmly(world)),
    "poll": EventKind(12, _at_holder(_poll)),
    "order": EventKind(12, _at_holder(_order)),
    "round": EventKind(10, _at_holder(_round)),
    "read records": EventKind(
        6, _at_holder(lambda world, holder, rng: world.read_records(holder))
    ),
    "read registry": EventKind(6, _at_holder(_read_registry)),
    "one worker": EventKind(4, _at_holder(_work_with_one_worker)),
    "list down": EventKind(1, lambda world, rng: world.list_down_workers()),
    "read down": EventKind(
        2,
        _at_holder(lambda world, holder, rng: world.read_down_workers(holder)),
    ),
    "take over": EventKind(3, _take_over),
    "kill holder": EventKind(1, _kill_holder),
    "finish": EventKind(4, _finish),
    "crash": EventKind(1, _crash),
    "restart": EventKind(2, _restart),
    "restart unseen": EventKind(2, _at_holder(_restart_unseen)),
    "cut": EventKind(2, _at_holder(_cut)),
    "late call": EventKind(3, _execute_late),
    "advance": EventKind(6, _advance),
}
# With the kinds for runs that fail again and again.
ALL_BY_NAME: Mapping[str, EventKind] = {
    **EVENT_BY_NAME,
    "fail": EventKind(12, _fail),
    "lose connections": EventKind(4, _at_holder(_lose_connections)),
}
