"""Implementation of the public modules of lagoonbend."""
