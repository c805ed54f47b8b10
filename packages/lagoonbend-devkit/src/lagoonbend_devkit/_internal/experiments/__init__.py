"""Experiments that measure the figures quoted in the documentation."""
