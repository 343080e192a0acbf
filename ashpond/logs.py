"""Structured logs of state changes by ``logbook``, one JSON object per line."""

from __future__ import annotations

__all__ = ["setup_logs"]

import sys
from typing import Any

import logbook
import orjson


def setup_logs(instance: str, level: str) -> None:
    """Write the log of this process to standard error."""

    def format_record(record: logbook.LogRecord, handler: Any) -> str:
        line = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "instance": instance,
            "logger": record.channel,
            "event": record.message,
        }
        return orjson.dumps(line | dict(record.extra), default=str).decode()

    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_record
    handler.push_application()
