"""Routed calls: HTTP requests sent to the backend servers that their routes name."""
