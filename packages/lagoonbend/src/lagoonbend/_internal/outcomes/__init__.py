"""Outcomes of attempts, and the decision on a retry."""
