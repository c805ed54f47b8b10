"""Demonstration of the entry instances, run by ``make demo``."""
