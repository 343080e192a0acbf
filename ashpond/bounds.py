"""Bounds of numbers that come from outside.

Counts of a thousand instances are added up, and the sums go into messages and logs,
which hold 64 bits. No tokens, versions or times in ms come near these bounds.
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
