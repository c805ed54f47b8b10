"""Helpers shared by the unit and functional tests."""
