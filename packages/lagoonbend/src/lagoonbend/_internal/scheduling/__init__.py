"""Scheduling of calls on the slots of targets."""
