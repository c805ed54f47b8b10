"""Follows a request through collected logs."""
