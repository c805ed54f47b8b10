"""Experiments that write the figures of the docs."""
