"""Lender's ledger: how many of a target's slots each member holds."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Longer than a holder keeps a credit without a message, except for a request
# that runs longer. The worker's own limit then protects the slot.
LOAN_EXPIRY_SECONDS = 10.0


class Grant(NamedTuple):
    """Slots lent to a member; 0 means that the member has to wait."""

    member_id: str
    target_id: str
    slots: int


def lender_of(target_id: str, member_ids: Iterable[str]) -> str:
    """Chooses the member that lends a target's slots.

    Args:
        target_id: The target.
        member_ids: Live members.

    Returns:
        The member with the highest weight in rendezvous hashing.
    """

    def weight(member_id: str) -> tuple[int, str]:
        text = f"{member_id}|{target_id}".encode()
        return xxhash.xxh3_64_intdigest(text), member_id

    return max(member_ids, key=weight)


class CreditLedger:
    """Slots lent to each member; not thread safe.

    This is soft state: a new lender starts with an empty ledger. Until old
    credits lapse the worker's own limit guards its slots.
    """

    def __init__(self) -> None:
        self._lent_by_target: dict[str, collections.Counter[str]] = {}
        self._waiting_by_target: dict[str, collections.deque[str]] = {}
        self._heard_at: dict[tuple[str, str], float] = {}

    def request(
        self, member_id: str, target_id: str, count: int, slots: int
    ) -> Grant:
        """Lends slots, or queues the member if none is free.

        Args:
            member_id: The member that asks.
            target_id: The target.
            count: Most slots to grant.
            slots: Total slots of the target; 0 if it is unknown.

        Returns:
            The grant.
        """
        waiting = self._waiting(target_id)
        free = slots - self._lent(target_id).total()
        granted = 0 if waiting else max(0, min(count, free))
        if granted:
            self._lent(target_id)[member_id] += granted
        elif member_id not in waiting:
            waiting.append(member_id)
        return Grant(member_id, target_id, granted)

    def give_back(self, member_id: str, target_id: str, count: int) -> None:
        """Notes that a member returned slots."""
        lent = self._lent(target_id)
        lent[member_id] = max(0, lent[member_id] - count)

    def lend_to_waiting(self, target_id: str, slots: int) -> list[Grant]:
        """Lends free slots, one to each waiting member in FIFO order."""
        waiting, lent = self._waiting(target_id), self._lent(target_id)
        grants = []
        while waiting and lent.total() < slots:
            member_id = waiting.popleft()
            lent[member_id] += 1
            grants.append(Grant(member_id, target_id, 1))
        return grants

    def holders(self, target_id: str) -> set[str]:
        """Returns the members that hold slots of a target."""
        lent = self._lent(target_id)
        return {member_id for member_id in lent if lent[member_id] > 0}

    def note(self, member_id: str, target_id: str, now: float) -> None:
        """Records the time of a member's message about a target."""
        self._heard_at[target_id, member_id] = now

    def expire_loans(self, now: float) -> list[str]:
        """Takes back loans of members without a recent message.

        Otherwise a lost message would cost a slot for good.

        Args:
            now: Monotonic seconds.

        Returns:
            Targets that may have free slots now.
        """
        expired = [
            key
            for key, heard_at in self._heard_at.items()
            if now - heard_at > LOAN_EXPIRY_SECONDS
        ]
        for target_id, member_id in expired:
            del self._heard_at[target_id, member_id]
            del self._lent(target_id)[member_id]
        return sorted({target_id for target_id, _ in expired})

    def keep_only(self, member_ids: frozenset[str]) -> list[str]:
        """Takes back the slots that lost members held.

        Args:
            member_ids: Members that are still connected.

        Returns:
            Targets that may have free slots now.
        """
        for lent in self._lent_by_target.values():
            for member_id in lent.keys() - member_ids:
                del lent[member_id]
        for target_id, waiting in self._waiting_by_target.items():
            self._waiting_by_target[target_id] = collections.deque(
                item for item in waiting if item in member_ids
            )
        return list(self._lent_by_target)

    def _lent(self, target_id: str) -> collections.Counter[str]:
        return self._lent_by_target.setdefault(target_id, collections.Counter())

    def _waiting(self, target_id: str) -> collections.deque[str]:
        return self._waiting_by_target.setdefault(
            target_id, collections.deque()
        )
