"""A loopback TCP proxy that delays, resets or blocks connections."""

from __future__ import annotations

import enum
import random
import socket
import struct
import threading
import time

from soak import ports

CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.3
POLL_SECONDS = 0.2
RETRANSMISSION_SECONDS = 0.2  # The shortest of Linux; each repeat doubles it.


class Mode(enum.StrEnum):
    """Treatment of connections by the proxy.

    SILENT forwards nothing; ONE_WAY blocks only the data to the client.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"


class Proxy:
    """Forwards connections to one port according to its mode.

    Args:
        port: Port to listen on.
        target_port: Port to forward to.

    Attributes:
        loss_share: Share of packets that the link loses. TCP sends them again,
            so that the data after them waits.
    """

    def __init__(self, port: int, target_port: int) -> None:
        self.mode = Mode.PASS
        self.loss_share = 0.0
        self._target_port = target_port
        self._closing = threading.Event()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._server = socket.create_server((ports.ADDRESS, port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self._closing.set()
        self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Resets all open connections."""
        for pair in [*self._pairs]:
            for connection in pair:
                _reset(connection)

    def _accept(self) -> None:
        while not self._closing.is_set():
            try:
                client, _ = self._server.accept()
            except OSError:
                return
            if self.mode is Mode.RESET:
                _reset(client)
                continue
            try:
                target = socket.create_connection(
                    (ports.ADDRESS, self._target_port), 2.0
                )
            except OSError:
                _reset(client)
                continue
            self._pairs.add((client, target))
            for source, sink, inbound in (
                (client, target, True),
                (target, client, False),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, inbound, (client, target)),
                    daemon=True,
                ).start()

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        inbound: bool,
        pair: tuple[socket.socket, socket.socket],
    ) -> None:
        try:
            source.settimeout(None)
            while data := source.recv(CHUNK_BYTES):
                self._delay(inbound)
                if self.mode is Mode.RESET:
                    break
                sink.sendall(data)
        except OSError:
            pass  # The thread of the other direction closed the pair.
        for connection in pair:
            _reset(connection)
        self._pairs.discard(pair)

    def _delay(self, inbound: bool) -> None:
        wait_seconds = RETRANSMISSION_SECONDS
        while random.random() < self.loss_share:
            time.sleep(wait_seconds)
            wait_seconds *= 2
        if self.mode is Mode.DELAY:
            time.sleep(DELAY_SECONDS)
        while not self._closing.is_set() and (
            self.mode is Mode.SILENT
            or (self.mode is Mode.ONE_WAY and not inbound)
        ):
            time.sleep(POLL_SECONDS)


def _reset(connection: socket.socket) -> None:
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # Closed already.
    connection.close()
