"""Loopback address and ports of a soak run.

Each process uses a loopback address of its own. Thus no port is taken by
another run between its choice and its use by a node.
"""

from __future__ import annotations

import os
import random
import socket

# Below the ephemeral ports of Linux, so that no outgoing connection takes a
# port between its choice and its use.
PORTS = range(20_000, 32_000)


def own_address(process_id: int) -> str:
    """Returns the loopback address that belongs to a process."""
    number = process_id % 2**22
    return f"127.{1 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


ADDRESS = own_address(os.getpid())
# A process that has not started yet does not listen on its ports.
_chosen_ports: set[int] = set()


def free_ports(count: int, consecutive: int = 1) -> list[int]:
    """Returns ports of the own address that nothing else uses.

    Args:
        count: Number of ports to return.
        consecutive: Number of consecutive ports, from each returned one, that
            have to be free.
    """
    rng = random.SystemRandom()
    ports: set[int] = set()
    while len(ports) < count:
        port = rng.randrange(PORTS.start, PORTS.stop - consecutive)
        chosen = range(port, port + consecutive)
        if _chosen_ports.isdisjoint(chosen) and all(map(_is_free, chosen)):
            _chosen_ports.update(chosen)
            ports.add(port)
    return [*ports]


def _is_free(port: int) -> bool:
    try:
        socket.create_server((ADDRESS, port)).close()
    except OSError:
        return False
    return True
