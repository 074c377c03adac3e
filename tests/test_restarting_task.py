"""Tests of tasks that outlive unexpected errors."""

from __future__ import annotations

import threading

import pytest

from wisteriasill import restarting_task


@pytest.fixture
def closing() -> threading.Event:
    return threading.Event()


def test_a_task_starts_again_after_an_error(closing: threading.Event) -> None:
    outcomes = iter([ValueError("one bad message"), None])
    done = threading.Event()

    def run() -> None:
        if error := next(outcomes):
            raise error
        done.set()

    restarting_task.start("test", run, closing).join(5.0)
    assert done.is_set()


def test_a_closed_task_does_not_start_again(closing: threading.Event) -> None:
    runs: list[int] = []

    def run() -> None:
        runs.append(1)
        closing.set()
        raise ValueError("the connection was closed")

    restarting_task.start("test", run, closing).join(5.0)
    assert runs == [1]
