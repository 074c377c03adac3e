"""Seeds that failed before, each with its cause.

Causes in the stand-ins and in the soak itself are listed too, as the same seed
may find another fault. `python -m soak --known` runs all of them. CI runs
`CI_PLANS`, of which `LATE_CANCELLATIONS` has not failed.
"""

from __future__ import annotations

from soak import plans

REFUSED_STOP = plans.RunPlan(
    6221, "orders", seconds=6.0, workers=4, per_second=8.0
)
LISTED_AS_DOWN = plans.RunPlan(
    5116, "takeovers", seconds=8.0, workers=4, per_second=10.0, series=1
)
CRASH_BURSTS = plans.RunPlan(
    9966, "crashes", seconds=25.0, workers=10, per_second=10.0, series=1
)
UNCONFIRMED_STARTS = CRASH_BURSTS._replace(seed=10286)
LATE_CANCELLATIONS = plans.RunPlan(
    8001, "cancellations", seconds=8.0, workers=4, series=1
)
CAUSE_BY_PLAN: dict[plans.RunPlan, str] = {
    plans.RunPlan(
        1
    ): "a poll that waited through its worker's crash acknowledged run ends of "
    "the next incarnation; the stand-in now ends calls with the incarnation "
    "that they reached",
    plans.RunPlan(
        3
    ): "the stand-in did not record the end of a run while its holder was "
    "paused",
    plans.RunPlan(
        6
    ): "a start reached the next incarnation of a crashed worker and counted "
    "as ended with the one before; an old number acknowledged new run ends",
    plans.RunPlan(13): "a crashed worker restarted between two polls",
    plans.RunPlan(
        25
    ): "a cancellation without a response took effect; the check now counts "
    "it from when it was sent",
    plans.RunPlan(30): "as seed 6, then as seed 13",
    plans.RunPlan(
        35
    ): "not traced by itself; passes since the fixes for 6 and 13",
    plans.RunPlan(42): "as seed 6",
    plans.RunPlan(45): "as seed 6, then as seed 13, then as seed 49",
    plans.RunPlan(
        49
    ): "a poll acknowledged run ends of a new incarnation that started within "
    "1.6 s; ends are now acknowledged only on connections over which the "
    "incarnation has reported",
    plans.RunPlan(
        56
    ): "not traced by itself; passes since the fixes for 6 and 13",
    plans.RunPlan(
        58
    ): "another process took a port between its choice and its use; a run now "
    "has a loopback address of its own",
    plans.RunPlan(
        59
    ): "not traced by itself; passes since the fixes for 6 and 13",
    plans.RunPlan(
        705
    ): "a worker's crash during a change of the holder counted as if its run "
    "had just started, so that the next crash convicted its task",
    plans.RunPlan(
        4001, "orders", seconds=20.0
    ): "a stop that a worker refused was never sent again",
    plans.RunPlan(4012, "orders", seconds=20.0, workers=6): "as seed 4001",
    plans.RunPlan(
        4111,
        "orders",
        seconds=25.0,
        nodes=7,
        workers=21,
        per_second=12.0,
        series=3,
    ): "a new holder ended the runs of a worker that was back after a crash, "
    "as the list of down workers still had it",
    plans.RunPlan(
        4113,
        "orders",
        seconds=25.0,
        nodes=7,
        workers=21,
        per_second=12.0,
        series=3,
    ): "two nodes had the same port; a run now uses each port once",
    plans.RunPlan(
        4302, "takeovers", seconds=25.0, per_second=8.0
    ): "as seed 4111",
    plans.RunPlan(
        4322, "takeovers", seconds=25.0, workers=4, per_second=8.0, series=1
    ): "as seed 4111",
    plans.RunPlan(
        4321, "takeovers", seconds=25.0, workers=4, per_second=8.0, series=1
    ): "as seed 4111",
    plans.RunPlan(
        4301, "takeovers", seconds=25.0, per_second=8.0
    ): "a task that takes longer than others was moved without end",
    REFUSED_STOP: "as seed 4001, in a shorter run",
    LISTED_AS_DOWN: "as seed 4111, in a shorter run",
    plans.RunPlan(
        5552, "takeovers", seconds=8.0, workers=4, per_second=10.0, series=1
    ): "as seed 5116",
    plans.RunPlan(
        6935, "takeovers", seconds=8.0, workers=4, per_second=10.0, series=1
    ): "as seed 5116",
    CRASH_BURSTS: "two crashes of one burst convicted a sound task",
    plans.RunPlan(
        6, seconds=6.0, workers=4
    ): "a start to a crashed worker ran on its next incarnation after the list "
    "of hosts had ended the run",
    UNCONFIRMED_STARTS: "a start that never arrived convicted a sound task",
}
# Run in CI, a few seconds each.
CI_PLANS = (
    *(plans.RunPlan(seed, seconds=6.0, workers=4) for seed in (1, 3, 6, 45)),
    REFUSED_STOP,
    LISTED_AS_DOWN,
    LATE_CANCELLATIONS,
    CRASH_BURSTS,
    UNCONFIRMED_STARTS,
)
