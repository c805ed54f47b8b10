"""Command line of lagoonbend for operators."""

__version__ = '0.1.0'
