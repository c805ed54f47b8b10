"""At-most-once dispatch by claims held in memory."""
