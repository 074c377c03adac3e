"""Tests of at-most-once execution."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent import futures
from typing import Any, NamedTuple, cast

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from standins import faults as fault_switches
from standins import local_platform
from standins import platform_state
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import settings as settings_module
from wisteriasill.contracts import exchange
from wisteriasill.contracts import idempotency
from wisteriasill.contracts import record_expiry
from wisteriasill.contracts import request_record
from wisteriasill.links import platform as platforms
from wisteriasill.machines import member as members

REPLY = exchange.Reply(201, (("Content-Type", "text/plain"),), b"number 7")
LONG_REPLY = exchange.Reply(200, (), bytes(range(256)) * 256)
DEADLINE_SECONDS = 2.0


class ScriptedTable:
    """A table whose next transactions fail as scripted.

    `lost` applies the writes without an answer, `dropped` does not apply them,
    `delayed` applies them only in `deliver`, and `down` rejects them. Reads
    fail while `blind` is set.
    """

    def __init__(self, table: platforms.Table) -> None:
        self._table = table
        self._delayed: list[tuple[Any, Any]] = []
        self.script: list[str] = []
        self.blind = False

    def read(self, table: str, key: str) -> Any:
        """Reads a row."""
        if self.blind:
            return failed(errors.ErrorKind.STORE_UNAVAILABLE)
        return self._table.read(table, key)

    def scan(self, table: str, prefix: str = "") -> Any:
        """Reads rows."""
        return self._table.scan(table, prefix)

    def transact(
        self,
        conditions: Sequence[platforms.Condition],
        writes: Sequence[platforms.Write],
    ) -> Any:
        """Writes rows, or fails as scripted."""
        fault = self.script.pop(0) if self.script else "ok"
        if fault == "down":
            return failed(errors.ErrorKind.STORE_UNAVAILABLE)
        if fault == "delayed":
            self._delayed.append((conditions, writes))
        if fault in ("delayed", "dropped"):
            return failed(errors.ErrorKind.STORE_OUTCOME_UNKNOWN)
        written = self._table.transact(conditions, writes)
        if fault == "lost":
            return failed(errors.ErrorKind.STORE_OUTCOME_UNKNOWN)
        return written

    def deliver(self) -> None:
        """Applies delayed transactions."""
        delayed, self._delayed = self._delayed, []
        for conditions, writes in delayed:
            self._table.transact(conditions, writes)


class ScriptedPlatform(NamedTuple):
    """A platform with a scripted table."""

    table: ScriptedTable
    objects: platforms.ObjectStore


def failed(kind: errors.ErrorKind) -> Any:
    return result.Failure(errors.failure(kind, "scripted"))


class Node:
    """An entry host's registry over its own scripted link to the store."""

    def __init__(
        self,
        name: str,
        state: platform_state.PlatformState,
        clock: clocks.ManualClock,
    ) -> None:
        shared = local_platform.LocalPlatform(state)
        self.clock = clock
        self.table = ScriptedTable(shared.table)
        self.platform = cast(
            platforms.Platform, ScriptedPlatform(self.table, shared.objects)
        )
        settings = settings_module.EntrySettings(
            member_id=name, availability_zone="z1", platform_url=""
        )
        self.registry = idempotency.IdempotencyRegistry(
            self.platform, settings, clock, f"{name}-1"
        )
        row = members.Member(name, f"{name}-1", "r", "z", "", 0, 0, 0)
        shared.table.transact(
            [],
            [platforms.Write(members.TABLE, name, documents.encode(row))],
        )

    def claim(self, key: str = "k", digest: str = "d") -> Any:
        """Claims a key; returns the claim, the reply or the failure."""
        outcome = self.registry.claim(
            "billing",
            "shop",
            key,
            digest,
            self.clock.monotonic() + DEADLINE_SECONDS,
        )
        if isinstance(outcome, result.Success):
            return outcome.unwrap()
        return outcome.failure()

    def retry(self, iterations: int = 8) -> None:
        """Runs the task that writes queued outcomes."""
        for _ in range(iterations):
            self.clock.advance(self.registry._outcomes.run_once())


def kind_and_executed(outcome: Any) -> tuple[errors.ErrorKind, errors.Executed]:
    assert isinstance(outcome, errors.Failure), outcome
    return outcome.kind, outcome.executed


@pytest.fixture
def state(manual_clock: clocks.ManualClock) -> platform_state.PlatformState:
    return platform_state.PlatformState(manual_clock, ())


@pytest.fixture
def nodes(
    state: platform_state.PlatformState, manual_clock: clocks.ManualClock
) -> tuple[Node, Node]:
    return Node("a", state, manual_clock), Node("b", state, manual_clock)


OUTCOME_UNKNOWN = (errors.ErrorKind.OUTCOME_UNKNOWN, errors.Executed.UNKNOWN)
IN_PROGRESS = (errors.ErrorKind.KEY_IN_PROGRESS, errors.Executed.UNKNOWN)
KEY_REUSED = (errors.ErrorKind.KEY_REUSED, errors.Executed.NO)
REFUSED = (errors.ErrorKind.STORE_UNAVAILABLE, errors.Executed.UNKNOWN)


@pytest.mark.parametrize("faults", [[], ["lost"], ["dropped"], ["delayed"]])
@pytest.mark.parametrize(
    ("outcome", "repeat"),
    [
        ("finish", REPLY),
        ("finish long", LONG_REPLY),
        ("unknown", OUTCOME_UNKNOWN),
        ("release", idempotency.Claim),
        ("none", IN_PROGRESS),
    ],
)
def test_repeat_elsewhere(
    nodes: tuple[Node, Node], faults: list[str], outcome: str, repeat: Any
) -> None:
    """A repeat at another entry host must get the outcome of the first."""
    first, second = nodes
    claim = first.claim()
    first.table.script = list(faults)
    if outcome == "finish":
        first.registry.finish(claim, REPLY)
    elif outcome == "finish long":
        first.registry.finish(claim, LONG_REPLY)
    elif outcome == "unknown":
        first.registry.mark_unknown(claim)
    elif outcome == "release":
        first.registry.release(claim)
    first.retry()
    first.table.deliver()
    assert first.registry.unrecorded == 0
    second_outcome = second.claim()
    if isinstance(repeat, tuple) and not isinstance(repeat, exchange.Reply):
        assert kind_and_executed(second_outcome) == repeat
    elif repeat is idempotency.Claim:
        assert isinstance(second_outcome, idempotency.Claim)
    else:
        assert second_outcome == repeat
    if outcome != "release":
        assert kind_and_executed(second.claim(digest="other")) == KEY_REUSED


@pytest.mark.parametrize(
    ("script", "blind", "first_failure"),
    [
        (["lost"], False, None),
        (["dropped"], False, None),
        (["delayed"], False, None),
        (["lost", "lost"], False, None),
        (["dropped", "dropped", "delayed"], False, None),
        (["down"], False, REFUSED),
        (["lost"], True, REFUSED),
        (["dropped"], True, REFUSED),
        (["delayed"], True, REFUSED),
        (["dropped", "down"], False, REFUSED),
    ],
)
def test_claim_with_faults_of_the_store(
    nodes: tuple[Node, Node],
    script: list[str],
    blind: bool,
    first_failure: Any,
) -> None:
    """Lost answers must neither execute a key twice nor block it forever."""
    first, second = nodes
    first.table.script = list(script)
    first.table.blind = blind
    outcome = first.claim()
    first.table.blind = False
    if first_failure is None:
        assert isinstance(outcome, idempotency.Claim)
        first.table.deliver()
        first.registry.finish(outcome, REPLY)
        assert second.claim() == REPLY
        return
    assert kind_and_executed(outcome) == first_failure
    first.retry()
    first.table.deliver()
    assert first.registry.unrecorded == 0
    assert isinstance(second.claim(), idempotency.Claim)
    assert kind_and_executed(first.claim()) == IN_PROGRESS


def test_outage_between_claim_and_finish(
    nodes: tuple[Node, Node], state: platform_state.PlatformState
) -> None:
    """A reply that waits for the store must not be lost.

    Nor may a repeat be told that the request was not executed.
    """
    first, second = nodes
    claim = first.claim("k1")
    running = first.claim("k2")
    state.set_faults(fault_switches.Faults(down=True))
    first.registry.finish(claim, REPLY)
    assert first.claim("k1") == REPLY
    assert kind_and_executed(first.claim("k1", "other")) == KEY_REUSED
    assert kind_and_executed(first.claim("k2")) == IN_PROGRESS
    refused = first.claim("k3")
    assert kind_and_executed(refused) == REFUSED
    assert refused.retry_after_seconds
    assert kind_and_executed(second.claim("k3")) == REFUSED
    # k1 was executed: after "no" the caller would send it again.
    assert kind_and_executed(second.claim("k1")) == REFUSED
    state.set_faults(fault_switches.Faults())
    first.retry()
    assert second.claim("k1") == REPLY
    first.registry.release(running)
    assert isinstance(second.claim("k2"), idempotency.Claim)


def test_stale_or_blind_reads_do_not_say_no(nodes: tuple[Node, Node]) -> None:
    """The request of a key that cannot be read may have been executed."""
    first, second = nodes
    assert isinstance(first.claim(), idempotency.Claim)
    second.table.blind = True
    unknown = (errors.ErrorKind.STORE_UNAVAILABLE, errors.Executed.UNKNOWN)
    assert kind_and_executed(second.claim()) == unknown


def test_long_reply_that_cannot_be_read_says_yes(
    nodes: tuple[Node, Node], state: platform_state.PlatformState
) -> None:
    """An executed request must never be reported as not executed."""
    first, second = nodes
    first.registry.finish(first.claim(), LONG_REPLY)
    record = second.table.scan(request_record.TABLE).unwrap()[0].value
    assert len(str(record)) < 1000
    state.table._objects.clear()
    assert kind_and_executed(second.claim()) == (
        errors.ErrorKind.STORE_UNAVAILABLE,
        errors.Executed.YES,
    )


@pytest.mark.parametrize("how", ["row removed", "restarted"])
def test_holder_that_ended_leaves_the_key_unknown(
    nodes: tuple[Node, Node],
    state: platform_state.PlatformState,
    manual_clock: clocks.ManualClock,
    how: str,
) -> None:
    """A request must not run again after its entry host was killed.

    The host ends between the claim of the key and the send to a worker.
    """
    first, second = nodes
    assert isinstance(first.claim(), idempotency.Claim)
    value = None
    if how == "restarted":
        row = members.Member("a", "a-2", "r", "z", "", 0, 0, 0)
        value = documents.encode(row)
    second.table.transact([], [platforms.Write(members.TABLE, "a", value)])
    before = manual_clock.monotonic()
    assert kind_and_executed(second.claim()) == OUTCOME_UNKNOWN
    assert manual_clock.monotonic() == before
    assert kind_and_executed(second.claim()) == OUTCOME_UNKNOWN


def test_one_of_many_threads_claims(
    state: platform_state.PlatformState,
) -> None:
    """Only one of several concurrent duplicates may be sent."""
    clock = clocks.SystemClock()
    registries = [
        idempotency.IdempotencyRegistry(
            local_platform.LocalPlatform(state),
            settings_module.EntrySettings(name, "z1", ""),
            clock,
        )
        for name in "abcd"
    ]

    def run(index: int) -> Any:
        registry = registries[index % len(registries)]
        deadline_at = clock.monotonic() + 5.0
        outcome = registry.claim("s", "c", "k", "d", deadline_at).unwrap()
        if isinstance(outcome, idempotency.Claim):
            registry.finish(outcome, REPLY)
        return outcome

    row = members.Member("a", "", "r", "z", "", 0, 0, 0)
    local_platform.LocalPlatform(state).transact(
        [],
        [
            platforms.Write(members.TABLE, name, documents.encode(row))
            for name in "abcd"
        ],
    )
    with futures.ThreadPoolExecutor(16) as pool:
        outcomes = list(pool.map(run, range(16)))
    claims = [
        outcome
        for outcome in outcomes
        if isinstance(outcome, idempotency.Claim)
    ]
    assert len(claims) == 1
    assert outcomes.count(REPLY) == 15


def test_threads_write_queued_outcomes(
    state: platform_state.PlatformState,
) -> None:
    """An outcome must be written after an outage or at the stop."""
    registry = idempotency.IdempotencyRegistry(
        local_platform.LocalPlatform(state),
        settings_module.EntrySettings("a", "z1", ""),
        clocks.SystemClock(),
    )
    registry.start()
    claim = registry.claim("s", "c", "k", "d", 0.0).unwrap()
    assert isinstance(claim, idempotency.Claim)
    state.set_faults(fault_switches.Faults(down=True))
    registry.finish(claim, REPLY)
    assert registry.unrecorded == 1
    state.set_faults(fault_switches.Faults())
    registry.stop()
    assert registry.claim("s", "c", "k", "d", 0.0).unwrap() == REPLY


def test_records_expire_by_counted_minutes(
    nodes: tuple[Node, Node], manual_clock: clocks.ManualClock
) -> None:
    """A record must live for a day, also if its holder had no counter."""
    first, second = nodes
    expiry = record_expiry.RecordExpiry(second.platform, manual_clock)

    def pass_minutes(minutes: int) -> None:
        for _ in range(minutes):
            manual_clock.advance(60)
            assert isinstance(expiry.step(), result.Success)

    old = first.claim("old")  # Before the entry host reads the counter.
    pass_minutes(300)
    first.registry.finish(old, REPLY)  # The sweep has changed its version.
    first.registry._age.run_once()
    first.registry.finish(first.claim("aged"), REPLY)
    pass_minutes(record_expiry.LIFETIME_MINUTES - 300)
    assert second.claim("old") == REPLY
    assert second.claim("aged") == REPLY
    pass_minutes(600)
    rows = second.table.scan(request_record.TABLE).unwrap()
    assert rows == ()


class Caller(NamedTuple):
    """One attempt of a caller in a random sequence."""

    node: int
    key: str
    claim_faults: list[str]
    finish_faults: list[str]
    end: str


CALLERS = strategies.builds(
    Caller,
    strategies.integers(0, 1),
    strategies.sampled_from("xy"),
    strategies.lists(
        strategies.sampled_from(["ok", "lost", "dropped", "delayed", "down"]),
        max_size=3,
    ),
    strategies.lists(
        strategies.sampled_from(["lost", "dropped", "delayed", "down"]),
        max_size=2,
    ),
    strategies.sampled_from(["reply", "refused", "unknown", "killed"]),
)


@hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)
@hypothesis.given(strategies.lists(CALLERS, min_size=2, max_size=8))
def test_no_sequence_runs_a_key_twice(callers: list[Caller]) -> None:
    """No sequence of faults may run a key twice or lose a recorded reply."""
    clock = clocks.ManualClock()
    state = platform_state.PlatformState(clock, ())
    pair = [Node("a", state, clock), Node("b", state, clock)]
    runs = {"x": 0, "y": 0}
    replies: dict[str, set[bytes]] = {"x": set(), "y": set()}
    for caller in callers:
        node = pair[caller.node]
        node.table.script = list(caller.claim_faults)
        outcome = node.claim(caller.key)
        node.table.script = list(caller.finish_faults)
        if isinstance(outcome, exchange.Reply):
            replies[caller.key].add(outcome.body)
        elif isinstance(outcome, idempotency.Claim):
            runs[caller.key] += caller.end != "refused"
            if caller.end == "reply":
                body = f"{caller.key}{runs[caller.key]}".encode()
                node.registry.finish(outcome, exchange.Reply(200, (), body))
                replies[caller.key].add(body)
            elif caller.end == "refused":
                node.registry.release(outcome)
            elif caller.end == "unknown":
                node.registry.mark_unknown(outcome)
        node.retry(2)
        for item in pair:
            item.table.deliver()
    assert max(runs.values()) <= 1
    assert all(len(bodies) <= 1 for bodies in replies.values())
