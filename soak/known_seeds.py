"""Seeds that failed before, each with its cause.

Causes in the stand-ins and in the soak itself are listed too, as the same seed
may find another fault. CI runs `CI_SEEDS`; `python -m soak --known` runs all.
"""

from __future__ import annotations

# By the set of faults and the seed.
CAUSE_BY_SEED = {
    (
        "general",
        1,
    ): "a poll that waited through its worker's crash acknowledged run ends of "
    "the next incarnation; the stand-in now ends calls with the incarnation "
    "that they reached",
    (
        "general",
        3,
    ): "the stand-in did not record the end of a run while its holder was "
    "paused",
    (
        "general",
        6,
    ): "a start reached the next incarnation of a crashed worker and counted "
    "as ended with the one before; an old number acknowledged new run ends",
    ("general", 13): "a crashed worker restarted between two polls",
    (
        "general",
        25,
    ): "a cancellation without a response took effect; the check now counts "
    "it from when it was sent",
    ("general", 30): "as seed 6, then as seed 13",
    (
        "general",
        35,
    ): "not traced by itself; passes since the fixes for 6 and 13",
    ("general", 42): "as seed 6",
    ("general", 45): "as seed 6, then as seed 13, then as seed 49",
    (
        "general",
        49,
    ): "a poll acknowledged run ends of a new incarnation that started within "
    "1.6 s; ends are now acknowledged only on connections over which the "
    "incarnation has reported",
    (
        "general",
        56,
    ): "not traced by itself; passes since the fixes for 6 and 13",
    (
        "general",
        58,
    ): "another process took a port between its choice and its use; a run now "
    "has a loopback address of its own",
    (
        "general",
        59,
    ): "not traced by itself; passes since the fixes for 6 and 13",
    (
        "general",
        705,
    ): "a worker's crash during a change of the holder counted as if its run "
    "had just started, so that the next crash convicted its task",
}
# Run in CI, a few seconds each.
CI_SEEDS = (
    ("general", 1),
    ("general", 3),
    ("general", 6),
    ("general", 45),
)
