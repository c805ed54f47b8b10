"""Entry instance of lagoonbend: the daemon between callers and targets."""

__version__ = '0.1.0'
