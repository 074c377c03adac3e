"""Tests of starts that are not sent or get no answer."""

from __future__ import annotations

import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill import events
from wisteriasill.machines import worker as workers


def test_no_start_goes_to_a_worker_that_does_not_respond(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """The holder refused its own starts, up to 333 times at one worker."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    worker.silent_since = time.monotonic()
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    assert not site.run_round()
    site.poll(site.add_worker("w2", other_link))
    (run,) = site.run_round()
    assert run.worker.worker_id == "w2"


@pytest.mark.parametrize("reason", ["silent-worker", "stale"])
def test_a_start_that_is_not_sent_takes_no_number_and_no_log_line(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
    reason: str,
) -> None:
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(3)]))
    site.run_round()
    logged: list[events.Event] = []
    monkeypatch.setattr(
        events, "log", lambda event, *_, **__: logged.append(event)
    )
    if reason == "silent-worker":
        worker.silent_since = time.monotonic()
    for run in worker.run_by_task.values():
        run.planned_at -= 2 * workers.STALE_ORDER_SECONDS
    if reason == "stale":
        worker.silent_since = 0.0
    site.deliver(worker)
    assert not logged
    assert not link.starts
    assert site.pool.take_refused_starts() == {reason: 3}
    assert not site.pool.take_refused_starts()
    site.poll(worker)
    if reason == "stale":
        assert not site.run_round(time.monotonic() + 0.1)
    assert {run.number for run in site.run_round(time.monotonic() + 1)} == {1}
    site.deliver(worker)
    assert len(link.running) == 3
