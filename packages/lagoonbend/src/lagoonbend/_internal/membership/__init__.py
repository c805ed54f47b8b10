"""The instances and targets of the fleet, with the age of the list."""
