"""Tests of lagoonbend."""
