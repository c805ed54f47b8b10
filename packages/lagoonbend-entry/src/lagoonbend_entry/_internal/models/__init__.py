"""Data types of the daemon: named tuples and typed dictionaries."""
