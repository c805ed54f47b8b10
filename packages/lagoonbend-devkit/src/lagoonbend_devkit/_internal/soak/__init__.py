"""Injects random faults into real processes and checks their answers."""
