"""Tests of orders that the HTTP client sends again by itself.

curl resends a request if a reused connection closes before its response.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import http.server
import threading

import pytest
import wire_workers

from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster

TASK = job_spec.TaskKey("5c0e7a21d94b36f8", 0, 0, 0)
ROOM = job_spec.Resources(16_000, 64_000, 0)
REFUSAL_BY_REASON = {
    "room": (409, b'{"clock_ms":1,"reason":"room"}'),
    "unhealthy": (503, b"{}"),
}


class Handler(http.server.BaseHTTPRequestHandler):
    """A worker that loses its response to the first start.

    Attributes:
        refusal: Status and body of the response to any later start.
        starts: Number of starts that arrived.
    """

    protocol_version = "HTTP/1.1"
    refusal = (0, b"")
    starts = 0

    def do_POST(self) -> None:
        """Answers an order, except for the first start."""
        self.rfile.read(int(self.headers["Content-Length"]))
        answer = (200, b'{"clock_ms":1,"born":1}')
        if self.path == "/api/run-start":
            type(self).starts += 1
            if self.starts == 1:
                self.close_connection = True
                return
            answer = self.refusal
        status, body = answer
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: object) -> None:
        """Logs nothing."""


@pytest.fixture(params=REFUSAL_BY_REASON)
def link(request: pytest.FixtureRequest) -> Iterator[wire_workers.WireWorker]:
    """A worker that refuses a resent start."""
    refusal = REFUSAL_BY_REASON[request.param]
    handler = type("Refusing", (Handler,), {"refusal": refusal})
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    entry = cluster.WorkerEntry(
        "i-1",
        1,
        "bench",
        f"127.0.0.1:{server.server_port}",
        "zone",
        cluster.WorkerState.READY,
        ROOM,
        (),
    )
    with contextlib.closing(wire_workers.WireWorker(entry)) as worker:
        yield worker
    server.shutdown()
    server.server_close()
    thread.join()


def test_the_refusal_of_a_resent_start_leaves_its_outcome_unknown(
    link: wire_workers.WireWorker,
) -> None:
    """The run counted as never started and was not stopped.

    The worker may have started it, or may start it late.
    """
    link.stop(TASK, 1, 5, 0.4)  # Leaves a connection to reuse.
    answer = link.start(cluster.StartOrder(TASK, 2, "50", 60_000, 5), 1.0)
    assert answer.outcome is cluster.OrderOutcome.UNKNOWN
