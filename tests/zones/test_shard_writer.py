"""Tests of fenced writes to the rows of a shard."""

from __future__ import annotations

from collections.abc import Sequence
import math
import threading
import time

import cbor2
import pytest
from returns import result

from standins import row_store
from wisteriasill import clock
from wisteriasill import events
from wisteriasill.links import cluster
from wisteriasill.zones import shard_writer


class InterruptedStore(row_store.MemoryRowStore):
    """A store of which calls raise an error.

    Attributes:
        errors: Number of upcoming transactions that raise an error.
    """

    errors = 0

    def transact(
        self,
        partition_key: str,
        required: Sequence[cluster.RowVersion],
        writes: Sequence[cluster.RowWrite],
        timeout_seconds: float,
    ) -> result.Result[int, cluster.StoreFault]:
        """Carries a transaction out, or not, and raises an error if due."""
        outcome = super().transact(
            partition_key, required, writes, timeout_seconds
        )
        if self.errors:
            self.errors -= 1
            raise RuntimeError("injected")
        return outcome


STORED = shard_writer.CommitOutcome.STORED
LOST = shard_writer.CommitOutcome.LOST


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    return row_store.MemoryRowStore()


@pytest.fixture
def interrupted_store() -> InterruptedStore:
    return InterruptedStore()


def claim(
    store: row_store.MemoryRowStore, node: str
) -> shard_writer.ShardWriter:
    writer = shard_writer.ShardWriter(store, "s", node, threading.Event())
    assert writer.claim(shard_writer.read_state(store, "s").unwrap())
    return writer


def value_of(store: row_store.MemoryRowStore, key: str) -> bytes | None:
    rows = store.read("t", "s", key, key + "\0").unwrap().rows
    return rows[0].value if rows else None


def test_a_former_holder_can_store_nothing(
    store: row_store.MemoryRowStore,
) -> None:
    former = claim(store, "n1")
    claim(store, "n2")
    assert former.commit([cluster.RowWrite("t", "k", b"1")]) is LOST
    assert value_of(store, "k") is None


def test_of_two_claims_of_the_same_state_one_succeeds(
    store: row_store.MemoryRowStore,
) -> None:
    seen = shard_writer.read_state(store, "s").unwrap()
    claims = [
        shard_writer.ShardWriter(store, "s", node, threading.Event()).claim(
            seen
        )
        for node in ("n1", "n2")
    ]
    assert claims == [True, False]


def test_a_heartbeat_rejects_a_claim_based_on_older_state(
    store: row_store.MemoryRowStore,
) -> None:
    holder = claim(store, "n1")
    seen = shard_writer.read_state(store, "s").unwrap()
    assert holder.commit([], b"\xa0") is STORED
    other = shard_writer.ShardWriter(store, "s", "n2", threading.Event())
    assert not other.claim(seen)


def test_a_write_with_a_lost_answer_is_recognized(
    store: row_store.MemoryRowStore,
) -> None:
    writer = claim(store, "n1")
    store.lost_answers = 1
    assert writer.commit([cluster.RowWrite("t", "k", b"1")]) is STORED
    assert writer.commit([cluster.RowWrite("t", "k", b"2")]) is STORED
    assert value_of(store, "k") == b"2"


def test_a_late_write_does_not_undo_a_newer_one(
    store: row_store.MemoryRowStore,
) -> None:
    writer = claim(store, "n1")
    store.delayed_writes = 1
    assert writer.commit([cluster.RowWrite("t", "k", b"1")]) is STORED
    assert writer.commit([cluster.RowWrite("t", "k", b"2")]) is STORED
    outcomes = store.deliver_delayed()
    assert not isinstance(outcomes[0], result.Success)
    assert value_of(store, "k") == b"2"


def test_large_commits_are_split() -> None:
    writes = [
        cluster.RowWrite("t", str(number), bytes(20_000))
        for number in range(60)
    ]
    sizes = [len(batch) for batch in shard_writer.batches(writes)]
    assert sum(sizes) == 60
    assert max(sizes) * 20_000 <= shard_writer.BYTES_PER_TRANSACTION


def test_a_commit_ends_when_the_node_stops(
    store: row_store.MemoryRowStore,
) -> None:
    stopping = threading.Event()
    writer = shard_writer.ShardWriter(store, "s", "n1", stopping)
    assert writer.claim(shard_writer.UNOWNED)
    store.down = True
    stopping.set()
    outcome = writer.commit([cluster.RowWrite("t", "k", b"1")])
    assert outcome is shard_writer.CommitOutcome.STOPPED


def test_lost_answers_at_a_peak_stall_a_pool_only_briefly(
    store: row_store.MemoryRowStore,
) -> None:
    """A commit without a response must be repeated at once.

    While the store lost a third of its answers, each lost one stopped the pool
    for 1.5 s, and nearly all jobs of the peak were late.
    """
    writer = claim(store, "n1")
    store.lost_answers = 2
    began = time.monotonic()
    outcome = writer.commit([cluster.RowWrite("t", "k", b"1")])
    assert outcome is STORED
    assert store.unanswered_seconds + time.monotonic() - began < 1.0


def test_a_holder_that_was_paused_is_not_certainly_alone(
    store: row_store.MemoryRowStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another node may have claimed the shard during the pause.

    The monotonic clock stands still while a machine is suspended.
    """
    writer = claim(store, "n1")
    assert writer.is_sole_holder
    boot_seconds = clock.boot_seconds()
    monkeypatch.setattr(clock, "boot_seconds", lambda: boot_seconds + 2.0)
    assert not writer.is_sole_holder
    assert writer.commit([]) is STORED
    assert not writer.is_sole_holder
    assert writer.commit([], b"\xa0") is STORED
    assert writer.is_sole_holder


def test_a_response_read_after_a_pause_confirms_nothing_newer(
    store: row_store.MemoryRowStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another node may have claimed the shard before the response was read."""
    writer = claim(store, "n1")
    sent_at = clock.boot_seconds()
    times = iter((sent_at, sent_at))
    monkeypatch.setattr(
        clock, "boot_seconds", lambda: next(times, sent_at + 5.0)
    )
    assert writer.commit([cluster.RowWrite("t", "k", b"1")]) is STORED
    assert writer.confirmed_at == sent_at


def test_a_released_shard_keeps_how_long_ago_it_was_seized(
    store: row_store.MemoryRowStore,
) -> None:
    """The holder that lost it may renew leases while another came and went."""
    claim(store, "n1")
    seizing = claim(store, "n2")
    assert seizing.seized_at == seizing.stored_at
    seizing.seized_at -= 2.0
    seizing.release()
    third = claim(store, "n3")
    assert third.seized_at == pytest.approx(seizing.seized_at, abs=0.5)
    third.release()
    assert claim(store, "n4").seized_at == pytest.approx(
        seizing.seized_at, abs=0.5
    )


def test_a_shard_that_was_only_ever_released_was_not_seized(
    store: row_store.MemoryRowStore,
) -> None:
    claim(store, "n1").release()
    assert claim(store, "n2").seized_at == -math.inf


def test_an_odd_age_of_a_seizure_is_ignored(
    store: row_store.MemoryRowStore,
) -> None:
    writer = claim(store, "n1")
    row = cluster.RowWrite(
        shard_writer.TABLE,
        shard_writer.HEARTBEAT,
        cbor2.dumps({shard_writer.SEIZED_FIELD: "long ago"}),
    )
    writer.release()
    store.transact("s", [], [row], 1.0)
    assert claim(store, "n2").seized_at == -math.inf


def keys_of(rows: Sequence[cluster.RowWrite]) -> list[str]:
    return [row.key for row in rows]


@pytest.mark.parametrize("limit_is_known", [True, False])
def test_a_row_over_the_limit_does_not_hold_up_others(
    store: row_store.MemoryRowStore, limit_is_known: bool
) -> None:
    """The transaction was repeated for ever, with the heartbeat in it."""
    store.row_bytes = 100
    stopping = threading.Event()
    timer = threading.Timer(2.0, stopping.set)
    timer.start()
    limits = cluster.StoreLimits(100 if limit_is_known else 1000)
    writer = shard_writer.ShardWriter(store, "s", "n1", stopping, limits)
    assert writer.claim(shard_writer.UNOWNED)
    stored: list[str] = []
    refused: list[str] = []
    handlers = shard_writer.RowHandlers(
        lambda rows: stored.extend(keys_of(rows)),
        lambda rows: refused.extend(keys_of(rows)),
    )
    rows = [
        cluster.RowWrite("t", str(number), bytes(101 if number == 7 else 1))
        for number in range(20)
    ]
    status = cbor2.dumps({"pending": {}})
    former = {line.sequence for line in events.RECENT.after(0)}
    assert writer.commit(rows, status, handlers) is STORED
    timer.cancel()
    assert refused == ["7"]
    assert stored == [
        shard_writer.HEARTBEAT,
        *(row.key for row in rows if row.key != "7"),
    ]
    assert value_of(store, "7") is None
    assert value_of(store, "19") == b"\0"
    state = shard_writer.read_state(store, "s").unwrap()
    assert state.status == {"pending": {}}
    assert [
        line.event
        for line in events.RECENT.after(0)
        if line.sequence not in former
    ] == [events.Event.ROW_REFUSED]
    assert writer.commit([cluster.RowWrite("t", "7", b"1")]) is STORED


def test_no_row_is_left_out_while_the_store_refuses_all(
    store: row_store.MemoryRowStore,
) -> None:
    stopping = threading.Event()
    writer = shard_writer.ShardWriter(store, "s", "n1", stopping)
    assert writer.claim(shard_writer.UNOWNED)
    store.row_bytes = -1
    threading.Timer(0.3, stopping.set).start()
    refused: list[cluster.RowWrite] = []
    outcome = writer.commit(
        [cluster.RowWrite("t", "1", b"1"), cluster.RowWrite("t", "2", b"2")],
        handlers=shard_writer.RowHandlers(on_refused=refused.extend),
    )
    assert outcome is shard_writer.CommitOutcome.STOPPED
    assert not refused


def interrupt(
    store: InterruptedStore,
    writer: shard_writer.ShardWriter,
    writes: Sequence[cluster.RowWrite],
    status: bytes | None = None,
) -> None:
    """Commits rows; an error hides the outcome."""
    store.errors = 1
    with pytest.raises(RuntimeError):
        writer.commit(writes, status)


@pytest.mark.parametrize("former", [b"1", None], ids=["written", "deleted"])
@pytest.mark.parametrize("new", [b"1", b"2", None], ids=["1", "2", "deleted"])
def test_rows_of_an_interrupted_commit_are_written_again(
    interrupted_store: InterruptedStore,
    former: bytes | None,
    new: bytes | None,
) -> None:
    """They counted as rows of another holder."""
    writer = claim(interrupted_store, "n1")
    assert writer.commit([cluster.RowWrite("t", "k", b"0")]) is STORED
    interrupt(interrupted_store, writer, [cluster.RowWrite("t", "k", former)])
    rows = [
        cluster.RowWrite("t", "other", b"1"),
        cluster.RowWrite("t", "k", new),
    ]
    assert writer.commit(rows) is STORED
    assert value_of(interrupted_store, "k") == new
    assert value_of(interrupted_store, "other") == b"1"


def test_an_interrupted_commit_does_not_hide_a_claim(
    interrupted_store: InterruptedStore,
) -> None:
    writer = claim(interrupted_store, "n1")
    interrupt(interrupted_store, writer, [cluster.RowWrite("t", "k", b"1")])
    claim(interrupted_store, "n2")
    assert writer.commit([cluster.RowWrite("t", "k", b"2")]) is LOST
    assert value_of(interrupted_store, "k") == b"1"


@pytest.mark.parametrize("interrupted", [False, True])
def test_a_row_that_no_interrupted_commit_explains_is_not_overwritten(
    interrupted_store: InterruptedStore, interrupted: bool
) -> None:
    writer = claim(interrupted_store, "n1")
    if interrupted:
        row = cluster.RowWrite("t", "other", b"1")
        interrupt(interrupted_store, writer, [row])
    interrupted_store.transact(
        "s", [], [cluster.RowWrite("t", "k", b"1")], 1.0
    ).unwrap()
    rows = [cluster.RowWrite("t", key, b"2") for key in ("k", "other")]
    assert writer.commit(rows) is LOST
    assert value_of(interrupted_store, "k") == b"1"


def test_a_late_write_of_an_interrupted_commit_does_not_undo_a_newer_one(
    interrupted_store: InterruptedStore,
) -> None:
    writer = claim(interrupted_store, "n1")
    interrupted_store.delayed_writes = 1
    interrupt(interrupted_store, writer, [cluster.RowWrite("t", "k", b"1")])
    assert writer.commit([cluster.RowWrite("t", "k", b"2")]) is STORED
    outcomes = interrupted_store.deliver_delayed()
    assert not isinstance(outcomes[0], result.Success)
    assert value_of(interrupted_store, "k") == b"2"


def test_a_late_write_of_an_interrupted_commit_is_overwritten_later(
    interrupted_store: InterruptedStore,
) -> None:
    writer = claim(interrupted_store, "n1")
    interrupted_store.delayed_writes = 1
    interrupt(interrupted_store, writer, [cluster.RowWrite("t", "k", b"1")])
    assert writer.commit([cluster.RowWrite("t", "other", b"1")]) is STORED
    assert isinstance(interrupted_store.deliver_delayed()[0], result.Success)
    assert writer.commit([cluster.RowWrite("t", "k", b"2")]) is STORED
    assert value_of(interrupted_store, "k") == b"2"


def test_a_holder_is_alone_only_by_a_heartbeat_that_others_see(
    interrupted_store: InterruptedStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The heartbeat of the interrupted commit counted as a new one.

    Others count from that one and may claim the shard earlier.
    """
    writer = claim(interrupted_store, "n1")
    interrupt(interrupted_store, writer, [], b"\xa0")
    seen = shard_writer.read_state(interrupted_store, "s").unwrap()
    boot_seconds = clock.boot_seconds()
    monkeypatch.setattr(clock, "boot_seconds", lambda: boot_seconds + 2.0)
    assert writer.commit([], b"\xa0") is STORED
    assert writer.is_sole_holder
    other = shard_writer.ShardWriter(
        interrupted_store, "s", "n2", threading.Event()
    )
    assert not other.claim(seen)
