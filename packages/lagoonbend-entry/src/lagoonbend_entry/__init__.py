"""Entry instance of lagoonbend: the proxy between callers and targets."""

__version__ = '0.1.0'
