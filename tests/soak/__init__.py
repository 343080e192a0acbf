"""Randomized soak test of real instance processes under injected faults."""
