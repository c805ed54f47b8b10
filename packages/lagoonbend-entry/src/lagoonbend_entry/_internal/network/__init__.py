"""Listeners and clients."""
