"""Simulated fleets that interleave faults with the real decision code."""
