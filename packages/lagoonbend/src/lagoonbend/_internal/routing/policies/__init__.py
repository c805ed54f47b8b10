"""Policies that choose a target, one per module."""
