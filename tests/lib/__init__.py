"""Small helpers of the tests."""
