"""Event loop thread shared by the back ends of a process."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import functools
import threading
from typing import Any, TypeVar

T = TypeVar("T")
CALL_TIMEOUT_SECONDS = 10.0


@functools.cache
def event_loop() -> asyncio.AbstractEventLoop:
    """Returns the shared event loop; starts its thread on first use."""
    loop = asyncio.new_event_loop()
    threading.Thread(
        target=loop.run_forever, name="back-ends", daemon=True
    ).start()
    return loop


def call(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on the shared loop and waits for its result."""
    future = asyncio.run_coroutine_threadsafe(coroutine, event_loop())
    return future.result(CALL_TIMEOUT_SECONDS)
