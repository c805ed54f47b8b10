"""Tests of single parts on a paused clock."""
