"""Logs, metrics and helpers."""
