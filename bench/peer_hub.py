"""Child process of `peer-links`: peer links of one member."""

from __future__ import annotations

import os
import time

import psutil

from bench import processes
from wisteriasill import clock as clocks
from wisteriasill import events
from wisteriasill import metrics as metrics_module
from wisteriasill import settings as settings_module
from wisteriasill.links import peer_link
from wisteriasill.zones import site as sites

_CLOCK = clocks.SystemClock()
_LINKS = peer_link.PeerLinks(
    # The highest id, so that all other members dial.
    settings_module.EntrySettings("z", "zone", "http://127.0.0.1:1"),
    sites.Site(_CLOCK),
    "1",
    metrics_module.Metrics(),
    _CLOCK,
)


def figures() -> dict[str, float]:
    """Returns the port, connected links and resource use."""
    process = psutil.Process(os.getpid())
    return {
        "port": _LINKS.port,
        "links": len(_LINKS.connected_peers()),
        "threads": process.num_threads(),
        "cpu_seconds": time.process_time(),
        "resident_bytes": process.memory_info().rss,
    }


if __name__ == "__main__":
    events.configure("WARNING")
    _LINKS.start()
    processes.serve({"figures": figures})
    _LINKS.stop()
