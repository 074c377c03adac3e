"""Granter's record of the credits that each member holds."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Longer than a holder keeps a credit without sending a message, unless a
# request runs longer. The worker's own limit then protects the slot.
GRANT_EXPIRY_SECONDS = 10.0


class Grant(NamedTuple):
    """Credits granted to a member; 0 means that the member has to wait."""

    member_id: str
    target_id: str
    slots: int


def granter_of(target_id: str, member_ids: Iterable[str]) -> str:
    """Chooses the member that grants credits for a target's slots.

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
    """Credits granted to each member; not thread safe.

    This is soft state: a new granter starts with an empty ledger. Until old
    credits expire, the worker's own limit guards its slots.
    """

    def __init__(self) -> None:
        self._granted_by_target: dict[str, collections.Counter[str]] = {}
        self._waiting_by_target: dict[str, collections.deque[str]] = {}
        self._last_message_at: dict[tuple[str, str], float] = {}

    def request(
        self, member_id: str, target_id: str, count: int, slots: int
    ) -> Grant:
        """Grants credits, or queues the member if no slot is free.

        Args:
            member_id: The member that requests credits.
            target_id: The target.
            count: Maximum number of credits to grant.
            slots: Total slots of the target; 0 if it is unknown.

        Returns:
            The grant.
        """
        waiting = self._waiting(target_id)
        free = slots - self._granted(target_id).total()
        granted = 0 if waiting else max(0, min(count, free))
        if granted:
            self._granted(target_id)[member_id] += granted
        elif member_id not in waiting:
            waiting.append(member_id)
        return Grant(member_id, target_id, granted)

    def return_credits(
        self, member_id: str, target_id: str, count: int
    ) -> None:
        """Records that a member returned credits."""
        granted_by_member = self._granted(target_id)
        granted_by_member[member_id] = max(
            0, granted_by_member[member_id] - count
        )

    def grant_to_waiting(self, target_id: str, slots: int) -> list[Grant]:
        """Grants free slots, one to each waiting member in FIFO order."""
        waiting, granted_by_member = (
            self._waiting(target_id),
            self._granted(target_id),
        )
        grants = []
        while waiting and granted_by_member.total() < slots:
            member_id = waiting.popleft()
            granted_by_member[member_id] += 1
            grants.append(Grant(member_id, target_id, 1))
        return grants

    def holders(self, target_id: str) -> set[str]:
        """Returns the members that hold credits for a target."""
        granted_by_member = self._granted(target_id)
        return {
            member_id
            for member_id in granted_by_member
            if granted_by_member[member_id] > 0
        }

    def record_message(
        self, member_id: str, target_id: str, now: float
    ) -> None:
        """Records the time of a member's message about a target."""
        self._last_message_at[target_id, member_id] = now

    def expire_grants(self, now: float) -> list[str]:
        """Reclaims credits of members without a recent message.

        Otherwise a lost message would leak a slot permanently.

        Args:
            now: Monotonic seconds.

        Returns:
            Targets that may have free slots now.
        """
        expired = [
            key
            for key, message_at in self._last_message_at.items()
            if now - message_at > GRANT_EXPIRY_SECONDS
        ]
        for target_id, member_id in expired:
            del self._last_message_at[target_id, member_id]
            del self._granted(target_id)[member_id]
        return sorted({target_id for target_id, _ in expired})

    def keep_only(self, member_ids: frozenset[str]) -> list[str]:
        """Reclaims the credits of lost members.

        Args:
            member_ids: Members that are still connected.

        Returns:
            Targets that may have free slots now.
        """
        for granted_by_member in self._granted_by_target.values():
            for member_id in granted_by_member.keys() - member_ids:
                del granted_by_member[member_id]
        for target_id, waiting in self._waiting_by_target.items():
            self._waiting_by_target[target_id] = collections.deque(
                member_id for member_id in waiting if member_id in member_ids
            )
        return list(self._granted_by_target)

    def _granted(self, target_id: str) -> collections.Counter[str]:
        return self._granted_by_target.setdefault(
            target_id, collections.Counter()
        )

    def _waiting(self, target_id: str) -> collections.deque[str]:
        return self._waiting_by_target.setdefault(
            target_id, collections.deque()
        )
