"""Operators' command line of lagoonbend."""

__version__ = '0.1.0'
