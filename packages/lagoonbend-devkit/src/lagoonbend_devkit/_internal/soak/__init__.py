"""Random faults against real processes, checked from outside."""
