"""Pure decision logic: no I/O, no clock, no logging; the time is an argument."""

from __future__ import annotations
