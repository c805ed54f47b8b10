"""Policies that choose a target, one a module."""
