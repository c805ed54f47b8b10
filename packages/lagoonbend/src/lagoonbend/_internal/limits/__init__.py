"""Limits of customers, shared by many instances."""
