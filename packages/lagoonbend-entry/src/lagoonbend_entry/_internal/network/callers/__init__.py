"""Listener for callers."""
