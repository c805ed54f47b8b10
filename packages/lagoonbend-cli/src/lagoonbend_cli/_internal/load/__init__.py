"""Seeded load on instances, and its report."""
