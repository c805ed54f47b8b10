"""Commands of ``lagoonbend-entry``."""
