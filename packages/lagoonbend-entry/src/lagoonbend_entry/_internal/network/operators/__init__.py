"""The operators' side."""
