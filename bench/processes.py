"""Child processes of an experiment, controlled by JSON lines on pipes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import json
import subprocess
import sys
from typing import Any

STOP_SECONDS = 10.0


class Child:
    """One child process that runs a module of the bench.

    Args:
        module: Name of the module, which calls `serve`.
    """

    def __init__(self, module: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", module],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            bufsize=1,
        )

    def send(self, command: str, **arguments: Any) -> None:
        """Sends a command without waiting for the answer."""
        assert self._process.stdin is not None
        line = json.dumps({"command": command, "arguments": arguments})
        self._process.stdin.write(line + "\n")
        self._process.stdin.flush()

    def receive(self) -> Any:
        """Waits for the answer to the oldest command.

        Raises:
            RuntimeError: The child process has exited.
        """
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError("a child process of the bench has exited")
        return json.loads(line)

    def call(self, command: str, **arguments: Any) -> Any:
        """Sends a command and waits for its answer."""
        self.send(command, **arguments)
        return self.receive()

    def stop(self) -> None:
        """Closes the child's input, which makes it exit, and waits for it."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            self._process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


def serve(commands: Mapping[str, Callable[..., Any]]) -> None:
    """Handles commands until the input is closed.

    Args:
        commands: Functions by the name of the command.
    """
    for line in sys.stdin:
        request = json.loads(line)
        answer = commands[request["command"]](**request["arguments"])
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
