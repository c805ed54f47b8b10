"""Seeded worlds that interleave faults with the real decision code."""
