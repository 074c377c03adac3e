"""Loopback proxy that stands for a network link which may be cut."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import select
import socket
import struct
import threading

CHUNK_BYTES = 65_536
CONNECT_SECONDS = 2.0


class Link:
    """Forwards connections; a cut holds up their bytes until it has healed.

    Bytes that were sent before or during the cut arrive once it has healed,
    also if their sender has closed its connection since. Those of a sender that
    has reset its connection are lost, as DEPLOY.md says.

    Args:
        address: Loopback address of both ends.
        port: Port to listen on.
        target_port: Port to forward to.

    Attributes:
        on_data: Called with data from the client before it is forwarded.
    """

    def __init__(self, address: str, port: int, target_port: int) -> None:
        self._address = address
        self._target_port = target_port
        self._is_up = threading.Event()
        self._is_up.set()
        self.on_data: Callable[[bytes], None] = lambda data: None
        self._server = socket.create_server((address, port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Holds up all bytes from now on."""
        self._is_up.clear()

    def heal(self) -> None:
        """Delivers what was held up, and forwards again."""
        self._is_up.set()

    def close(self) -> None:
        """Stops listening."""
        self._is_up.set()
        self._server.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(client,), daemon=True
            ).start()

    def _connect(self, client: socket.socket) -> None:
        self._is_up.wait()
        try:
            target = socket.create_connection(
                (self._address, self._target_port), CONNECT_SECONDS
            )
        except OSError:
            client.close()
            return
        target.settimeout(None)
        threading.Thread(
            target=self._forward, args=(target, client, False), daemon=True
        ).start()
        self._forward(client, target, True)

    def _forward(
        self, source: socket.socket, sink: socket.socket, outbound: bool
    ) -> None:
        # The thread of the other direction may have closed both ends.
        with contextlib.suppress(OSError, ValueError):
            while data := source.recv(CHUNK_BYTES):
                if outbound:
                    self.on_data(data)
                self._is_up.wait()
                if _was_reset(source):
                    _reset(sink)
                    return
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


def _was_reset(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, 0)  # Errors are reported without being asked for.
    return any(events & select.POLLERR for _, events in poll.poll(0))


def _reset(connection: socket.socket) -> None:
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    connection.close()
