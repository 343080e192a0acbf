"""The state of an instance: one controller each owns one part of it.

- ``configuration``: the generation in force, and how a new one is accepted.
- ``members``: the other instances, by gossip and the platform's list.
- ``engines``: backend servers, their load, health and cached prefixes.
- ``admission``: the queues of requests that wait to start.
- ``limits``: the teams' request rates.
- ``claims``: attempts of requests that may run at most once.
- ``rollout``: leases on services, and the orders given under them.
- ``callquarantine``: calls that are suspected of crashing servers (``quarantine`` for
  routed ones), with ``crashdetection``: which servers crashed, and what was in flight
  there.
- ``burn``: counts of good and bad requests for the burn report.
"""

from __future__ import annotations
