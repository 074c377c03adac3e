"""Experiment: a planning round of the fleet controller, up to design size.

Plans a quarter, half and all of 4,100 hosts in 20 pools, half of them part of
one wave, as the fleet controller of a site on the platform does.
"""

from __future__ import annotations

import math
import random
import statistics
import time

from bench import report
from wisteriasill.contracts import host_moves
from wisteriasill.contracts import host_record
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues

HOSTS = 4100
POOLS = 20
HOSTS_PER_RACK = 20
ROUNDS = 15
MAX_HOSTS_AWAY = 40
HOST_CAPACITY = job_spec.Resources(64_000, 256_000, 2)
# "Finishes one planning round at 4,100 workers in seconds" (issue 12).
MAX_ROUND_MS = 1000.0
# Growth from a quarter to all hosts may exceed n log n by this factor, to allow
# for measurement error.
GROWTH_SLACK = 1.5


def build(
    count: int, rng: random.Random
) -> tuple[
    list[host_record.HostRecord],
    dict[str, host_moves.PoolLoad],
    queues.WaveOrder,
]:
    """Builds hosts, the loads of their pools and a wave of half the hosts."""
    hosts = [
        host_record.HostRecord(
            f"h{number}",
            f"pool-{number % POOLS}",
            host_record.HostState.UP,
            f"zone-{number % 9}",
            HOST_CAPACITY,
            f"rack-{number // HOSTS_PER_RACK}",
            f"w{number}",
        )
        for number in range(count)
    ]
    loads = {
        f"pool-{pool}": host_moves.PoolLoad(
            job_spec.Resources(
                int(rng.uniform(0.2, 1.3) * HOST_CAPACITY.cpu * count / POOLS),
                0,
                0,
            ),
            {
                host.worker_id: host_moves.WorkerLoad(
                    rng.randrange(3), rng.randrange(8), 0.0, False
                )
                if rng.random() < 0.7
                else host_moves.WorkerLoad(0, 0, 5.0, False)
                for host in hosts
                if host.service == f"pool-{pool}"
            },
        )
        for pool in range(1, POOLS)
    }
    wave_host_ids = tuple(host.host_id for host in hosts[::2])
    return (
        hosts,
        loads,
        queues.WaveOrder(1, wave_host_ids, 28 * 86_400.0, MAX_HOSTS_AWAY),
    )


def measure_round(count: int, seed: int) -> float:
    """Returns the median milliseconds of a planning round."""
    rng = random.Random(seed)
    hosts, loads, wave = build(count, rng)
    done = {host_id for host_id in wave.host_ids if rng.random() < 0.5}
    times = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        requests = host_moves.plan_maintenance(wave, hosts, loads, done, [], 0)
        busy = {request.host_id for request in requests}
        host_moves.plan_moves(hosts, loads, {"pool-0"}, busy, {})
        times.append((time.perf_counter() - started_at) * 1000)
    return statistics.median(times)


def run(site: str, seed: int) -> report.BenchResult:
    """Measures rounds of three sizes."""
    sizes = (HOSTS // 4, HOSTS // 2, HOSTS)
    measured = {size: measure_round(size, seed) for size in sizes}
    smallest = sizes[0]
    allowed = (HOSTS * math.log(HOSTS)) / (smallest * math.log(smallest))
    growth = measured[HOSTS] / measured[smallest]
    return report.BenchResult(
        "fleet-round",
        site,
        seed,
        ("hosts", "round ms"),
        [*measured.items()],
        {
            f"round_ms_at_{HOSTS}": measured[HOSTS],
            "growth_over_n_log_n": growth / allowed,
        },
        [
            report.Limit(f"round_ms_at_{HOSTS}", "<=", MAX_ROUND_MS),
            report.Limit("growth_over_n_log_n", "<=", GROWTH_SLACK),
        ],
    )
