"""Table of calls that an instance has read and disturbances beside them."""
