"""Tests of links between peers over loopback connections."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import socket
import threading
import time
from typing import Any

import cbor2
import pytest
from websockets import exceptions
from websockets.sync import client

from tests import waiting
from tests.links import conftest
from wisteriasill.links import peer_messages
from wisteriasill.links import peer_outbox

Start = Callable[[str], conftest.LinkedMember]
DEPARTURE: peer_messages.Departure = {
    "type": "departure",
    "host_id": "h1",
    "state": "draining",
    "version": 2,
}


def hello(member_id: str, version: int = 1) -> dict[str, Any]:
    return {
        "type": "hello",
        "member_id": member_id,
        "incarnation": "1",
        "availability_zone": "z1",
        "protocol_version": version,
    }


@contextlib.contextmanager
def websocket_peer(  # type: ignore[no-untyped-def]
    linked: conftest.LinkedMember, first: Any
):
    connection = client.connect(
        f"ws://127.0.0.1:{linked.links.port}/",
        legacy=True,
        compression=None,
        ping_interval=None,
        close_timeout=0.2,
        max_size=None,
        proxy=None,
    )
    try:
        connection.send(
            first if isinstance(first, bytes) else cbor2.dumps(first)
        )
        yield connection
    finally:
        connection.close()


def test_members_link_once_and_exchange_messages(start_member: Start) -> None:
    """Each pair has one link; two would deliver each message twice."""
    linked = [start_member(name) for name in ("a", "b", "c")]
    received: list[tuple[str, Any]] = []
    linked[2].links.on_message(
        "departure", lambda peer, message: received.append((peer, message))
    )
    conftest.introduce(*linked)
    assert waiting.wait_until(
        lambda: all(
            len(member.links.connected_peers()) == 2 for member in linked
        )
    )
    linked[0].links.broadcast(DEPARTURE)
    assert linked[1].links.send("c", DEPARTURE)
    assert not linked[1].links.send("unknown", DEPARTURE)
    assert waiting.wait_until(lambda: len(received) == 2)
    time.sleep(2 * conftest.HEARTBEAT_SECONDS)
    assert sorted(received, key=lambda item: item[0]) == [
        ("a", DEPARTURE),
        ("b", DEPARTURE),
    ]


def test_goodbye_ends_link_at_once(start_member: Start) -> None:
    """After a goodbye, a peer is lost at once and not redialled."""
    first, second = start_member("a"), start_member("b")
    goodbyes: list[str] = []
    first.links.on_message("goodbye", lambda peer, _: goodbyes.append(peer))
    conftest.introduce(first, second)
    assert waiting.wait_until(lambda: "b" in first.links.connected_peers())
    second.links.stop()
    assert waiting.wait_until(
        lambda: not first.links.connected_peers(),
        conftest.SILENCE_SECONDS / 2,
    )
    assert goodbyes == ["b"]
    time.sleep(0.3)
    assert first.counter_value("peer_dial_failed") == 0


@pytest.mark.parametrize(
    ("frames", "counter", "survives"),
    [
        ([b"\xff\xff"], "peer_message_invalid", True),
        ([cbor2.dumps([1])], "peer_message_invalid", True),
        (
            [cbor2.dumps({"type": "departure", "host_id": 1})],
            "peer_message_invalid",
            True,
        ),
        ([cbor2.dumps({"type": "later"})], "peer_message_unknown", True),
        (
            [cbor2.dumps({"type": "x", "pad": bytes(2**20)})],
            "peer_message_too_large",
            False,
        ),
    ],
)
def test_bad_messages(
    start_member: Start, frames: list[bytes], counter: str, survives: bool
) -> None:
    """Invalid and unknown messages must not end the link.

    A message above the size limit ends it, which bounds the memory.
    """
    linked = start_member("b")
    with websocket_peer(linked, hello("a")) as connection:
        assert waiting.wait_until(lambda: "a" in linked.links.connected_peers())
        with contextlib.suppress(exceptions.ConnectionClosed):
            for frame in frames:
                connection.send(frame)
        assert waiting.wait_until(lambda: linked.counter_value(counter) == 1)
        if survives:
            assert "a" in linked.links.connected_peers()
        else:
            assert waiting.wait_until(
                lambda: not linked.links.connected_peers()
            )


@pytest.mark.parametrize(
    "first",
    [
        hello("a", version=0),
        hello("b"),  # The member's own id.
        {"type": "heartbeat", "sequence": 1, "generation": 0},
        b"\xff",
    ],
)
def test_refused_hello(start_member: Start, first: Any) -> None:
    """A connection without a valid hello must not become a peer."""
    linked = start_member("b")
    with websocket_peer(linked, first) as connection:
        with pytest.raises(exceptions.ConnectionClosed):
            for _ in range(20):
                connection.recv(1.0)
        assert not linked.links.connected_peers()


def test_silent_peer_is_lost_and_newer_link_replaces_older(
    start_member: Start,
) -> None:
    """A peer without heartbeats, as after a pause, must be lost in time."""
    linked = start_member("b")
    changes: list[frozenset[str]] = []
    linked.links.on_members_changed(
        lambda: changes.append(linked.links.connected_peers())
    )
    with websocket_peer(linked, hello("a")) as first:
        assert waiting.wait_until(lambda: bool(changes))
        with websocket_peer(linked, hello("a")):
            with pytest.raises(exceptions.ConnectionClosed):
                while True:
                    first.recv(0.2)
            started_at = time.monotonic()
            assert linked.links.connected_peers() == {"a"}
            assert waiting.wait_until(
                lambda: not linked.links.connected_peers()
            )
            assert (
                time.monotonic() - started_at < 1.5 * conftest.SILENCE_SECONDS
            )
    assert waiting.wait_until(lambda: changes[-1] == frozenset())


def test_one_way_silence_redials(start_member: Start) -> None:
    """A link that loses heartbeats in one direction must be redialled."""
    first, second = start_member("a"), start_member("b")
    tcp_proxy = OneWayProxy(second.links.port)
    try:
        second_row = second.member._replace(peer_port=tcp_proxy.port)
        first.site.set_members([first.member, second_row])
        assert waiting.wait_until(lambda: "a" in second.links.connected_peers())
        tcp_proxy.drop.set()
        assert waiting.wait_until(
            lambda: not first.links.connected_peers(),
            3 * conftest.SILENCE_SECONDS,
        )
        tcp_proxy.drop.clear()
        assert waiting.wait_until(
            lambda: (
                "a" in second.links.connected_peers()
                and "b" in first.links.connected_peers()
            )
        )
    finally:
        tcp_proxy.close()


def test_handler_error_keeps_link(start_member: Start) -> None:
    """An exception in a message handler must not end the link."""
    linked = start_member("b")
    calls: list[str] = []

    def fail(peer: str, _: Any) -> None:
        calls.append(peer)
        raise ValueError("fault")

    linked.links.on_message("departure", fail)
    with websocket_peer(linked, hello("a")) as connection:
        connection.send(cbor2.dumps(DEPARTURE))
        connection.send(cbor2.dumps(DEPARTURE))
        assert waiting.wait_until(lambda: len(calls) == 2)
        assert linked.links.connected_peers() == {"a"}


def test_full_outbox_keeps_departures_and_configuration() -> None:
    """A burst of in-flight counts must not displace departures."""
    outbox = peer_outbox.Outbox()
    assert outbox.put("departure", b"departure")
    accepted = [outbox.put("in_flight", bytes([n % 256])) for n in range(300)]
    assert outbox.put("configuration", b"configuration")
    assert accepted.count(False) == 300 - 256
    assert [outbox.get(0) for _ in range(3)] == [
        b"configuration",
        b"departure",
        bytes([300 - 256]),
    ]
    outbox.close(discard=True)
    assert outbox.get(10) is None
    assert not outbox.put("departure", b"late")


class OneWayProxy:
    """TCP proxy that drops the data of the dialling side on demand."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._threads: list[threading.Thread] = []
        self._sockets = [self._listener]
        self.port = self._listener.getsockname()[1]
        self.drop = threading.Event()
        self._spawn(self._accept)

    def close(self) -> None:
        """Ends all connections and joins the threads."""
        for open_socket in self._sockets:
            with contextlib.suppress(OSError):
                open_socket.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join(5)

    def _spawn(self, run: Callable[..., None], *arguments: Any) -> None:
        thread = threading.Thread(target=run, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                far = socket.create_connection(("127.0.0.1", self._target_port))
                self._sockets += [near, far]
                self._spawn(self._copy, near, far, True)
                self._spawn(self._copy, far, near, False)

    def _copy(
        self, source: socket.socket, sink: socket.socket, may_drop: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(4096):
                if not (may_drop and self.drop.is_set()):
                    sink.sendall(data)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
