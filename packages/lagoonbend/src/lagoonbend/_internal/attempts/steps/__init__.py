"""Steps of an attempt, performed by the code that runs it."""
