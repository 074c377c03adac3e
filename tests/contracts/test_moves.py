"""Tests of the assignment of hosts to pools."""

from __future__ import annotations

import types
from typing import Any

import pytest

from tests.contracts import conftest
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import moves
from wisteriasill.contracts import service
from wisteriasill.machines import host as hosts

CONTRACT = service.PoolContract(2, 1, 16, 64, 8, 64)


def configured(**wanted: int) -> configurations.Configuration:
    return configurations.NO_CONFIGURATION._replace(
        services_by_name=types.MappingProxyType(
            {
                name: service.Service(
                    name,
                    "t",
                    CONTRACT._replace(
                        hosts=count,
                        spare=name == "spare",
                        cores_per_host=64 if name == "big" else 16,
                    ),
                )
                for name, count in wanted.items()
            }
        )
    )


@pytest.mark.parametrize(
    ("wanted", "present", "expected"),
    [
        ({"a": 2, "b": 2, "spare": 0}, [], "a"),
        ({"a": 2, "b": 2, "spare": 0}, [("a", "z1", "r1")], "b"),
        ({"a": 3, "b": 3, "spare": 0},
         [("a", "z2", "r3"), ("b", "z1", "r1")], "a"),
        ({"a": 1, "spare": 0}, [("a", "z1", "r1")], "spare"),
        ({"big": 1, "spare": 0}, [], "spare"),
        ({"a": 1}, [("a", "z1", "r1")], ""),
    ],
)  # fmt: skip
def test_new_host(
    make_host: conftest.HostFactory,
    wanted: dict[str, int],
    present: list[tuple[str, str, str]],
    expected: str,
) -> None:
    """A new host must join a pool that lacks hosts of its size in its zone."""
    by_pool: dict[str, list[hosts.Host]] = {}
    for number, (pool, zone, rack) in enumerate(present):
        by_pool.setdefault(pool, []).append(
            make_host(
                host_id=f"p{number}",
                pool=pool,
                availability_zone=zone,
                rack=rack,
            )
        )
    listed: Any = make_host(availability_zone="z1", rack="r1")
    chosen = moves.choose_pool(listed, configured(**wanted), by_pool)
    assert chosen == expected


@pytest.mark.parametrize(
    ("counts", "shortage_seconds", "expected"),
    [
        ({"a": 1, "spare": 2}, 599.0, None),
        ({"a": 1, "spare": 2}, 600.0, ("spare", "a")),
        ({"a": 2, "spare": 2}, 9999.0, None),
        ({"a": 1, "b": 3, "spare": 2}, 600.0, ("spare", "a")),
        ({"a": 1, "b": 4, "spare": 2}, 600.0, ("b", "a")),
        ({"a": 1, "b": 3}, 600.0, ("b", "a")),
        ({"a": 1, "b": 2}, 600.0, None),
        ({"a": 1, "b": 4}, 600.0, ("b", "a")),
        ({"a": 2, "b": 2, "old": 1}, 0.0, ("old", "spare")),
    ],
)
def test_moves_follow_sustained_shortage(
    make_host: conftest.HostFactory,
    counts: dict[str, int],
    shortage_seconds: float,
    expected: tuple[str, str] | None,
) -> None:
    """Short shortages and surpluses of one host must not cause moves."""
    configuration = configured(a=2, b=2, spare=0)
    by_pool = {
        pool: [
            make_host(host_id=f"{pool}{number}", pool=pool)
            for number in range(count)
        ]
        for pool, count in {"b": 2, **counts}.items()
    }
    first = moves.needs(configuration, by_pool, (), 100.0)
    now = 100.0 + shortage_seconds
    needs = moves.needs(configuration, by_pool, first, now)
    move = moves.plan_move(configuration, by_pool, needs, now)
    assert (move and (move.from_pool, move.to_pool)) == expected
