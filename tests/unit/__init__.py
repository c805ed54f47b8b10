"""Tests of single components, most of them on a paused clock."""
