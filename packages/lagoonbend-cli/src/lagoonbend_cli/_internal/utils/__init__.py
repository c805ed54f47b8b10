"""Utilities shared by the commands."""
