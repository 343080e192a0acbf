"""Minimal substitutes for the platform, the engines and plain services.

The demo, the tests and the benchmarks use them. They aren't part of the router,
and no module of the router imports them.
"""

from __future__ import annotations
