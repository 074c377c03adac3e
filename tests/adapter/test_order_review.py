"""Tests of orders over HTTP to a worker that is cut off, found in a review."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import http.server
import threading
import time

import pytest
import wire_workers

from tests.machines import batch_site
from wisteriasill.contracts import order_policy
from wisteriasill.links import cluster
from wisteriasill.machines import worker as workers

SLACK_SECONDS = 0.1


class Handler(http.server.BaseHTTPRequestHandler):
    """A worker that answers until it is cut off.

    Attributes:
        cut: Set while requests arrive without an effect.
        mended: Set at the end of the cut.
    """

    protocol_version = "HTTP/1.1"
    cut = threading.Event()
    mended = threading.Event()

    def do_POST(self) -> None:
        """Answers a poll or an order, except during the cut."""
        self.rfile.read(int(self.headers["Content-Length"]))
        if self.cut.is_set():
            self.mended.wait()
            self.close_connection = True
            return
        body = b'{"clock_ms":1000,"born":1}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: object) -> None:
        """Logs nothing."""


@pytest.fixture
def handler() -> type[Handler]:
    cut, mended = threading.Event(), threading.Event()
    return type("Cut", (Handler,), {"cut": cut, "mended": mended})


@pytest.fixture
def entry(handler: type[Handler]) -> Iterator[cluster.WorkerEntry]:
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    address = f"127.0.0.1:{server.server_port}"
    yield batch_site.worker_entry("w1")._replace(address=address)
    handler.mended.set()
    server.shutdown()
    server.server_close()
    thread.join()


@pytest.mark.parametrize("confirmed", [True, False])
def test_the_calls_for_a_start_at_a_cut_worker_keep_their_longest_time(
    handler: type[Handler], entry: cluster.WorkerEntry, confirmed: bool
) -> None:
    """Each repeat waited 0.8 s for a report before it."""
    site = batch_site.SteppedPool()
    with contextlib.closing(wire_workers.WireWorker(entry)) as link:
        worker = workers.Worker(
            entry, link, site.pool, site.pool.former_leases_end_at
        )
        site.pool.add_worker(worker)
        site.poll(worker)
        if confirmed:
            site.pool.on_record(batch_site.job_row("j1", [batch_site.step()]))
            site.run_round()
            site.deliver(worker)
        site.pool.on_record(batch_site.job_row("j2", [batch_site.step()]))
        assert site.run_round()
        handler.cut.set()
        began = time.monotonic()
        worker.send_once()
        seconds = time.monotonic() - began
    longest_seconds = order_policy.DEFAULT_SETTINGS.max_start_seconds
    assert seconds <= longest_seconds + SLACK_SECONDS
