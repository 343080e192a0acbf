"""Runs the real routing decisions against emulated engines in virtual time."""
