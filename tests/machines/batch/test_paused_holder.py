"""Tests of a holder that was paused, and of leases of former holders."""

from __future__ import annotations

import pytest

from tests.machines import batch_site
from wisteriasill import clock
from wisteriasill.machines import batch_runs


def test_a_suspended_holder_renews_no_lease(
    site: batch_site.SteppedPool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A successor starts the tasks of unreachable workers elsewhere.

    The monotonic clock stands still while a machine is suspended.
    """
    assert site.pool.may_renew()
    resumed_at = clock.boot_seconds() + batch_runs.MAX_STORE_OUTAGE_SECONDS
    monkeypatch.setattr(clock, "boot_seconds", lambda: resumed_at)
    assert not site.pool.may_renew()
