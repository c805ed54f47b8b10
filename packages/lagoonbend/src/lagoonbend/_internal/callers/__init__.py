"""Advice for callers: when to repeat a request, and with which key."""
