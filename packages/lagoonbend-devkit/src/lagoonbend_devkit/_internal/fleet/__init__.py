"""Runs a small fleet of real processes on loopback."""
