"""The callers' side."""
