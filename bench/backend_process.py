"""Child process that runs back ends."""

from __future__ import annotations

from typing import Any

from bench import processes
from standins import backend as backends
from standins import backend_records as records
from wisteriasill import documents


class BackendProcess:
    """The back ends of one process, addressed by index."""

    def __init__(self) -> None:
        self._backends: list[backends.Backend] = []

    def start(self, count: int, work_seconds: float) -> list[str]:
        """Starts back ends and returns their addresses."""
        for _ in range(count):
            backend = backends.Backend(work_seconds=work_seconds)
            backend.start()
            self._backends.append(backend)
        return [
            f"{backend.address}:{backend.port}" for backend in self._backends
        ]

    def set_faults(self, index: int, faults: dict[str, Any]) -> None:
        """Sets the faults of one back end."""
        self._backends[index].faults = records.Faults(**faults)

    def silence(self, share: float) -> int:
        """Stops traffic on a share of each back end's open connections."""
        return sum(
            backend.silence_connections(share) for backend in self._backends
        )

    def drain(self, index: int) -> None:
        """Makes one back end refuse new requests."""
        self._backends[index].begin_drain()

    def report(self) -> Any:
        """Returns the reports of all back ends."""
        return documents.encode(
            [backend.report() for backend in self._backends]
        )


def main() -> None:
    """Handles commands of the bench until it closes the pipe."""
    process = BackendProcess()
    processes.serve(
        {
            "start": process.start,
            "set_faults": process.set_faults,
            "silence": process.silence,
            "drain": process.drain,
            "report": process.report,
        }
    )


if __name__ == "__main__":
    main()
