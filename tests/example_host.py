"""An example host; tests derive variants with `_replace`."""

from __future__ import annotations

from wisteriasill.machines import host as hosts

SERVING = hosts.Host(
    host_id="h1",
    pool="quoting",
    state=hosts.HostState.SERVING,
    region="local",
    availability_zone="z1",
    rack="z1-r1",
    address="127.0.0.1:1",
    cores=16,
    memory_gib=64,
    accelerators=0,
    slots=8,
    connections=64,
)
