"""Tests of publishing and loading the configuration."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import copy
import itertools
from typing import Any

import pytest
from returns import result

from tests import scripted_platform
from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import configuration_store as store

Documents = dict[str, Mapping[str, Any]]
Publish = Callable[..., result.Result[configurations.Manifest, errors.Failure]]


def edited(documents: Documents, name: str, **pool: Any) -> Documents:
    changed = copy.deepcopy(dict(documents[name]))
    changed["pool"].update(pool)
    return {name: changed}


@pytest.fixture
def publish(
    scripted: scripted_platform.ScriptedPlatform,
    mandacaru: Documents,
    manual_clock: clocks.ManualClock,
) -> Publish:
    """Publishes on top of the example site, which is generation 1."""

    def call(
        documents: Documents, base: int, author: str = "bia", **more: Any
    ) -> result.Result[configurations.Manifest, errors.Failure]:
        change = store.Change(documents, author, base, **more)
        return store.publish(scripted, change, clock=manual_clock)

    assert call(mandacaru, 0, "ana").unwrap().generation == 1
    return call


def kind_of(outcome: result.Result[Any, errors.Failure]) -> errors.ErrorKind:
    return outcome.failure().kind


def in_force(
    scripted: scripted_platform.ScriptedPlatform,
) -> configurations.Configuration:
    manifest = store.publish(scripted, store.Change({}, "reader", 0)).unwrap()
    return store.load(
        scripted, manifest, configurations.NO_CONFIGURATION
    ).unwrap()


def test_load_fetches_only_what_changed(
    scripted: scripted_platform.ScriptedPlatform,
    publish: Publish,
    mandacaru: Documents,
) -> None:
    """A change of one service must not make entry hosts fetch all services."""
    before = in_force(scripted)
    change = edited(mandacaru, "swatches", maintenance_minutes=25)
    manifest = publish(change, 1).unwrap()
    scripted.fetched.clear()
    after = store.load(scripted, manifest, before).unwrap()
    assert scripted.fetched == [manifest.entries["swatches"].digest]
    assert after.services_by_name["swatches"].pool.maintenance_minutes == 25
    assert (
        after.services_by_name["billing"] is before.services_by_name["billing"]
    )


def test_unchanged_input_makes_no_generation(
    publish: Publish, mandacaru: Documents
) -> None:
    """Publishing the same files again must not disturb the fleet."""
    assert publish(mandacaru, 0).unwrap().generation == 1


def test_stale_change_names_who_when_and_what(
    publish: Publish, mandacaru: Documents
) -> None:
    """A sequential stale publish must not undo a colleague's change."""
    publish(edited(mandacaru, "quoting", maintenance_minutes=45), 1)
    stale = edited(mandacaru, "quoting", maintenance_minutes=10)
    refused = publish(stale, 1, "ana")
    assert kind_of(refused) is errors.ErrorKind.CONFIGURATION_CONFLICT
    detail = refused.failure().detail
    for part in ("bia", "UTC", "generation 2", "20 -> 45", "--base 2"):
        assert part in detail
    assert publish(stale, 2, "ana").unwrap().generation == 3


def test_other_services_do_not_conflict(
    publish: Publish, mandacaru: Documents
) -> None:
    """Two teams must be able to publish from the same generation."""
    publish(edited(mandacaru, "quoting", maintenance_minutes=45), 1)
    change = edited(mandacaru, "billing", maintenance_minutes=45)
    assert publish(change, 1).unwrap().generation == 3


def test_service_that_someone_removed_is_not_brought_back(
    publish: Publish, mandacaru: Documents
) -> None:
    """A publish from an old directory must not restore a removed service."""
    publish({}, 1, removed=("support",))
    restored = publish(mandacaru, 1, base_names=tuple(mandacaru))
    assert kind_of(restored) is errors.ErrorKind.CONFIGURATION_CONFLICT


@pytest.mark.parametrize("lost", ["lost-before", "lost-after"])
@pytest.mark.parametrize("stale", [False, True])
@pytest.mark.parametrize("race", [False, True])
def test_lost_answer_is_resolved_by_the_token(
    scripted: scripted_platform.ScriptedPlatform,
    publish: Publish,
    mandacaru: Documents,
    manual_clock: clocks.ManualClock,
    lost: str,
    stale: bool,
    race: bool,
) -> None:
    """A publish whose answer is lost must be applied exactly once."""
    if stale:
        scripted.stale_rows = dict(scripted.rows)
    scripted.script = [lost]
    if stale:
        scripted.script.append(lambda: setattr(scripted, "stale_rows", None))
    if race:
        other = edited(mandacaru, "billing", maintenance_minutes=45)
        scripted.script.append(lambda: publish(other, 1, "other"))
    change = edited(mandacaru, "quoting", maintenance_minutes=45)
    publish(change, 1).unwrap()
    scripted.stale_rows = None
    while scripted.script:  # The race did not happen during the publish.
        step = scripted.script.pop()
        assert callable(step)
        step()
    minutes = {
        name: service.pool.maintenance_minutes
        for name, service in in_force(scripted).services_by_name.items()
    }
    assert minutes["quoting"] == 45
    assert minutes["billing"] == (45 if race else 20)
    assert in_force(scripted).generation == (3 if race else 2)


def test_stale_read_does_not_count_as_unchanged(
    scripted: scripted_platform.ScriptedPlatform,
    publish: Publish,
    mandacaru: Documents,
    manual_clock: clocks.ManualClock,
) -> None:
    """A stale read must not report a replaced change as in force."""
    scripted.stale_rows = dict(scripted.rows)
    old_rows = scripted.stale_rows
    scripted.stale_rows = None
    publish(edited(mandacaru, "quoting", maintenance_minutes=45), 1)
    scripted.stale_rows = old_rows
    assert kind_of(publish(mandacaru, 1)) is errors.ErrorKind.CONFLICT


def test_publish_is_based_on_the_newest_known_configuration(
    scripted: scripted_platform.ScriptedPlatform,
    publish: Publish,
    mandacaru: Documents,
    manual_clock: clocks.ManualClock,
) -> None:
    """Stale reads must not fail a publish that knows a newer generation."""
    old_rows = dict(scripted.rows)
    publish(edited(mandacaru, "quoting", maintenance_minutes=45), 1)
    newest = in_force(scripted)
    scripted.stale_rows = old_rows
    change = store.Change(
        edited(mandacaru, "billing", maintenance_minutes=45), "bia", 1
    )
    manifest = store.publish(
        scripted, change, lambda: newest, manual_clock
    ).unwrap()
    assert manifest.generation == 3
    assert manifest.entries["quoting"].generation == 2


def test_store_that_is_down_reports_nothing_written(
    scripted: scripted_platform.ScriptedPlatform,
    publish: Publish,
    mandacaru: Documents,
) -> None:
    """An operator must learn that an outage kept the old configuration."""
    scripted.down = True
    refused = publish(mandacaru, 1).failure()
    assert refused.kind is errors.ErrorKind.STORE_UNAVAILABLE
    assert refused.executed is errors.Executed.NO


@pytest.mark.parametrize(
    ("pool", "away", "expected"),
    [
        ({"hosts_always_usable": 3}, 2, ""),
        ({"hosts_always_usable": 5}, 2, "hosts_always_usable = 4 would do"),
        ({"hosts": 5}, 2, "hosts = 6 would do"),
        ({"hosts": 5}, 1, ""),
        ({"hosts": 8, "hosts_always_usable": 7}, 0, "hosts_always_usable = 6"),
    ],
)
def test_promise_that_hosts_cannot_keep_is_refused(
    scripted: scripted_platform.ScriptedPlatform,
    publish: Publish,
    mandacaru: Documents,
    pool: dict[str, int],
    away: int,
    expected: str,
) -> None:
    """A publish must not promise hosts that a wave has away."""
    names = [f"h{number}" for number in range(6)]
    for number, name in enumerate(names):
        state = "rebooting" if number < away else "serving"
        scripted.set_row("hosts", name, {"pool": "swatches", "state": state})
    scripted.set_row(
        "waves",
        "swatches/3",
        {
            "pool": "swatches",
            "number": 3,
            "state": "running",
            "started_at": 0.0,
            "hosts_total": 6,
            "hosts_away": names[:away],
        },
    )
    outcome = publish(edited(mandacaru, "swatches", **pool), 1)
    if not expected:
        assert outcome.unwrap().generation == 2
        return
    refused = outcome.failure()
    assert refused.kind is errors.ErrorKind.CAPACITY_PROMISE
    assert expected in refused.detail
    assert away == 0 or "wave 3" in refused.detail


def test_host_that_leaves_meanwhile_stops_the_publish(
    scripted: scripted_platform.ScriptedPlatform,
    publish: Publish,
    mandacaru: Documents,
) -> None:
    """The check of a promise and its publication must be atomic."""
    for number in range(6):
        scripted.set_row(
            "hosts", f"h{number}", {"pool": "swatches", "state": "serving"}
        )
    leaving = itertools.count()

    def leave() -> None:
        scripted.set_row(
            "hosts",
            f"h{next(leaving)}",
            {"pool": "swatches", "state": "draining"},
        )

    scripted.script = [leave, leave]
    change = edited(mandacaru, "swatches", hosts_always_usable=5)
    refused = publish(change, 1)
    assert kind_of(refused) is errors.ErrorKind.CAPACITY_PROMISE


@pytest.mark.parametrize(
    ("documents", "more", "expected"),
    [
        ({"quoting": {}}, {}, "quoting"),
        ({"quoting": {"name": "billing"}}, {}, "quoting"),
        ({}, {"removed": ("site",)}, "site.toml"),
        ({}, {"removed": ("billing", "cutting", "support")}, "workroom"),
    ],
)
def test_invalid_documents_are_refused(
    publish: Publish,
    documents: Documents,
    more: dict[str, Any],
    expected: str,
) -> None:
    """A script that skips `check` must not break the configuration."""
    refused = publish(documents, 1, **more).failure()
    assert refused.kind is errors.ErrorKind.INVALID_CONFIGURATION
    assert expected in refused.detail
