"""Steps of an attempt; who drives it carries them out."""
