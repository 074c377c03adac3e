"""Fair shares of a service between request classes and callers."""

from __future__ import annotations

from typing import NamedTuple


class Ticket(NamedTuple):
    """A request that asks for a slot.

    Attributes:
        caller: Name of the caller.
        class_name: Name of the request class.
        urgent: Whether the class goes before others.
        deadline_at: Monotonic seconds until which an answer is useful.
        repeated: Whether the request had a slot before, and so waited.
    """

    caller: str
    class_name: str
    urgent: bool
    deadline_at: float
    repeated: bool = False


class FairShares:
    """Counts of grants that decide who is next.

    A flow that starts to wait begins at the count of the flow served last,
    so it neither saves up a share while away nor falls behind for ever.
    """

    def __init__(self) -> None:
        self._grants_by_class: dict[str, float] = {}
        self._grants_by_flow: dict[tuple[str, str], float] = {}
        self._class_level = 0.0
        self._flow_level_by_class: dict[str, float] = {}

    def join(self, ticket: Ticket, waiting: list[Ticket]) -> None:
        """Sets the counts of a flow that joins the queue."""
        name, flow = ticket.class_name, (ticket.class_name, ticket.caller)
        if all(item.class_name != name for item in waiting):
            self._grants_by_class[name] = max(
                self._grants_by_class.get(name, 0.0), self._class_level
            )
        if all((item.class_name, item.caller) != flow for item in waiting):
            self._grants_by_flow[flow] = max(
                self._grants_by_flow.get(flow, 0.0),
                self._flow_level_by_class.get(name, 0.0),
            )

    def order(self, ticket: Ticket) -> tuple[float, float]:
        """Returns the sort key; the lowest is next."""
        flow = (ticket.class_name, ticket.caller)
        return (
            self._grants_by_class.get(ticket.class_name, 0.0),
            self._grants_by_flow.get(flow, 0.0),
        )

    def grant(self, ticket: Ticket) -> None:
        """Counts a grant."""
        name, flow = ticket.class_name, (ticket.class_name, ticket.caller)
        self._class_level, level = self.order(ticket)
        self._flow_level_by_class[name] = level
        self._grants_by_class[name] = self._class_level + 1
        self._grants_by_flow[flow] = level + 1

    @property
    def flows(self) -> int:
        """Flows that are remembered."""
        return len(self._grants_by_flow)

    def forget(self, waiting: list[Ticket]) -> None:
        """Drops flows that do not wait, which bounds the memory."""
        kept = {(item.class_name, item.caller) for item in waiting}
        self._grants_by_flow = {
            flow: count
            for flow, count in self._grants_by_flow.items()
            if flow in kept
        }
