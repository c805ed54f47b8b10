"""Stand-ins, demonstrations and experiments for developers."""
