"""Bounds on repeated sends."""
