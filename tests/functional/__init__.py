"""Tests of whole processes on loopback."""
