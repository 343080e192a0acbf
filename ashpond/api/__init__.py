"""HTTP applications for clients and for operators."""

from __future__ import annotations
