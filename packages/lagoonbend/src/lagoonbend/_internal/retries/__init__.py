"""Limits on retries."""
