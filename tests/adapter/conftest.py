"""Adds the adapter to the import path, as its start script does."""

from __future__ import annotations

import pathlib
import sys

ADAPTER = pathlib.Path(__file__).parents[2] / "platform"

sys.path.append(str(ADAPTER))
