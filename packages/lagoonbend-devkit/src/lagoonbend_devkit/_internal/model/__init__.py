"""Simulated engines and instances that run the real scheduling code."""
