"""Settings of the entry host daemon."""

from __future__ import annotations

from typing import NamedTuple


class EntrySettings(NamedTuple):
    """Settings of one entry host.

    Attributes:
        member_id: Name of this entry host, unique in the site.
        region: Region of this entry host.
        availability_zone: Availability zone of this entry host.
        platform_url: Base URL of the platform.
        listen_address: IP address that the three ports are bound to.
        advertised_address: IP address that peers dial.
        caller_port: Port for callers; 0 picks a free one.
        operator_port: Port for operators; 0 picks a free one.
        peer_port: Port for peers; 0 picks a free one.
        operator_token: Bearer token for operators; if empty, only reads from
            loopback addresses are allowed.
        caller_threads: Threads for callers' requests, which also limits the
            requests in progress and waiting.
        queue_length: Maximum queue length of one service.
        max_body_bytes: Maximum body size of a caller's request or its answer.
        max_header_bytes: Maximum size of the headers of a caller's request.
        socket_timeout_seconds: Connections of callers that send nothing for
            this long are closed.
        poll_seconds: Period of the configuration, host and member polls.
        heartbeat_seconds: Period of heartbeats to peers.
        peer_silence_seconds: A peer that sends nothing for this long is
            considered down.
        lease_seconds: Duration of a shard lease.
        platform_timeout_seconds: Timeout of one platform call.
        drain_notice_seconds: Time between failing the readiness check and
            refusing new connections, so that the load balancer notices.
        shutdown_seconds: Maximum wait for in-flight requests at shutdown.
        idle_connection_seconds: Maximum idle time of a target connection
            that is reused.
        control: Whether this entry host may hold shards.
        slot_policy: How entry hosts share the slots of workers:
            `independent` counts own requests only, `exchanged` adds the
            in-flight counts of peers, `lent` grants credits for slots.
    """

    member_id: str
    availability_zone: str
    platform_url: str
    region: str = "local"
    listen_address: str = "127.0.0.1"
    advertised_address: str = "127.0.0.1"
    caller_port: int = 0
    operator_port: int = 0
    peer_port: int = 0
    operator_token: str = ""
    caller_threads: int = 192
    queue_length: int = 64
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    socket_timeout_seconds: float = 10.0
    poll_seconds: float = 1.0
    heartbeat_seconds: float = 0.5
    peer_silence_seconds: float = 2.0
    lease_seconds: float = 6.0
    platform_timeout_seconds: float = 2.0
    drain_notice_seconds: float = 1.0
    shutdown_seconds: float = 30.0
    idle_connection_seconds: float = 2.0
    control: bool = True
    slot_policy: str = "lent"
