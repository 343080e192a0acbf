"""Log lines are written completely, counted if dropped, and never block."""

from __future__ import annotations

import os
from typing import Any

import orjson

from ashpond.gateway.decisionlog import MAX_QUEUED, DecisionLog


def drain(log: DecisionLog, reader: int) -> list[dict[str, Any]]:
    """Write out all of a log and return its lines."""
    data = b""
    log.flush()
    while log._lines or log._unwritten:
        data += os.read(reader, 1 << 20)
        log.flush()
    data += os.read(reader, 1 << 20)
    return [orjson.loads(line) for line in data.splitlines()]


async def test_lines_are_written_and_dropped_lines_are_counted() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = DecisionLog("i1", writer)
    for number in range(MAX_QUEUED + 5):
        log.note("sent", id=str(number))
    assert log.dropped == {"sent": 5}
    lines = drain(log, reader)
    assert (lines[0]["event"], lines[0]["instance"]) == ("sent", "i1")
    assert lines[-1]["event"] == "log_lines_dropped"
    assert lines[-1]["counts"] == {"sent": 5}
    os.close(reader)
    os.close(writer)


async def test_a_full_pipe_does_not_block_the_log() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = DecisionLog("i1", writer)
    for number in range(MAX_QUEUED):
        log.note("sent", id=str(number), text="x" * 200)
    log.flush()
    log.flush()
    # A write that the pipe accepts only in part breaks no line.
    ids = [line["id"] for line in drain(log, reader)]
    assert ids == [str(number) for number in range(MAX_QUEUED)]
    os.close(reader)
    os.close(writer)


def test_a_line_that_json_cannot_hold_is_written_as_text() -> None:
    read, write = os.pipe()
    log = DecisionLog("i0", write)
    log.note("odd", number=2**70, text="\ud800")
    log.note("next")
    log.flush()
    lines = [orjson.loads(line) for line in os.read(read, 9000).splitlines()]
    assert [line["event"] for line in lines] == ["odd", "next"]
    assert str(2**70) in lines[0]["line"]
