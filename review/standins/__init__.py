"""Stand-ins for the platform, its store, the servers and the clients."""
