"""Tests of which step a pool asks advice for, and about which workers."""

from __future__ import annotations

import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_advice
from wisteriasill.machines import batch_pool
from wisteriasill.machines import batch_workers

RULE = queues.AdviceRule(0.2, 0.045, 3.0)
QUEUE = batch_site.QUEUE._replace(advice=RULE)
RESTARTED = batch_workers.Removal("restarted", restarted=True, crashed=True)


@pytest.fixture
def site() -> batch_site.SteppedPool:
    """A pool of 40 workers of a queue with advice."""
    stepped = batch_site.SteppedPool()
    stepped.pool.configure(queues.configuration(2, [QUEUE], [], 1000))
    for number in range(40):
        link = batch_worker.MemoryWorker(batch_site.ROOM)
        stepped.poll(stepped.add_worker(f"w{number:02}", link))
    return stepped


def next_call(site: batch_site.SteppedPool) -> batch_advice.AdviceCall:
    site.run_round()
    call = site.pool.next_advice_call(time.monotonic())
    assert call is not None
    return call


def add_job(
    site: batch_site.SteppedPool, job_id: str, step: job_spec.StepSpec
) -> None:
    site.pool.on_record(batch_site.job_row(job_id, [step]))


def test_a_call_declares_the_time_for_the_workers_that_it_names(
    site: batch_site.SteppedPool,
) -> None:
    add_job(site, "j1", batch_site.step(1))
    call = next_call(site)
    assert len(call.worker_ids) == 30
    assert call.declared_seconds == pytest.approx(0.2 + 30 * 0.045)


def test_a_call_names_only_workers_that_could_run_the_step(
    site: batch_site.SteppedPool,
) -> None:
    link = batch_worker.MemoryWorker(batch_site.ROOM._replace(cpu=64_000))
    site.poll(site.add_worker("large", link))
    add_job(site, "j1", batch_site.step(1, cpu=32_000))
    assert next_call(site).worker_ids == ["large"]


def test_the_next_call_names_others_while_allowed_workers_have_no_room(
    site: batch_site.SteppedPool,
) -> None:
    add_job(site, "j1", batch_site.step(2, cpu=16_000))
    first = next_call(site)
    allowed = first.worker_ids[0]
    site.pool.on_advice(first, cluster.Advice({allowed: "t"}, 3.0))
    (run,) = site.run_round()
    assert run.worker.worker_id == allowed
    second = next_call(site)
    assert len(second.worker_ids) == 10
    assert not {*second.worker_ids} & {*first.worker_ids}
    site.pool.on_advice(second, cluster.Advice({}, 3.0))
    site.run_round()
    assert site.pool.next_advice_call(time.monotonic()) is None


def test_a_step_whose_tasks_run_is_not_asked_for(
    site: batch_site.SteppedPool,
) -> None:
    add_job(site, "j1", batch_site.step(2))
    call = next_call(site)
    site.pool.on_advice(
        call, cluster.Advice(dict.fromkeys(call.worker_ids, "t"), 3.0)
    )
    assert len(site.run_round()) == 2
    assert site.pool.next_advice_call(time.monotonic()) is None


def test_advice_for_a_job_that_ended_during_the_call_is_dropped(
    site: batch_site.SteppedPool,
) -> None:
    add_job(site, "j1", batch_site.step(1))
    call = next_call(site)
    cancelled = batch_site.job_row("j1", [batch_site.step(1)], cancelled=True)
    site.pool.on_record(cancelled._replace(version=2))
    site.pool.on_advice(call, cluster.Advice({"w00": "t"}, 3.0))
    assert not site.run_round()
    assert site.pool.next_advice_call(time.monotonic()) is None


def test_a_step_whose_call_failed_comes_after_the_others(
    site: batch_site.SteppedPool,
) -> None:
    """Guards against one step whose calls fail and that holds up the rest."""
    add_job(site, "j1", batch_site.step(1))
    add_job(site, "j2", batch_site.step(1))
    first = next_call(site)
    site.pool.on_advice_failure(first)
    assert next_call(site).step != first.step


def test_a_ticket_is_not_used_for_the_next_incarnation(
    site: batch_site.SteppedPool,
) -> None:
    """It is valid during one life of its worker; the start was rejected."""
    add_job(site, "j1", batch_site.step(1))
    call = next_call(site)
    site.pool.remove_worker(site.pool.worker_by_id["w00"], RESTARTED)
    site.pool.on_advice(call, cluster.Advice({"w01": "t"}, 3.0))
    site.pool.remove_worker(site.pool.worker_by_id["w01"], RESTARTED)
    link = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    site.poll(site.add_worker("w01", link, version=2))
    assert not site.run_round()
    assert "w01" in next_call(site).worker_ids


def test_the_declared_validity_holds_where_an_answer_names_none(
    site: batch_site.SteppedPool,
) -> None:
    add_job(site, "j1", batch_site.step(1))
    call = next_call(site)
    site.pool.on_advice(call, cluster.Advice({"w00": "t"}))
    (run,) = site.run_round()
    assert site.pool.payload(run) == ("payload", "t")


def test_a_slow_task_gets_a_copy_with_new_advice(
    site: batch_site.SteppedPool,
) -> None:
    """Only waiting tasks were asked for, so no copy ever got a ticket."""
    add_job(site, "j1", batch_site.step(1, copies=True))
    call = next_call(site)
    site.pool.on_advice(call, cluster.Advice({"w00": "t"}, 0.05))
    (run,) = site.run_round()
    site.deliver(run.worker)
    site.poll(run.worker)
    run.acked_at = time.monotonic() - 100.0
    site.pool.job_by_id["j1"].done_seconds_by_step[0, 0] = [1.0] * 8
    time.sleep(batch_pool.STRAGGLER_CHECK_SECONDS)
    assert "w30" in next_call(site).worker_ids
