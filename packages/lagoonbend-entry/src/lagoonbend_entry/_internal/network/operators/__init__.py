"""Listener for operators."""
