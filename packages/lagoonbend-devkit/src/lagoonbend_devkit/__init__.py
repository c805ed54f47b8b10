"""Stand-ins, demo and experiments for developers of lagoonbend."""
