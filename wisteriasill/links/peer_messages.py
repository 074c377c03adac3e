"""Messages between peers, and the interface of the peer mesh."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal, NotRequired, Protocol

from typing_extensions import TypedDict

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1024 * 1024


class Hello(TypedDict):
    """First message that each side of a link sends."""

    type: Literal["hello"]
    member_id: str
    incarnation: str
    availability_zone: str
    protocol_version: int


class Heartbeat(TypedDict):
    """Heartbeat with the configuration generation that is in force."""

    type: Literal["heartbeat"]
    sequence: int
    generation: int


class InFlight(TypedDict):
    """In-flight requests by target id; only counts that changed."""

    type: Literal["in_flight"]
    counts: dict[str, int]


class Departure(TypedDict):
    """A host that accepts no new work; `state` is its `HostState`."""

    type: Literal["departure"]
    host_id: str
    state: str
    version: int


class ConfigurationMessage(TypedDict):
    """A configuration manifest.

    Attributes:
        type: Type of the message.
        manifest: The encoded manifest.
        documents: Documents by digest, if the peer requested them.
        wanted: Digests of the documents that the sender requests.
    """

    type: Literal["configuration"]
    manifest: dict[str, Any]
    documents: NotRequired[dict[str, bytes]]
    wanted: NotRequired[list[str]]


class CreditMessage(TypedDict):
    """Requests, grants or returns credits for slots of one target."""

    type: Literal["credit_request", "credit_grant", "credit_return"]
    target_id: str
    count: int
    incarnation: str


class Goodbye(TypedDict):
    """Last message of a member that leaves the site."""

    type: Literal["goodbye"]
    member_id: str


Message = (
    Hello
    | Heartbeat
    | InFlight
    | Departure
    | ConfigurationMessage
    | CreditMessage
    | Goodbye
)
Handler = Callable[[str, Any], None]


class PeerMesh(Protocol):
    """The links to all peers."""

    def broadcast(self, message: Message) -> None:
        """Queues a message for each connected peer; never blocks."""

    def send(self, member_id: str, message: Message) -> bool:
        """Queues a message for one peer; False if it is not connected."""

    def on_message(self, message_type: str, handler: Handler) -> None:
        """Registers a handler, called as `handler(member_id, message)`.

        Handlers run on the task of the link and must not block.
        """

    def on_members_changed(self, handler: Callable[[], None]) -> None:
        """Registers a handler for peers that connect or are lost."""

    def connected_peers(self) -> frozenset[str]:
        """Returns the member ids of all peers with a working link."""
