"""WebSocket links to all peers."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import threading

from returns import result
from websockets.sync import connection as connections
from websockets.sync import server

from wisteriasill import clock as clocks
from wisteriasill import events
from wisteriasill import metrics as metrics_module
from wisteriasill import settings as settings_module
from wisteriasill.links import peer_codec
from wisteriasill.links import peer_dial
from wisteriasill.links import peer_messages
from wisteriasill.links import peer_session
from wisteriasill.zones import site as sites

# Each dialled peer has a reader and a writer task, each accepted peer a writer
# task; one more task accepts connections.
_MAX_TASKS = 4 * peer_dial.MAX_DIALLED_PEERS
_GOODBYE_TIMEOUT_SECONDS = 1.0


class PeerLinks:
    """Links to peers over WebSocket; implements `PeerMesh`.

    The member with the lower id dials the other, so each pair has one link.
    A `settings.peer_port` of 0 selects a free port, see `port`.
    """

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        site: sites.Site,
        incarnation: str,
        metrics: metrics_module.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._site = site
        self._metrics = metrics
        self._clock = clock
        self._executor = futures.ThreadPoolExecutor(
            _MAX_TASKS, thread_name_prefix="peers"
        )
        self._context = peer_session.SessionContext(
            settings=settings,
            hello={
                "type": "hello",
                "member_id": settings.member_id,
                "incarnation": incarnation,
                "availability_zone": settings.availability_zone,
                "protocol_version": peer_messages.PROTOCOL_VERSION,
            },
            generation=lambda: site.snapshot.configuration.generation,
            deliver=self._deliver,
            metrics=metrics,
            clock=clock,
            executor=self._executor,
        )
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._sessions_by_id: dict[str, peer_session.PeerSession] = {}
        self._handlers_by_type: dict[str, list[peer_messages.Handler]] = {}
        self._change_handlers: list[Callable[[], None]] = []
        self._dialer = peer_dial.PeerDialer(
            settings,
            site,
            incarnation,
            metrics,
            clock,
            self._executor,
            self._run_dialled,
        )
        self._server: server.Server | None = None
        self._serving: futures.Future[None] | None = None

    @property
    def port(self) -> int:
        """The port that peers dial, valid after the start."""
        if self._server is None:
            return self._settings.peer_port
        return int(self._server.socket.getsockname()[1])

    def start(self) -> None:
        """Starts to accept links and to dial peers.

        Raises:
            OSError: The port is in use.
        """
        self._server = server.serve(
            self._accept,
            self._settings.listen_address,
            self._settings.peer_port,
            compression=None,
            server_header=None,
            open_timeout=self._settings.peer_silence_seconds,
            ping_interval=None,
            close_timeout=peer_dial.CLOSE_TIMEOUT_SECONDS,
            max_size=peer_messages.MAX_MESSAGE_BYTES,
            logger=peer_dial.LIBRARY_LOGGER,
        )
        self._serving = self._executor.submit(self._server.serve_forever)
        self._dialer.start()

    def stop(self) -> None:
        """Sends goodbye to all peers, closes the links, joins the tasks."""
        self._stopping.set()
        self._dialer.stop()
        with self._lock:
            sessions = tuple(self._sessions_by_id.values())
        for session in sessions:
            session.send_goodbye()
        deadline = self._clock.monotonic() + _GOODBYE_TIMEOUT_SECONDS
        for session in sessions:
            session.ended.wait(max(0.0, deadline - self._clock.monotonic()))
            session.abort()
        if self._server is not None and self._serving is not None:
            # Links that are being set up also end with a goodbye.
            self._server.shutdown(close_connections=False)
            self._serving.result()
        self._dialer.join()
        self._executor.shutdown()

    def broadcast(self, message: peer_messages.Message) -> None:
        """Queues a message for each connected peer; never blocks."""
        body = self._encode(message)
        if body is None:
            return
        with self._lock:
            sessions = tuple(self._sessions_by_id.values())
        for session in sessions:
            self._enqueue(session, message["type"], body)

    def send(self, member_id: str, message: peer_messages.Message) -> bool:
        """Queues a message for one peer; False if it is not connected."""
        with self._lock:
            session = self._sessions_by_id.get(member_id)
        if session is None:
            return False
        body = self._encode(message)
        return body is not None and self._enqueue(
            session, message["type"], body
        )

    def on_message(
        self, message_type: str, handler: peer_messages.Handler
    ) -> None:
        """Registers a handler, called as `handler(member_id, message)`.

        Handlers run on the task of the link and must not block.
        """
        with self._lock:
            self._handlers_by_type.setdefault(message_type, []).append(handler)

    def on_members_changed(self, handler: Callable[[], None]) -> None:
        """Registers a handler for peers that connect or are lost."""
        with self._lock:
            self._change_handlers.append(handler)

    def connected_peers(self) -> frozenset[str]:
        """Returns the member ids of all peers with a working link."""
        with self._lock:
            return frozenset(self._sessions_by_id)

    def _encode(self, message: peer_messages.Message) -> bytes | None:
        encoded = peer_codec.encode(message)
        if isinstance(encoded, result.Success):
            body: bytes = encoded.unwrap()
            return body
        self._metrics.count("peer_message_not_sent")
        events.log(
            events.Event.PEER_MESSAGE_INVALID,
            "A message to peers is too large",
            level="ERROR",
            detail=encoded.failure().detail,
        )
        return None

    def _enqueue(
        self, session: peer_session.PeerSession, message_type: str, body: bytes
    ) -> bool:
        accepted = session.outbox.put(message_type, body)
        if not accepted:
            self._metrics.count("peer_message_dropped")
        return accepted

    def _deliver(
        self, peer: peer_messages.Hello, received: peer_codec.Received
    ) -> None:
        peer_id = peer["member_id"]
        if received.message_type == "goodbye":
            self._dialer.record_goodbye(peer_id, peer["incarnation"])
        with self._lock:
            handlers = tuple(
                self._handlers_by_type.get(received.message_type, ())
            )
        for handler in handlers:
            try:
                handler(peer_id, received.message)
            except Exception as error:  # A handler error must not end a link.
                peer_session.log_task_failure(
                    f"handler of {received.message_type}", error, peer=peer_id
                )

    def _accept(self, connection: server.ServerConnection) -> None:
        """Runs an accepted link on the thread of the connection."""
        session = peer_session.PeerSession(self._context, connection)
        try:
            peer = session.exchange_hello()
            if peer and peer["member_id"] != self._settings.member_id:
                self._run(session, peer["member_id"], lambda: True)
        except Exception as error:  # The thread would discard it.
            peer_session.log_task_failure("accepted link", error)
        finally:
            session.abort()

    def _run_dialled(
        self, connection: connections.Connection, peer_id: str
    ) -> bool:
        """Runs a dialled link on the task of its peer."""
        session = peer_session.PeerSession(self._context, connection)
        try:
            peer = session.exchange_hello()
            if peer is None:
                return False
            if peer["member_id"] != peer_id:
                # The address now belongs to another process.
                self._metrics.count("peer_mismatched")
                return False
            self._run(
                session, peer_id, lambda: self._dialer.should_keep_link(peer_id)
            )
            return True
        finally:
            session.abort()

    def _run(
        self,
        session: peer_session.PeerSession,
        peer_id: str,
        is_wanted: Callable[[], bool],
    ) -> None:
        with self._lock:
            replaced = self._sessions_by_id.get(peer_id)
            self._sessions_by_id[peer_id] = session
        if replaced is not None:
            replaced.abort()
        events.log(events.Event.PEER_CONNECTED, "Peer connected", peer=peer_id)
        self._notify_change()
        reason = "failed"
        try:
            if self._stopping.is_set():
                session.send_goodbye()
            reason = session.run(is_wanted)
        finally:
            with self._lock:
                if self._sessions_by_id.get(peer_id) is session:
                    del self._sessions_by_id[peer_id]
            session.ended.set()
            events.log(
                events.Event.PEER_LOST,
                "Peer lost",
                peer=peer_id,
                reason=reason,
            )
            self._notify_change()

    def _notify_change(self) -> None:
        with self._lock:
            handlers = tuple(self._change_handlers)
        for handler in handlers:
            handler()
