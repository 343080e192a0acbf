"""Bounds of numbers that are received from other processes.

Sums over a thousand instances are written to messages and logs as 64-bit integers, and
must not overflow them. Tokens, versions and times in ms stay far below these bounds.
"""

from __future__ import annotations

__all__ = ["MAX_NUMBER", "Amount", "Count", "Number", "Positive"]

from typing import Annotated

from msgspec import Meta

MAX_NUMBER = 2**50

Number = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Positive = Annotated[int, Meta(ge=1, le=MAX_NUMBER)]
Amount = Annotated[float, Meta(ge=0, le=float(MAX_NUMBER))]
