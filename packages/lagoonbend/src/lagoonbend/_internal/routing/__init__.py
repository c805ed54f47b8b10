"""Choice of a target from delayed and incomplete load reports."""
