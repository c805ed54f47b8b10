"""Simulated engines, services and platform, each run as a process."""
