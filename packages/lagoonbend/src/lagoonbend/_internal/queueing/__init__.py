"""Queueing, admission and shedding of requests."""
