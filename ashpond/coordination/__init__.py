"""Placement of requests by coordinators: one instance for each shard of a service."""
