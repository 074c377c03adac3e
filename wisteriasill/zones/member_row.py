"""Writes this entry host's row of the members table."""

from __future__ import annotations

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.links import platform as platforms
from wisteriasill.machines import member as members


class MemberRow:
    """Writes one member's row; used by one task only.

    Each write is conditional on the last version. A write of unknown outcome
    is resolved by reading the row, which is this process's if it has its
    incarnation. A delayed copy of the write can then no longer take effect.
    """

    def __init__(
        self, platform: platforms.Platform, member: members.Member
    ) -> None:
        self._platform = platform
        self._version: int | None = None
        self._written = False
        self.member = member
        self.displaced = False

    def renew(self, leaving: bool) -> bool:
        """Writes the row with an increased heartbeat counter.

        Args:
            leaving: Whether the entry host is shutting down.

        Returns:
            Whether the row was written. Always False once `displaced` is set,
            when a newer process with this member id has taken the row over.
        """
        if self._version is None and not self._read():
            return False
        renewed = self.member._replace(
            beat=self.member.beat + 1, leaving=leaving
        )
        written = self._transact(documents.encode(renewed))
        if not isinstance(written, result.Success):
            self._version = None
            return False
        self.member = renewed
        self._version = written.unwrap()[0]
        self._written = True
        return True

    def remove(self) -> bool:
        """Deletes the row if this process still owns it."""
        if self._version is None and not self._read():
            return False
        removed = self._transact(None)
        self._version = None
        return isinstance(removed, result.Success)

    def _transact(
        self, value: dict[str, object] | None
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        key = self.member.member_id
        return self._platform.table.transact(
            [platforms.Condition(members.TABLE, key, self._version or 0)],
            [platforms.Write(members.TABLE, key, value)],
        )

    def _read(self) -> bool:
        """Reads the row's version; False if the row can't be written."""
        read = self._platform.table.read(members.TABLE, self.member.member_id)
        if self.displaced or not isinstance(read, result.Success):
            return False
        row: platforms.Row | None = read.unwrap()
        owner = row.value.get("incarnation") if row else None
        if self._written and row and owner != self.member.incarnation:
            self.displaced = True
            events.log(
                events.Event.MEMBER_LEFT,
                "Another process has taken over this member id",
                level="ERROR",
                incarnation=owner,
            )
            return False
        if row and owner == self.member.incarnation:
            heartbeat = int(row.value.get("beat", 0))
            self.member = self.member._replace(
                beat=max(heartbeat, self.member.beat)
            )
        self._version = row.version if row else 0
        return True
