"""Waiting requests, admission and shedding."""
