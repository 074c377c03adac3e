"""Tests of publish, plan and order commands against an entry host."""

from __future__ import annotations

from concurrent import futures
import json
import pathlib
import threading

import pytest

from tests import operator_site
from tests.commands import conftest
from wisteriasill import documents
from wisteriasill.commands import lock_file
from wisteriasill.contracts import orders
from wisteriasill.contracts import service_file
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites


@pytest.fixture(autouse=True)
def entry(
    operators: operator_site.OperatorSite, monkeypatch: pytest.MonkeyPatch
) -> operator_site.OperatorSite:
    monkeypatch.setenv("WISTERIASILL_ENTRY", operators.url)
    return operators


def edit_service(folder: pathlib.Path, name: str, old: str, new: str) -> None:
    path = folder / name / service_file.SERVICE_FILE
    text = path.read_text(encoding="utf-8")
    assert old in text
    path.write_text(text.replace(old, new), encoding="utf-8")


def test_publish_writes_the_generation_to_the_lock_file(
    run: conftest.Run, entry: operator_site.OperatorSite, folder: pathlib.Path
) -> None:
    """A second publish from a stale directory must be refused."""
    initial = documents.encode(
        entry.site.snapshot.configuration.services_by_name["quoting"]
    )
    assert run("publish", str(folder)).status == 0
    assert lock_file.read(folder).unwrap().generation == 1  # type: ignore[union-attr]
    edit_service(folder, "quoting", "minutes = 20", "minutes = 30")
    published = run("publish", str(folder), "--no-wait")
    assert published.status == 0
    assert "pool.maintenance_minutes: 20 -> 30" in published.output
    assert "roll-out time: 2 h 1 min with 1 away" in published.output
    entry.adopt_configuration()
    lock = folder / lock_file.NAME
    lock.write_text(
        lock.read_text(encoding="utf-8").replace("2", "1"), encoding="utf-8"
    )
    edit_service(folder, "quoting", "minutes = 30", "minutes = 45")
    stale = run("publish", str(folder), "--no-wait")
    assert stale.status == 1
    assert "was changed by bia" in stale.errors
    assert "--base 2" in stale.errors
    assert run("publish", str(folder), "--no-wait", "--base", "2").status == 0
    assert initial["pool"]["maintenance_minutes"] == 20


def test_publish_without_lock_file_requires_the_base(
    run: conftest.Run, folder: pathlib.Path
) -> None:
    """A fresh checkout of old files must not revert the configuration."""
    edit_service(folder, "quoting", "minutes = 20", "minutes = 30")
    refused = run("publish", str(folder), "--no-wait")
    assert refused.status == 2
    assert "quoting" in refused.errors
    assert "--base" in refused.errors
    planned = json.loads(run("plan", str(folder), "--json").output)
    assert planned["differences"] == {
        "quoting": ["pool.maintenance_minutes: 20 -> 30"]
    }
    assert planned["consequences"]["quoting"][-1] == "host moves: 0"
    assert run("publish", str(folder), "--no-wait").status == 0


def test_publish_waits_until_it_is_in_force(
    run: conftest.Run, entry: operator_site.OperatorSite, folder: pathlib.Path
) -> None:
    """`publish` must not report success while a member lags behind."""
    assert run("publish", str(folder)).status == 0
    edit_service(folder, "quoting", "minutes = 20", "minutes = 30")
    done = threading.Event()

    def poll() -> None:
        while not done.wait(0.05):
            entry.adopt_configuration()

    with futures.ThreadPoolExecutor(1) as executor:
        polling = executor.submit(poll)
        outcome = run("publish", str(folder))
        done.set()
        polling.result()
    assert outcome.status == 0
    assert "generation 2 is in force everywhere" in outcome.output


def test_publish_waits_until_hosts_serve(
    run: conftest.Run, entry: operator_site.OperatorSite, folder: pathlib.Path
) -> None:
    """A request right after `publish` must not find an empty pool."""
    pool = entry.site.snapshot.hosts_by_pool["quoting"]
    entry.site.update_hosts(
        sites.KnownHost(host._replace(state=hosts.HostState.REBOOTING), 2)
        for host in pool
    )
    returning = threading.Timer(
        1.0,
        entry.site.update_hosts,
        [[sites.KnownHost(host, 3) for host in pool]],
    )
    returning.start()
    outcome = run("publish", str(folder))
    returning.join()
    assert outcome.status == 0
    assert "waiting for hosts of quoting" in outcome.output


def test_lock_file_of_a_later_generation_is_refused_with_a_remedy(
    run: conftest.Run, folder: pathlib.Path
) -> None:
    assert run("publish", str(folder)).status == 0
    lock = lock_file.read(folder).unwrap()
    assert lock is not None
    lock_file.write(folder, lock._replace(generation=7)).unwrap()
    refused = run("publish", str(folder))
    assert refused.status == 2
    assert lock_file.NAME in refused.errors
    assert "delete it or pass --base" in refused.errors


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("hosts_always_usable = 5", "hosts_always_usable = 9", "at most 5"),
        ('team = "sales"', 'taem = "sales"', 'did you mean "team"'),
    ],
)
def test_publish_of_invalid_files(
    run: conftest.Run, folder: pathlib.Path, old: str, new: str, expected: str
) -> None:
    """Files with errors must never reach the store."""
    edit_service(folder, "quoting", old, new)
    outcome = run("publish", str(folder))
    assert outcome.status == 1
    assert expected in outcome.errors


def test_publish_to_the_wrong_site(run: conftest.Run) -> None:
    """A wrong --entry must not replace another site's configuration."""
    malabar = operator_site.EXAMPLES / "malabar"
    outcome = run("publish", str(malabar), "--base", "1")
    assert outcome.status == 1
    assert "is --entry right?" in outcome.errors
    assert not (malabar / lock_file.NAME).exists()


def test_removal_is_explicit_and_needs_an_empty_pool(
    run: conftest.Run, folder: pathlib.Path
) -> None:
    """A deleted file must not remove a service or orphan its hosts."""
    (folder / "swatches" / service_file.SERVICE_FILE).unlink()
    kept = run("publish", str(folder), "--no-wait")
    assert kept.status == 0
    assert "swatches has no file here and stays in force" in kept.output
    refused = run("publish", str(folder), "--remove", "swatches")
    assert refused.status == 1
    assert "still holds 6 hosts" in refused.errors
    misspelt = run("publish", str(folder), "--remove", "swatch")
    assert misspelt.status == 2
    assert 'did you mean "swatches"?' in misspelt.errors


@pytest.mark.parametrize(
    ("state", "detail", "status"),
    [("done", "draining, reboots", 0), ("rejected", "pool must keep 5", 1)],
)
def test_order_waits_for_its_outcome(
    run: conftest.Run,
    entry: operator_site.OperatorSite,
    state: str,
    detail: str,
    status: int,
) -> None:
    """An operator must learn whether a drain was carried out, and why not."""
    done = threading.Event()

    def carry_out() -> None:
        while not done.wait(0.02):
            for (table, key), row in list(entry.platform.rows.items()):
                if table == orders.TABLE and row.value["state"] == "pending":
                    entry.platform.set_row(
                        table,
                        key,
                        {**row.value, "state": state, "detail": detail},
                    )

    with futures.ThreadPoolExecutor(1) as executor:
        working = executor.submit(carry_out)
        outcome = run("drain", "cutting-1", "--hold")
        done.set()
        working.result()
    assert outcome.status == status
    assert f"drain cutting-1: {state}: {detail}" in outcome.output


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("drain cuting-1", '"cutting-1"'),
        ("move cutting-1 quotin", '"quoting"'),
        ("pause quotin", '"quoting"'),
        ("cancel nothing", '"nothing"'),
    ],
)
def test_orders_for_unknown_hosts_pools_and_jobs(
    run: conftest.Run, line: str, expected: str
) -> None:
    """A misspelt host or pool must be refused with the closest name."""
    outcome = run(*line.split())
    assert outcome.status == 1
    assert expected in outcome.errors


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("status", "site mandacaru, prefers buffer-cost, generation 1"),
        ("hosts --pool cutting", "cutting-5  cutting  serving"),
        ("waves", "as known to entry-1"),
        ("jobs", "as known to entry-1"),
        ("events", "INFO"),
        ("pause quoting --no-wait", "pause-waves quoting: pending"),
    ],
)
def test_text_output(run: conftest.Run, line: str, expected: str) -> None:
    """Each command must print its kind of rows or state."""
    outcome = run(*line.split())
    assert outcome.status == 0
    assert expected in outcome.output
