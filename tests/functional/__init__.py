"""Tests that run real processes on loopback, or parts of them over TCP."""
