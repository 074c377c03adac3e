"""The row of this entry host in the members table."""

from __future__ import annotations

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.links import platform as platforms
from wisteriasill.machines import member as members


class OwnRow:
    """Writes one member's row; used by one task.

    Each write has a condition on the last version, so a write whose answer
    was lost is resolved by reading the row: it is ours if it has our
    incarnation, and a late copy of it can no longer take effect.
    """

    def __init__(
        self, platform: platforms.Platform, member: members.Member
    ) -> None:
        self._platform = platform
        self._version: int | None = None
        self._joined = False
        self.member = member
        self.displaced = False

    def renew(self, leaving: bool) -> bool:
        """Writes the row with the next beat.

        Args:
            leaving: Whether the entry host is shutting down.

        Returns:
            Whether the row is written. False as well once `displaced` tells
            that a newer process with this member id has taken the row.
        """
        if self._version is None and not self._read():
            return False
        following = self.member._replace(
            beat=self.member.beat + 1, leaving=leaving
        )
        written = self._transact(documents.encode(following))
        if not isinstance(written, result.Success):
            self._version = None
            return False
        self.member = following
        self._version = written.unwrap()[0]
        self._joined = True
        return True

    def remove(self) -> bool:
        """Deletes the row if it is still ours."""
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
        """Learns the row's version; False if the row cannot be written."""
        read = self._platform.table.read(members.TABLE, self.member.member_id)
        if self.displaced or not isinstance(read, result.Success):
            return False
        row: platforms.Row | None = read.unwrap()
        owner = row.value.get("incarnation") if row else None
        if self._joined and row and owner != self.member.incarnation:
            self.displaced = True
            events.log(
                events.Event.MEMBER_LEFT,
                "Another process has taken this member id",
                level="ERROR",
                incarnation=owner,
            )
            return False
        if row and owner == self.member.incarnation:
            beat = int(row.value.get("beat", 0))
            self.member = self.member._replace(beat=max(beat, self.member.beat))
        self._version = row.version if row else 0
        return True
