"""Fair queueing of a service's requests by request class and caller."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

# At least one of five consecutive grants goes to requests that aren't urgent.
URGENT_GRANTS_IN_A_ROW = 4
MAX_FLOWS = 1024


class Ticket(NamedTuple):
    """A request that waits for a slot.

    Attributes:
        caller: Name of the caller.
        class_name: Name of the request class.
        urgent: Whether the class has priority over others.
        deadline_at: Monotonic time of the caller's deadline in seconds.
        repeated: Whether the request had a slot before and so has already
            waited.
    """

    caller: str
    class_name: str
    urgent: bool
    deadline_at: float
    repeated: bool = False


class Flow(NamedTuple):
    """Requests of one caller and class, served in FIFO order.

    Requests that had a slot before form a flow of their own, served first.
    """

    repeated: bool
    urgent: bool
    class_name: str
    caller: str


T = TypeVar("T")


def flow_of(ticket: Ticket) -> Flow:
    """Returns the flow that a ticket belongs to."""
    if ticket.repeated:
        return Flow(True, False, "", "")
    return Flow(False, ticket.urgent, ticket.class_name, ticket.caller)


class FairQueue(Generic[T]):
    """Fair queue of waiting requests; not thread safe.

    The class and the flow with the fewest counted grants are served next. A
    flow that becomes active starts at the virtual time, which is the count of
    the flow served last. An idle flow therefore neither accumulates a share nor
    falls behind permanently.
    """

    def __init__(self) -> None:
        self._items_by_flow: dict[Flow, collections.deque[T]] = {}
        self._grants_by_class: dict[str, float] = {}
        self._grants_by_flow: dict[Flow, float] = {}
        self._virtual_time = 0.0
        self._virtual_time_by_class: dict[str, float] = {}
        self._urgent_in_a_row = 0
        self._length = 0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return self._length

    def add(self, ticket: Ticket, item: T) -> None:
        """Adds a request at the end of its flow."""
        flow = flow_of(ticket)
        if flow not in self._items_by_flow:
            self._activate(flow)
        self._items_by_flow[flow].append(item)
        self._length += 1

    def remove(self, ticket: Ticket, item: T) -> bool:
        """Removes a request; False if it isn't in the queue."""
        flow = flow_of(ticket)
        items = self._items_by_flow.get(flow, collections.deque())
        if item not in items:
            return False
        items.remove(item)
        if not items:
            del self._items_by_flow[flow]
        self._length -= 1
        return True

    def first(self) -> T:
        """Returns the next request; the queue must not be empty."""
        urgent_first = self._urgent_in_a_row < URGENT_GRANTS_IN_A_ROW
        flow = min(
            self._items_by_flow,
            key=lambda flow: (
                not flow.repeated,
                flow.urgent is not urgent_first,
                self._grants_by_class.get(flow.class_name, 0.0),
                self._grants_by_flow.get(flow, 0.0),
            ),
        )
        return self._items_by_flow[flow][0]

    def count_grant(self, ticket: Ticket) -> None:
        """Counts a grant to the flow of a ticket."""
        if ticket.repeated:
            return
        flow, name = flow_of(ticket), ticket.class_name
        self._virtual_time = self._grants_by_class.get(name, 0.0)
        grants = self._grants_by_flow.get(flow, 0.0)
        self._virtual_time_by_class[name] = grants
        self._grants_by_class[name] = self._virtual_time + 1
        self._grants_by_flow[flow] = grants + 1
        self._urgent_in_a_row = (
            self._urgent_in_a_row + 1 if ticket.urgent else 0
        )
        if len(self._grants_by_flow) > MAX_FLOWS:
            self._prune_idle_flows()

    def position(self, ticket: Ticket) -> int:
        """Estimates the queue position of a new ticket.

        Args:
            ticket: A ticket that isn't in the queue.

        Returns:
            Number of grants up to and including its own, at least 1.
        """
        ahead = {
            flow: len(items)
            for flow, items in self._items_by_flow.items()
            if flow.repeated or flow.urgent or not ticket.urgent
        }
        flow = flow_of(ticket)
        flows = len({*ahead, flow})
        return min(sum(ahead.values()) + 1, (ahead.get(flow, 0) + 1) * flows)

    def newest_of_busiest_caller(self, ticket: Ticket) -> T | None:
        """Returns the newest request of the caller with the most requests.

        Args:
            ticket: A new ticket that needs room in the queue.

        Returns:
            The request to drop; None if no other caller has more waiting
            requests than the ticket's caller.
        """
        counts: collections.Counter[str] = collections.Counter()
        for flow, items in self._items_by_flow.items():
            if not flow.repeated:
                counts[flow.caller] += len(items)
        if not counts:
            return None
        caller, most = counts.most_common(1)[0]
        if counts[ticket.caller] + 1 >= most:
            return None
        flows = [
            flow
            for flow in self._items_by_flow
            if flow.caller == caller and not flow.repeated
        ]
        longest = max(flows, key=lambda flow: len(self._items_by_flow[flow]))
        return self._items_by_flow[longest][-1]

    def __iter__(self) -> Iterator[T]:
        """Iterates over the waiting requests."""
        for items in tuple(self._items_by_flow.values()):
            yield from tuple(items)

    def _activate(self, flow: Flow) -> None:
        """Sets the counts of a flow that becomes active."""
        name = flow.class_name
        if all(other.class_name != name for other in self._items_by_flow):
            self._grants_by_class[name] = max(
                self._grants_by_class.get(name, 0.0), self._virtual_time
            )
        self._grants_by_flow[flow] = max(
            self._grants_by_flow.get(flow, 0.0),
            self._virtual_time_by_class.get(name, 0.0),
        )
        self._items_by_flow[flow] = collections.deque()

    def _prune_idle_flows(self) -> None:
        """Drops the counts of idle flows, to bound memory."""
        self._grants_by_flow = {
            flow: count
            for flow, count in self._grants_by_flow.items()
            if flow in self._items_by_flow
        }
