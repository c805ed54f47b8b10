"""Aged facts about instances and targets."""
