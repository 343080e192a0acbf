"""The controllers of an instance, each of which owns one part of its state.

- ``configuration``: the generation in force, and how a new one is accepted.
- ``members``: the other instances, by gossip and the platform's list.
- ``engines``: backend servers, their load, health and cached prefixes.
- ``admission``: the queues of requests that wait to start.
- ``limits``: the teams' request rates.
- ``allowances``: the limits of teams and backend servers, kept by all instances
  together.
- ``claims``: attempts of requests that may run at most once.
- ``rollout``: leases on services, and the orders given under them.
- ``callquarantine``: calls suspected of crashing servers (``quarantine`` for routed
  requests), with ``crashdetection``: which servers crashed, and which calls were in
  flight there.
- ``burn``: counts of good and bad requests for the burn report.
"""

from __future__ import annotations
