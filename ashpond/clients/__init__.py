"""Clients for the protocols of peers, backend servers and the platform."""

from __future__ import annotations
